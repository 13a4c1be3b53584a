package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// homes are the servers that calls with one shared part go to: one in each
// failure domain, so that links between regions are spared and each part is read
// once in a domain at most.
type homes struct {
	key     string
	keyHash uint64
	// servers has at most one server of each failure domain.
	servers []*Server
}

// homes ranks the servers by rendezvous hashing: a server that comes or goes
// moves only its own parts. Servers that take no calls are no homes.
func (p *Pool) homes(work *Work) homes {
	h := homes{key: work.SharedKey}
	if h.key == "" {
		return h
	}
	h.keyHash = xxhash.Sum64String(h.key)
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
		if server.rank(h.keyHash) > best.rank(h.keyHash) {
			h.servers[i] = server
		}
		return
	}
	h.servers = append(h.servers, server)
}

// of returns the home in a server's failure domain, or nil.
func (h *homes) of(server *Server) *Server {
	for _, home := range h.servers {
		if home.vm.Domain == server.vm.Domain {
			return home
		}
	}
	return nil
}

// holder returns another server that probably keeps the shared part when the
// given one probably does not: the home beside it, or the best of the others.
func (h *homes) holder(now time.Time, server *Server) *Server {
	if h.key == "" || server.keeps(now, h.key) {
		return nil
	}
	if home := h.of(server); home != nil && home != server {
		return home
	}
	var best *Server
	for _, home := range h.servers {
		if home != server && (best == nil || home.rank(h.keyHash) > best.rank(h.keyHash)) {
			best = home
		}
	}
	return best
}
