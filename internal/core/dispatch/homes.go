package dispatch

// homes are the servers that calls with one shared part go to while nobody keeps
// it: one in each failure domain, so that links between regions are spared.
type homes struct {
	key PartKey
	// servers has at most one server of each failure domain.
	servers []*Server
}

// homes ranks the servers by rendezvous hashing: a server that comes or goes
// moves only its own parts. Servers that take no calls are no homes.
func (p *Pool) homes(work *Work) homes {
	h := homes{key: partKey(work.SharedKey)}
	if h.key == 0 {
		return h
	}
	h.servers = p.homeBuffer[:0]
	for _, server := range p.servers {
		if !server.vm.Leaving && !server.health.trial {
			h.offer(server)
		}
	}
	p.homeBuffer = h.servers
	return h
}

func (h *homes) offer(server *Server) {
	for i, best := range h.servers {
		if best.vm.Domain != server.vm.Domain {
			continue
		}
		if server.rank(h.key) > best.rank(h.key) {
			h.servers[i] = server
		}
		return
	}
	h.servers = append(h.servers, server)
}

// has says whether a server is a home.
func (h *homes) has(server *Server) bool {
	for _, home := range h.servers {
		if home == server {
			return true
		}
	}
	return false
}
