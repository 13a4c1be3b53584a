package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

// homes are the servers that calls with one shared part go to: one in each
// failure domain, so that links between regions are spared and each part is read
// once in a domain at most.
type homes struct {
	key      string
	byDomain map[ports.FailureDomain]*Server
}

// homes ranks the servers by rendezvous hashing: a server that comes or goes
// moves only its own parts. Servers that take no calls are no homes.
func (p *Pool) homes(work *Work) homes {
	h := homes{key: work.SharedKey}
	if h.key == "" {
		return h
	}
	h.byDomain = make(map[ports.FailureDomain]*Server, 8)
	for _, server := range p.servers {
		if server.vm.Leaving || server.health.trial {
			continue
		}
		best := h.byDomain[server.vm.Domain]
		if best == nil || server.rank(h.key) > best.rank(h.key) {
			h.byDomain[server.vm.Domain] = server
		}
	}
	return h
}

// of returns the home in a server's failure domain, or nil.
func (h homes) of(server *Server) *Server {
	return h.byDomain[server.vm.Domain]
}

// holder returns another server that probably keeps the shared part when the
// given one probably does not: the home beside it, or the nearest other home.
func (h homes) holder(now time.Time, server *Server, work *Work) *Server {
	if h.key == "" || server.keeps(now, h.key) {
		return nil
	}
	if home := h.of(server); home != nil && home != server {
		return home
	}
	var best *Server
	for _, home := range h.byDomain {
		if home != server && (best == nil || home.rank(h.key) > best.rank(h.key)) {
			best = home
		}
	}
	return best
}
