package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

const (
	// cacheLifetime is how long after its last use on a server a prefix is
	// assumed to be cached there: engines evict what was used least recently.
	cacheLifetime = 12 * time.Second
	// maxServersPerPrefix is the most servers that are recorded for one prefix.
	maxServersPerPrefix = 6
	// maxPrefixes is the most prefixes that are recorded.
	maxPrefixes = 8192
	// prefixReportInterval is the time after which a cached prefix is reported
	// to other daemons again.
	prefixReportInterval = 4 * time.Second
	// minReportedTokens is the length in tokens from which a prefix is
	// reported.
	minReportedTokens = 256
)

// PrefixHash identifies a prompt prefix: the hash of its ID, or zero for none.
type PrefixHash uint64

func hashPrefixID(id string) PrefixHash {
	if id == "" {
		return 0
	}
	return PrefixHash(xxhash.Sum64String(id))
}

// CachedPrefix reports that a server has a prompt prefix cached.
type CachedPrefix struct {
	PrefixHash PrefixHash
	Server     ports.VMName
}

// prefixTable records which servers have which prompt prefixes cached.
type prefixTable struct {
	locations map[PrefixHash][]prefixLocation
	// domainUpdates are not yet reported to the daemons of this failure domain,
	// crossDomainUpdates not yet to the other domains.
	domainUpdates, crossDomainUpdates []CachedPrefix
}

// prefixLocation is a server that probably has a prefix cached.
type prefixLocation struct {
	server *Server
	usedAt time.Time
	// reportedAt is when the location was last reported to other daemons.
	reportedAt time.Time
}

func newPrefixTable() prefixTable {
	return prefixTable{locations: make(map[PrefixHash][]prefixLocation)}
}

// isCachedOn reports whether a server has the prefix cached.
func (t *prefixTable) isCachedOn(now time.Time, prefix PrefixHash, server *Server) bool {
	for _, location := range t.locations[prefix] {
		if location.server == server {
			return now.Sub(location.usedAt) < cacheLifetime
		}
	}
	return false
}

// cacheHolder returns the server of the regions other than except that used the prefix
// last and still accepts calls, or nil.
func (t *prefixTable) cacheHolder(now time.Time, prefix PrefixHash, except *Server, regions Regions) *Server {
	var best *prefixLocation
	locations := t.locations[prefix]
	for i := range locations {
		location := &locations[i]
		if location.server == except || now.Sub(location.usedAt) >= cacheLifetime ||
			location.server.removed || location.server.isEvacuated || location.server.health.onProbation ||
			!regions.Allows(location.server.vm.Region) {
			continue
		}
		if best == nil || location.usedAt.After(best.usedAt) {
			best = location
		}
	}
	if best == nil {
		return nil
	}
	return best.server
}

// recordCall records that this daemon sent a call with the prefix to a server.
func (t *prefixTable) recordCall(now time.Time, prefix PrefixHash, tokens int, server *Server) {
	if prefix == 0 {
		return
	}
	location := t.recordLocation(now, prefix, server)
	if tokens >= minReportedTokens && now.Sub(location.reportedAt) >= prefixReportInterval {
		location.reportedAt = now
		update := CachedPrefix{PrefixHash: prefix, Server: server.vm.Name}
		t.domainUpdates = append(t.domainUpdates, update)
		t.crossDomainUpdates = append(t.crossDomainUpdates, update)
	}
}

// recordLocation records that a server has the prefix cached. It replaces the
// oldest location when there are too many.
func (t *prefixTable) recordLocation(now time.Time, prefix PrefixHash, server *Server) *prefixLocation {
	locations := t.locations[prefix]
	oldest := 0
	for i := range locations {
		if locations[i].server == server {
			locations[i].usedAt = now
			return &locations[i]
		}
		if locations[i].usedAt.Before(locations[oldest].usedAt) {
			oldest = i
		}
	}
	if len(locations) >= maxServersPerPrefix {
		locations[oldest] = prefixLocation{server: server, usedAt: now}
		return &locations[oldest]
	}
	if len(locations) == 0 && len(t.locations) >= maxPrefixes {
		t.prune(now)
	}
	t.locations[prefix] = append(locations, prefixLocation{server: server, usedAt: now})
	return &t.locations[prefix][len(locations)]
}

// prune deletes the prefixes that no server has cached any longer, and
// arbitrary others while there are too many.
func (t *prefixTable) prune(now time.Time) {
	for prefix, locations := range t.locations {
		fresh := false
		for _, location := range locations {
			fresh = fresh || now.Sub(location.usedAt) < cacheLifetime
		}
		if !fresh || len(t.locations) >= maxPrefixes {
			delete(t.locations, prefix)
		}
	}
}

// TakeDomainUpdates returns the cached prefixes to report to the daemons of
// this failure domain, each once.
func (p *Pool) TakeDomainUpdates() []CachedPrefix {
	updates := p.prefixes.domainUpdates
	p.prefixes.domainUpdates = nil
	return updates
}

// RecordCachedPrefix records a cached prefix that another daemon reported. If
// forward is set, it is also queued for the other failure domains.
func (p *Pool) RecordCachedPrefix(now time.Time, cached CachedPrefix, forward bool) {
	server := p.findServer(cached.Server)
	if server == nil {
		return
	}
	location := p.prefixes.recordLocation(now, cached.PrefixHash, server)
	if forward && now.Sub(location.reportedAt) >= prefixReportInterval {
		location.reportedAt = now
		p.prefixes.crossDomainUpdates = append(p.prefixes.crossDomainUpdates, cached)
	}
}

// TakeCrossDomainUpdates returns the cached prefixes to report to the other
// failure domains, each once.
func (p *Pool) TakeCrossDomainUpdates() []CachedPrefix {
	updates := p.prefixes.crossDomainUpdates
	p.prefixes.crossDomainUpdates = nil
	return updates
}
