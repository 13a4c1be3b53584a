package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

const (
	// SoundAfter is the time for which an answer must have lasted, from its first event,
	// to show that its causes are sound. A run that breaks earlier counts against them.
	SoundAfter = 500 * time.Millisecond
	// maxCauses limits the causes that are recorded, maxLives the servers of which a sign
	// of life is kept.
	maxCauses = 8192
	maxLives  = 1024
	// maxSoundCalls limits the calls of which a sound answer is remembered, for the ends
	// that another daemon reports later.
	maxSoundCalls = 4096
	// reportInterval is the least time between two reports of a sound answer for one
	// cause, or of a sign of life of one server.
	reportInterval = time.Second
)

// CauseHash identifies what may end servers: a part of the prompts of a service, or a whole
// call. The lowest bit is set for calls.
type CauseHash uint64

const callBit = 1

// HashPart returns the hash of a prompt part of a service.
func HashPart(service ports.ServiceName, id string) CauseHash {
	return CauseHash(xxhash.Sum64String(string(service)+"\x00"+id)) &^ callBit
}

// HashCall returns the hash of a call, which is the same when the caller sends it again at
// any daemon, under another ID.
func HashCall(call *ports.Call) CauseHash {
	digest := xxhash.New()
	for _, field := range []string{string(call.Workspace), call.Method, call.Host, call.Path} {
		// Writes to a digest don't fail.
		_, _ = digest.WriteString(field)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(call.Body)
	return CauseHash(digest.Sum64()) | callBit
}

// IsCall reports whether the hash is that of a whole call.
func (h CauseHash) IsCall() bool {
	return h&callBit != 0
}

// ServerInstance identifies one start of a server.
type ServerInstance uint64

// InstanceOf returns the identity of a server since its last start.
func InstanceOf(server ports.VM) ServerInstance {
	return ServerInstance(xxhash.Sum64String(string(server.Name) + "\x00" + strconv.FormatInt(server.StartedMillis, 36)))
}

// ServerEnd is the end of a server's connection during a run with the cause, before the
// run had a sound answer.
type ServerEnd struct {
	Cause  CauseHash
	Server ServerInstance
	At     time.Time
}

// SoundAnswer is an answer to a prompt with the cause that began at the given time and
// lasted.
type SoundAnswer struct {
	Cause CauseHash
	At    time.Time
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

// Table records the causes that are suspected, quarantined or known to be sound. It is not
// safe for concurrent use.
type Table struct {
	causes map[CauseHash]*cause
	// soundCalls are the latest calls with sound answers that are not in causes.
	soundCalls *recentCalls
	// suspects has the causes against which an end of a server counts, or did.
	suspects map[ServerInstance][]CauseHash
	// lives are the latest signs of life of the servers in suspects.
	lives map[ServerInstance]time.Time
	// domain are the updates for the other daemons of this failure domain, crossDomain
	// those for other domains.
	domain, crossDomain Updates
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		causes: make(map[CauseHash]*cause), soundCalls: newRecentCalls(maxSoundCalls), suspects: make(map[ServerInstance][]CauseHash),
		lives: make(map[ServerInstance]time.Time),
	}
}

// RecordOwnEnd records an end that this daemon saw, for other daemons too. It reports
// whether the cause was quarantined by it.
func (t *Table) RecordOwnEnd(now time.Time, end ServerEnd) bool {
	t.report(Updates{Ends: []ServerEnd{end}})
	return t.recordEnd(now, end)
}

// RecordOwnSound records a sound answer that this daemon relayed, for other daemons too if
// the cause is suspected. It reports whether the cause was released by it.
func (t *Table) RecordOwnSound(now time.Time, sound SoundAnswer) bool {
	if t.recordSoundCall(sound) {
		return false
	}
	c := t.causeOf(now, sound.Cause)
	wasSuspected := c.isSuspected(now)
	released := c.recordSound(now, sound.At)
	if wasSuspected {
		t.reportSound(now, sound.Cause, c)
	}
	return released
}

// RecordOwnLife records the first byte of an answer of a server to a request that was sent
// at the given time: whatever ended its connections before did not end the server. It
// returns the causes that were released by it.
func (t *Table) RecordOwnLife(now time.Time, life SignOfLife) []CauseHash {
	if _, suspected := t.suspects[life.Server]; !suspected {
		return nil
	}
	if life.At.Sub(t.lives[life.Server]) >= reportInterval {
		t.report(Updates{Lives: []SignOfLife{life}})
	}
	return t.recordLife(now, life)
}

// Merge records the updates of another daemon; fromDomain says that it belongs to this
// failure domain. It returns the causes that were quarantined and released by them.
func (t *Table) Merge(now time.Time, updates Updates, fromDomain bool) (quarantined, released []CauseHash) {
	for _, end := range updates.Ends {
		if t.recordEnd(now, end) {
			quarantined = append(quarantined, end.Cause)
		}
		if c := t.causes[end.Cause]; c != nil && !c.soundAt.Before(end.At) {
			t.reportSound(now, end.Cause, c)
		}
	}
	for _, sound := range updates.Sounds {
		if !t.recordSoundCall(sound) && t.causeOf(now, sound.Cause).recordSound(now, sound.At) {
			released = append(released, sound.Cause)
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

// reportSound queues the latest sound answer of a cause for other daemons.
func (t *Table) reportSound(now time.Time, hash CauseHash, c *cause) {
	if now.Sub(c.reportedAt) < reportInterval {
		return
	}
	c.reportedAt = now
	t.report(Updates{Sounds: []SoundAnswer{{Cause: hash, At: c.soundAt}}})
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

// QuarantineEnds returns the ends of all quarantined causes, for Adopt at another daemon.
func (t *Table) QuarantineEnds(now time.Time) []ServerEnd {
	var ends []ServerEnd
	for _, c := range t.causes {
		if c.isQuarantined(now) {
			ends = append(ends, c.ends...)
		}
	}
	return ends
}

// Adopt quarantines the causes that another daemon has quarantined, given their ends,
// unless an answer with the cause was sound since or the servers live. It returns the causes
// that were not quarantined before.
func (t *Table) Adopt(now time.Time, ends []ServerEnd) (quarantined []CauseHash) {
	byCause := make(map[CauseHash][]ServerEnd)
	for _, end := range ends {
		if t.isRefuted(end) {
			continue
		}
		byCause[end.Cause] = append(byCause[end.Cause], end)
	}
	for hash, causeEnds := range byCause {
		c := t.causeOf(now, hash)
		for _, end := range causeEnds {
			t.suspect(end)
			if c.soundAt.After(end.At) {
				t.reportSound(now, hash, c)
			}
		}
		if c.adopt(now, causeEnds) {
			quarantined = append(quarantined, hash)
			t.clearExplained(now, hash)
		}
	}
	return quarantined
}

// QuarantinedUntil returns when the quarantine of a cause ends; false if it isn't
// quarantined.
func (t *Table) QuarantinedUntil(now time.Time, hash CauseHash) (time.Time, bool) {
	c, ok := t.causes[hash]
	if !ok || !c.isQuarantined(now) {
		return time.Time{}, false
	}
	return c.quarantinedAt.Add(quarantineTime), true
}

func (t *Table) recordEnd(now time.Time, end ServerEnd) bool {
	if t.isRefuted(end) {
		return false
	}
	if t.isExplained(now, end) {
		return false
	}
	t.suspect(end)
	if !t.causeOf(now, end.Cause).recordEnd(now, end) {
		return false
	}
	t.clearExplained(now, end.Cause)
	return true
}

// recordSoundCall records the sound answer of a call against which nothing counts, and
// reports whether it is one.
func (t *Table) recordSoundCall(sound SoundAnswer) bool {
	if !sound.Cause.IsCall() || t.causes[sound.Cause] != nil {
		return false
	}
	t.soundCalls.record(sound.Cause, sound.At)
	return true
}

// isExplained reports whether another call that is quarantined ended the same server, so
// that the end doesn't count against this call.
func (t *Table) isExplained(now time.Time, end ServerEnd) bool {
	if !end.Cause.IsCall() {
		return false
	}
	for _, hash := range t.suspects[end.Server] {
		other := t.causes[hash]
		if hash != end.Cause && other != nil && other.isCall && other.isQuarantined(now) && other.endedServer(end.Server) {
			return true
		}
	}
	return false
}

// clearExplained drops the ends of servers that the given call, which was quarantined just
// now, has ended from the calls that are not quarantined: those only ran beside it.
func (t *Table) clearExplained(now time.Time, quarantined CauseHash) {
	if !quarantined.IsCall() {
		return
	}
	for _, end := range t.causes[quarantined].ends {
		for _, hash := range t.suspects[end.Server] {
			other := t.causes[hash]
			if hash == quarantined || other == nil || !other.isCall || other.isQuarantined(now) {
				continue
			}
			other.ends = slices.DeleteFunc(other.ends, func(e ServerEnd) bool { return e.Server == end.Server })
		}
	}
}

func (t *Table) isRefuted(end ServerEnd) bool {
	at, ok := t.lives[end.Server]
	return ok && SignOfLife{Server: end.Server, At: at}.refutes(end)
}

// suspect notes that an end of the server counts against the cause.
func (t *Table) suspect(end ServerEnd) {
	if len(t.suspects) >= maxLives {
		clear(t.suspects)
		clear(t.lives)
	}
	for _, hash := range t.suspects[end.Server] {
		if hash == end.Cause {
			return
		}
	}
	t.suspects[end.Server] = append(t.suspects[end.Server], end.Cause)
}

// recordLife drops the earlier ends of a server.
func (t *Table) recordLife(now time.Time, life SignOfLife) (released []CauseHash) {
	if !life.At.After(t.lives[life.Server]) {
		return nil
	}
	suspects := t.suspects[life.Server]
	if len(suspects) > 0 {
		t.lives[life.Server] = life.At
	}
	for _, hash := range suspects {
		if c, ok := t.causes[hash]; ok && c.recordLife(now, life) {
			released = append(released, hash)
		}
	}
	return released
}

func (t *Table) causeOf(now time.Time, hash CauseHash) *cause {
	c, ok := t.causes[hash]
	if !ok {
		if len(t.causes) >= maxCauses {
			t.prune(now)
		}
		c = &cause{isCall: hash.IsCall(), soundAt: t.soundCalls.soundAt(hash)}
		t.causes[hash] = c
	}
	return c
}

// prune makes room for an eighth of the causes, so that it is seldom needed. Suspected
// causes stay unless all are.
func (t *Table) prune(now time.Time) {
	for hash, c := range t.causes {
		if !c.isSuspected(now) && now.Sub(c.soundAt) > soundMemory {
			delete(t.causes, hash)
		}
	}
	for _, keepSuspected := range []bool{true, false} {
		for hash, c := range t.causes {
			if len(t.causes) < maxCauses-maxCauses/8 {
				return
			}
			if !keepSuspected || !c.isSuspected(now) {
				delete(t.causes, hash)
			}
		}
	}
}
