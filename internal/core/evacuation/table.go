// Package evacuation maintains the set of failure domains that operators have
// evacuated in the platform's store, from the store's answers and from other daemons'
// lists. It has no I/O, clock or lock; platform uses it.
package evacuation

import (
	"time"

	"hawthornstream/internal/ports"
)

const (
	// RestoreHold is how long what was known of a failure domain before the store was
	// restored holds against the copy, unless its entry is written again: operators may
	// have to repeat what the copy lacks.
	RestoreHold = 6 * time.Second
	// removedMemory is how long the end of an evacuation is remembered. The copy from
	// which the store is restored is some seconds old.
	removedMemory = time.Minute
)

// Change is a change of one entry.
type Change struct {
	Domain ports.FailureDomain
	// Removed reports that the entry is gone.
	Removed bool
}

// Table is the set of evacuated failure domains with its version. It is not safe for
// concurrent use: its owner calls it under a lock.
//
// Load pattern: an operator evacuates a failure domain and takes it back within a second,
// twice, while daemons hear of it from the store, from each other, late or in another
// order. Only a newer version counts, so that no daemon goes back to an earlier answer.
type Table struct {
	version ports.StoreVersion
	// listed are the domains that the store lists, with the time since when this or
	// another daemon knows.
	listed map[ports.FailureDomain]time.Time
	// removed are the ends of evacuations in this era.
	removed map[ports.FailureDomain]time.Time
	// held is what is known from before a restore and contradicts the copy.
	held map[ports.FailureDomain]hold
}

// hold is what is known of a domain from before the store was restored.
type hold struct {
	isEvacuated bool
	since       time.Time
	until       time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		listed: make(map[ports.FailureDomain]time.Time), removed: make(map[ports.FailureDomain]time.Time),
		held: make(map[ports.FailureDomain]hold),
	}
}

// Version returns the newest state of the store that the table contains; zero if the
// table was never set.
func (t *Table) Version() ports.StoreVersion {
	return t.version
}

// InForce returns the evacuated domains, each with the time since when that is known. The
// result may be modified.
func (t *Table) InForce(now time.Time) map[ports.FailureDomain]time.Time {
	domains := make(map[ports.FailureDomain]time.Time, len(t.listed))
	for domain, since := range t.listed {
		domains[domain] = since
	}
	for domain, h := range t.held {
		switch {
		case !now.Before(h.until):
			delete(t.held, domain)
		case h.isEvacuated:
			domains[domain] = h.since
		default:
			delete(domains, domain)
		}
	}
	return domains
}

// Replace applies a whole list, unless the table is newer.
func (t *Table) Replace(now time.Time, version ports.StoreVersion, domains []ports.FailureDomain) {
	since := make(map[ports.FailureDomain]time.Time, len(domains))
	for _, domain := range domains {
		since[domain] = now
	}
	if t.version.IsNewerThan(version) {
		return
	}
	t.replace(now, version, since)
}

// Apply applies single changes in their order, unless the table is newer. The changes
// must be complete since a version of the same era that the table contains.
func (t *Table) Apply(now time.Time, version ports.StoreVersion, changes []Change) {
	if t.version.IsNewerThan(version) || t.version.Era != version.Era {
		return
	}
	t.version = version
	for _, change := range changes {
		delete(t.held, change.Domain)
		if change.Removed {
			t.remove(now, change.Domain)
			continue
		}
		t.add(change.Domain, now)
	}
}

// Snapshot returns the table in the form that other daemons adopt.
func (t *Table) Snapshot(now time.Time) ports.EvacuationPush {
	list := ports.EvacuationPush{Version: t.version.Revision, Era: t.version.Era}
	for domain, since := range t.listed {
		list.Domains = append(list.Domains, ports.EvacuatedDomain{Domain: domain, AgeMillis: now.Sub(since).Milliseconds()})
	}
	for domain, h := range t.held {
		if now.Before(h.until) {
			list.Held = append(list.Held, ports.HeldEvacuation{
				Domain: domain, IsEvacuated: h.isEvacuated,
				AgeMillis: now.Sub(h.since).Milliseconds(), HoldMillis: h.until.Sub(now).Milliseconds(),
			})
		}
	}
	return list
}

// Adopt replaces the table by another daemon's list if that is newer.
func (t *Table) Adopt(now time.Time, list ports.EvacuationPush) {
	version := list.StoreVersion()
	if !version.IsNewerThan(t.version) {
		return
	}
	since := make(map[ports.FailureDomain]time.Time, len(list.Domains))
	for _, listed := range list.Domains {
		since[listed.Domain] = timeOfAge(now, listed.AgeMillis)
	}
	t.replace(now, version, since)
	for _, reported := range list.Held {
		if _, known := t.held[reported.Domain]; known {
			continue
		}
		_, isListed := t.listed[reported.Domain]
		if isListed == reported.IsEvacuated {
			continue
		}
		remaining := min(time.Duration(reported.HoldMillis)*time.Millisecond, RestoreHold)
		t.held[reported.Domain] = hold{
			isEvacuated: reported.IsEvacuated, since: timeOfAge(now, reported.AgeMillis), until: now.Add(remaining),
		}
	}
}

// replace sets the listed domains, with the time since when each is known.
func (t *Table) replace(now time.Time, version ports.StoreVersion, since map[ports.FailureDomain]time.Time) {
	if version.Era != t.version.Era && t.version != (ports.StoreVersion{}) {
		t.holdAgainst(now, since)
	}
	t.version = version
	for domain := range t.listed {
		if _, still := since[domain]; !still {
			t.remove(now, domain)
		}
	}
	for domain, knownSince := range since {
		t.add(domain, knownSince)
	}
}

// holdAgainst begins a new era with the domains that the copy lists. What was known and
// contradicts the copy holds for RestoreHold.
func (t *Table) holdAgainst(now time.Time, copied map[ports.FailureDomain]time.Time) {
	before := t.InForce(now)
	clear(t.held)
	for domain, since := range before {
		if _, listed := copied[domain]; !listed {
			t.held[domain] = hold{isEvacuated: true, since: since, until: now.Add(RestoreHold)}
		}
	}
	for domain, removedAt := range t.removed {
		_, listed := copied[domain]
		if _, evacuated := before[domain]; listed && !evacuated && now.Sub(removedAt) < removedMemory {
			t.held[domain] = hold{since: removedAt, until: now.Add(RestoreHold)}
		}
	}
	clear(t.removed)
}

// add records that the store lists a domain. An evacuation that is listed again goes on.
func (t *Table) add(domain ports.FailureDomain, since time.Time) {
	if known, listed := t.listed[domain]; !listed || since.Before(known) {
		t.listed[domain] = since
	}
	delete(t.removed, domain)
}

func (t *Table) remove(now time.Time, domain ports.FailureDomain) {
	if _, listed := t.listed[domain]; !listed {
		return
	}
	delete(t.listed, domain)
	t.removed[domain] = now
	for ended, at := range t.removed {
		if now.Sub(at) >= removedMemory {
			delete(t.removed, ended)
		}
	}
}

func timeOfAge(now time.Time, ageMillis int64) time.Time {
	return now.Add(-time.Duration(max(ageMillis, 0)) * time.Millisecond)
}
