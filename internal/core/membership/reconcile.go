package membership

import (
	"github.com/cespare/xxhash/v2"

	"hawthornstream/internal/ports"
)

// isListedButDeadOrLeft reports whether a member is in the VM list, has given a
// sign of life and is now dead or left.
func (m *member) isListedButDeadOrLeft() bool {
	return m.listed && m.incarnation != 0 && m.state >= ports.MemberDead
}

// deadOrLeftDigest returns a digest of the listed members that are dead or left.
// It is equal at two daemons that have the same set of them.
func (t *Table) deadOrLeftDigest() uint64 {
	var digest uint64
	for id, m := range t.members {
		if m.isListedButDeadOrLeft() {
			digest ^= xxhash.Sum64String(string(id))
		}
	}
	return digest
}

// compareDigest counts the consecutive messages of another daemon whose digest
// differed. Updates that are still spreading make digests differ only for a
// short time.
func (t *Table) compareDigest(from ports.DaemonID, digest uint64) {
	if digest == t.deadOrLeftDigest() {
		delete(t.digestMismatches, from)
		return
	}
	t.digestMismatches[from]++
}

// reconciliationUpdates returns the updates about dead or left members when the
// receiver's digest has differed DigestMismatchThreshold times in a row, since
// it may have missed an update. Above MaxReconciledUpdates, a random choice is
// sent.
func (t *Table) reconciliationUpdates(receiver ports.DaemonID) []ports.MemberUpdate {
	if t.digestMismatches[receiver] < t.config.DigestMismatchThreshold {
		return nil
	}
	delete(t.digestMismatches, receiver)
	ids := t.selectMembers((*member).isListedButDeadOrLeft)
	t.random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var updates []ports.MemberUpdate
	for _, id := range ids[:min(len(ids), t.config.MaxReconciledUpdates)] {
		updates = append(updates, t.members[id].update())
	}
	return updates
}
