package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

const (
	// keptFor is how long a shared part that ran on a server is taken to be still
	// in its memory: what is used least lately yields there.
	keptFor = 12 * time.Second
	// keptServers is the most servers that are remembered of one part.
	keptServers = 6
	// keptParts is the most parts that are remembered.
	keptParts = 8192
	// toldAgainAfter is the time after which other daemons are told again that a
	// server keeps a part.
	toldAgainAfter = 4 * time.Second
	// leastTold is the length in tokens from which a shared part is worth telling.
	leastTold = 256
)

// PartKey identifies a shared part of a prompt: the hash of its id.
type PartKey uint64

func partKey(id string) PartKey {
	if id == "" {
		return 0
	}
	return PartKey(xxhash.Sum64String(id))
}

// KeptPart says that a server keeps a shared part.
type KeptPart struct {
	Key    PartKey
	Server ports.VMName
}

// keptTable remembers which servers keep which shared parts.
type keptTable struct {
	parts map[PartKey][]kept
	// news are the entries that the daemons of this failure domain were not told
	// of yet, far those that the other domains were not told of.
	news, far []KeptPart
}

type kept struct {
	server *Server
	at     time.Time
	// told is when other daemons were told.
	told time.Time
}

func newKeptTable() keptTable {
	return keptTable{parts: make(map[PartKey][]kept)}
}

// by says whether a server keeps the part.
func (t *keptTable) by(now time.Time, key PartKey, server *Server) bool {
	for _, entry := range t.parts[key] {
		if entry.server == server {
			return now.Sub(entry.at) < keptFor
		}
	}
	return false
}

// holder returns the server other than the given one that used the part last and
// still takes calls, or nil.
func (t *keptTable) holder(now time.Time, key PartKey, except *Server) *Server {
	var best *kept
	entries := t.parts[key]
	for i := range entries {
		entry := &entries[i]
		if entry.server == except || now.Sub(entry.at) >= keptFor || entry.server.gone || entry.server.health.trial {
			continue
		}
		if best == nil || entry.at.After(best.at) {
			best = entry
		}
	}
	if best == nil {
		return nil
	}
	return best.server
}

// ran notes that a call with the part was sent to a server by this daemon.
func (t *keptTable) ran(now time.Time, key PartKey, tokens int, server *Server) {
	if key == 0 {
		return
	}
	entry := t.note(now, key, server)
	if tokens >= leastTold && now.Sub(entry.told) >= toldAgainAfter {
		entry.told = now
		part := KeptPart{Key: key, Server: server.vm.Name}
		t.news = append(t.news, part)
		t.far = append(t.far, part)
	}
}

// note remembers that a server keeps the part, in place of the entry that is the
// oldest.
func (t *keptTable) note(now time.Time, key PartKey, server *Server) *kept {
	entries := t.parts[key]
	oldest := 0
	for i := range entries {
		if entries[i].server == server {
			entries[i].at = now
			return &entries[i]
		}
		if entries[i].at.Before(entries[oldest].at) {
			oldest = i
		}
	}
	if len(entries) >= keptServers {
		entries[oldest] = kept{server: server, at: now}
		return &entries[oldest]
	}
	if len(entries) == 0 && len(t.parts) >= keptParts {
		t.prune(now)
	}
	t.parts[key] = append(entries, kept{server: server, at: now})
	return &t.parts[key][len(entries)]
}

// prune forgets the parts that no server keeps any more, and any others while
// there are too many.
func (t *keptTable) prune(now time.Time) {
	for key, entries := range t.parts {
		fresh := false
		for _, entry := range entries {
			fresh = fresh || now.Sub(entry.at) < keptFor
		}
		if !fresh || len(t.parts) >= keptParts {
			delete(t.parts, key)
		}
	}
}

// TakeNews returns what other daemons should be told of shared parts, once.
func (p *Pool) TakeNews() []KeptPart {
	news := p.kept.news
	p.kept.news = nil
	return news
}

// Keeps takes over what another daemon told of a shared part. Where passOn is
// set, it is told on to other failure domains.
func (p *Pool) Keeps(now time.Time, part KeptPart, passOn bool) {
	server := p.find(part.Server)
	if server == nil {
		return
	}
	entry := p.kept.note(now, part.Key, server)
	if passOn && now.Sub(entry.told) >= toldAgainAfter {
		entry.told = now
		p.kept.far = append(p.kept.far, part)
	}
}

// TakeFarNews returns what other failure domains should be told of shared parts,
// once.
func (p *Pool) TakeFarNews() []KeptPart {
	news := p.kept.far
	p.kept.far = nil
	return news
}
