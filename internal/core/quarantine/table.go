package quarantine

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

const (
	// SoundAfter is the time for which an answer must have lasted, from its first event,
	// to show that its parts are sound. A run that breaks earlier counts against them.
	SoundAfter = 500 * time.Millisecond
	// maxParts limits the parts that are recorded, maxLives the servers of which a sign
	// of life is kept.
	maxParts = 8192
	maxLives = 1024
	// reportInterval is the least time between two reports of a sound answer for one
	// part, or of a sign of life of one server.
	reportInterval = time.Second
)

// PartHash identifies a prompt part of a service.
type PartHash uint64

// HashPart returns the hash of a prompt part of a service.
func HashPart(service ports.ServiceName, id string) PartHash {
	return PartHash(xxhash.Sum64String(string(service) + "\x00" + id))
}

// ServerInstance identifies one start of a server.
type ServerInstance uint64

// InstanceOf returns the identity of a server since its last start.
func InstanceOf(server ports.VM) ServerInstance {
	return ServerInstance(xxhash.Sum64String(string(server.Name) + "\x00" + strconv.FormatInt(server.StartedMillis, 36)))
}

// ServerEnd is the end of a server's connection during a run with the part, before the
// run had a sound answer.
type ServerEnd struct {
	Part   PartHash
	Server ServerInstance
	At     time.Time
}

// SoundAnswer is an answer to a prompt with the part that began at the given time and
// lasted.
type SoundAnswer struct {
	Part PartHash
	At   time.Time
}

// SignOfLife is the answer of a server to a request that was sent at the given time.
type SignOfLife struct {
	Server ServerInstance
	At     time.Time
}

// Updates are what other daemons should know.
type Updates struct {
	Ends   []ServerEnd
	Sounds []SoundAnswer
	Lives  []SignOfLife
}

func (u *Updates) add(other Updates) {
	u.Ends = append(u.Ends, other.Ends...)
	u.Sounds = append(u.Sounds, other.Sounds...)
	u.Lives = append(u.Lives, other.Lives...)
}

// Table records the parts that are suspected, quarantined or known to be sound. It is not
// safe for concurrent use.
type Table struct {
	parts map[PartHash]*part
	// suspects has the parts against which an end of a server counts, or did.
	suspects map[ServerInstance][]PartHash
	// lives are the latest signs of life of the servers in suspects.
	lives map[ServerInstance]time.Time
	// domain are the updates for the other daemons of this failure domain, crossDomain
	// those for other domains.
	domain, crossDomain Updates
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		parts: make(map[PartHash]*part), suspects: make(map[ServerInstance][]PartHash),
		lives: make(map[ServerInstance]time.Time),
	}
}

// RecordOwnEnd records an end that this daemon saw, for other daemons too. It reports
// whether the part was quarantined by it.
func (t *Table) RecordOwnEnd(now time.Time, end ServerEnd) bool {
	t.report(Updates{Ends: []ServerEnd{end}})
	return t.recordEnd(now, end)
}

// RecordOwnSound records a sound answer that this daemon relayed, for other daemons too if
// the part is suspected. It reports whether the part was released by it.
func (t *Table) RecordOwnSound(now time.Time, sound SoundAnswer) bool {
	p := t.partOf(now, sound.Part)
	wasSuspected := p.isSuspected(now)
	released := p.recordSound(now, sound.At)
	if wasSuspected {
		t.reportSound(now, sound.Part, p)
	}
	return released
}

// RecordOwnLife records the first byte of an answer of a server to a request that was sent
// at the given time: whatever ended its connections before did not end the server. It
// returns the parts that were released by it.
func (t *Table) RecordOwnLife(now time.Time, life SignOfLife) []PartHash {
	if _, suspected := t.suspects[life.Server]; !suspected {
		return nil
	}
	if life.At.Sub(t.lives[life.Server]) >= reportInterval {
		t.report(Updates{Lives: []SignOfLife{life}})
	}
	return t.recordLife(now, life)
}

// Merge records the updates of another daemon; fromDomain says that it belongs to this
// failure domain. It returns the parts that were quarantined and released by them.
func (t *Table) Merge(now time.Time, updates Updates, fromDomain bool) (quarantined, released []PartHash) {
	for _, end := range updates.Ends {
		if t.recordEnd(now, end) {
			quarantined = append(quarantined, end.Part)
		}
		if p := t.parts[end.Part]; p != nil && !p.soundAt.Before(end.At) {
			t.reportSound(now, end.Part, p)
		}
	}
	for _, sound := range updates.Sounds {
		if t.partOf(now, sound.Part).recordSound(now, sound.At) {
			released = append(released, sound.Part)
		}
	}
	for _, life := range updates.Lives {
		released = append(released, t.recordLife(now, life)...)
	}
	if fromDomain {
		t.crossDomain.add(updates)
	}
	return quarantined, released
}

func (t *Table) report(updates Updates) {
	t.domain.add(updates)
	t.crossDomain.add(updates)
}

// reportSound queues the latest sound answer of a part for other daemons.
func (t *Table) reportSound(now time.Time, hash PartHash, p *part) {
	if now.Sub(p.reportedAt) < reportInterval {
		return
	}
	p.reportedAt = now
	t.report(Updates{Sounds: []SoundAnswer{{Part: hash, At: p.soundAt}}})
}

// TakeDomainUpdates returns the updates for the other daemons of this failure domain since
// the last call.
func (t *Table) TakeDomainUpdates() Updates {
	updates := t.domain
	t.domain = Updates{}
	return updates
}

// TakeCrossDomainUpdates does the same for the other failure domains.
func (t *Table) TakeCrossDomainUpdates() Updates {
	updates := t.crossDomain
	t.crossDomain = Updates{}
	return updates
}

// QuarantineEnds returns the ends of all quarantined parts, for Adopt at another daemon.
func (t *Table) QuarantineEnds(now time.Time) []ServerEnd {
	var ends []ServerEnd
	for _, p := range t.parts {
		if p.isQuarantined(now) {
			ends = append(ends, p.ends...)
		}
	}
	return ends
}

// Adopt quarantines the parts that another daemon has quarantined, given their ends,
// unless an answer with the part was sound since or the servers live. It returns the parts
// that were not quarantined before.
func (t *Table) Adopt(now time.Time, ends []ServerEnd) (quarantined []PartHash) {
	byPart := make(map[PartHash][]ServerEnd)
	for _, end := range ends {
		if t.isRefuted(end) {
			continue
		}
		byPart[end.Part] = append(byPart[end.Part], end)
	}
	for hash, partEnds := range byPart {
		p := t.partOf(now, hash)
		for _, end := range partEnds {
			t.suspect(end)
			if p.soundAt.After(end.At) {
				t.reportSound(now, hash, p)
			}
		}
		if p.adopt(now, partEnds) {
			quarantined = append(quarantined, hash)
		}
	}
	return quarantined
}

// QuarantinedUntil returns when the quarantine of a part ends; false if it isn't
// quarantined.
func (t *Table) QuarantinedUntil(now time.Time, hash PartHash) (time.Time, bool) {
	p, ok := t.parts[hash]
	if !ok || !p.isQuarantined(now) {
		return time.Time{}, false
	}
	return p.quarantinedAt.Add(quarantineTime), true
}

func (t *Table) recordEnd(now time.Time, end ServerEnd) bool {
	if t.isRefuted(end) {
		return false
	}
	t.suspect(end)
	return t.partOf(now, end.Part).recordEnd(now, end)
}

func (t *Table) isRefuted(end ServerEnd) bool {
	at, ok := t.lives[end.Server]
	return ok && SignOfLife{Server: end.Server, At: at}.refutes(end)
}

// suspect notes that an end of the server counts against the part.
func (t *Table) suspect(end ServerEnd) {
	if len(t.suspects) >= maxLives {
		clear(t.suspects)
		clear(t.lives)
	}
	for _, hash := range t.suspects[end.Server] {
		if hash == end.Part {
			return
		}
	}
	t.suspects[end.Server] = append(t.suspects[end.Server], end.Part)
}

// recordLife drops the earlier ends of a server.
func (t *Table) recordLife(now time.Time, life SignOfLife) (released []PartHash) {
	if !life.At.After(t.lives[life.Server]) {
		return nil
	}
	suspects := t.suspects[life.Server]
	if len(suspects) > 0 {
		t.lives[life.Server] = life.At
	}
	for _, hash := range suspects {
		if p, ok := t.parts[hash]; ok && p.recordLife(now, life) {
			released = append(released, hash)
		}
	}
	return released
}

func (t *Table) partOf(now time.Time, hash PartHash) *part {
	p, ok := t.parts[hash]
	if !ok {
		if len(t.parts) >= maxParts {
			t.prune(now)
		}
		p = &part{}
		t.parts[hash] = p
	}
	return p
}

// prune makes room for an eighth of the parts, so that it is seldom needed. Suspected
// parts stay unless all are.
func (t *Table) prune(now time.Time) {
	for hash, p := range t.parts {
		if !p.isSuspected(now) && now.Sub(p.soundAt) > soundMemory {
			delete(t.parts, hash)
		}
	}
	for _, keepSuspected := range []bool{true, false} {
		for hash, p := range t.parts {
			if len(t.parts) < maxParts-maxParts/8 {
				return
			}
			if !keepSuspected || !p.isSuspected(now) {
				delete(t.parts, hash)
			}
		}
	}
}
