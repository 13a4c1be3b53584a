package dispatch

// preferredServers are the servers that get the calls with one prompt prefix
// while no server has it cached: one in each failure domain, to spare links
// between regions.
type preferredServers struct {
	prefix PrefixHash
	// servers holds at most one server of each failure domain.
	servers []*Server
}

// preferredServers chooses the servers by rendezvous hashing: a server that
// comes or goes moves only its own prefixes. Servers that are leaving, evacuated
// or on probation are not chosen.
func (p *Pool) preferredServers(work *Work) preferredServers {
	preferred := preferredServers{prefix: hashPrefixID(work.PrefixID)}
	if preferred.prefix == 0 {
		return preferred
	}
	preferred.servers = p.preferredBuffer[:0]
	for _, server := range p.servers {
		if server.takesNewCalls() && work.regions.Allows(server.vm.Region) && !server.health.onProbation &&
			server.takesLongPrompts == work.isLongPrompt {
			preferred.consider(server)
		}
	}
	p.preferredBuffer = preferred.servers
	return preferred
}

func (p *preferredServers) consider(server *Server) {
	for i, current := range p.servers {
		if current.vm.Domain != server.vm.Domain {
			continue
		}
		if server.rendezvousScore(p.prefix) > current.rendezvousScore(p.prefix) {
			p.servers[i] = server
		}
		return
	}
	p.servers = append(p.servers, server)
}

// contains reports whether a server is a preferred server.
func (p *preferredServers) contains(server *Server) bool {
	for _, preferred := range p.servers {
		if preferred == server {
			return true
		}
	}
	return false
}
