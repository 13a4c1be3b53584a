package quarantine

import (
	"slices"
	"time"
)

const (
	// endsToQuarantine is the number of ends after which a part is quarantined, and
	// endsOfKnownPart that of a part which had a sound answer within soundMemory.
	endsToQuarantine = 3
	endsOfKnownPart  = 5
	soundMemory      = time.Minute
	// minEndInterval is the least time between two ends that count: servers that fail
	// together, as in a failure domain without power, are one event.
	minEndInterval = 200 * time.Millisecond
	// endLifetime is the time for which an end counts against a part that is not
	// quarantined.
	endLifetime = 30 * time.Second
	// quarantineTime is the time from the last end to the end of the quarantine. After
	// it, a single further end quarantines the part again, for repeatMemory.
	quarantineTime = 10 * time.Minute
	repeatMemory   = time.Hour
	// maxEnds limits the ends that are kept of one part.
	maxEnds = 8
	// lifeMargin is the time after an end from which an answer refutes it: other daemons'
	// times are known up to the delay of their messages.
	lifeMargin = time.Second
)

// part is what is known of one prompt part.
type part struct {
	// ends are the ends that count, the oldest first.
	ends []ServerEnd
	// soundAt is the start of the latest sound answer, reportedAt when one was last
	// reported to other daemons.
	soundAt, reportedAt time.Time
	// quarantined is true from the end that made it so until a release. quarantinedAt is
	// the last end then; zero if the part never was quarantined.
	quarantined   bool
	quarantinedAt time.Time
}

// isSuspected reports whether ends count against the part, or did within repeatMemory.
func (p *part) isSuspected(now time.Time) bool {
	return p.wasQuarantined(now) || len(p.ends) > 0 && now.Sub(p.lastEnd()) < endLifetime
}

func (p *part) isQuarantined(now time.Time) bool {
	return p.quarantined && now.Sub(p.quarantinedAt) < quarantineTime
}

func (p *part) wasQuarantined(now time.Time) bool {
	return p.quarantined && now.Sub(p.quarantinedAt) < repeatMemory
}

func (p *part) lastEnd() time.Time {
	return p.ends[len(p.ends)-1].At
}

// recordSound records a sound answer that began at the given time, and reports whether it
// released the part. A part that ends each server has no sound answer after the first
// end: one such answer clears all ends.
func (p *part) recordSound(now, at time.Time) bool {
	if !at.After(p.soundAt) {
		return false
	}
	p.soundAt = at
	if len(p.ends) == 0 || !at.After(p.ends[0].At) {
		return false
	}
	return p.release(now)
}

// release clears the ends and reports whether the part was quarantined.
func (p *part) release(now time.Time) bool {
	was := p.isQuarantined(now)
	p.ends, p.quarantined = nil, false
	return was
}

// recordLife drops the ends of a server that has answered a request sent after them. It
// reports whether the part is released because too few are left.
func (p *part) recordLife(now time.Time, life SignOfLife) bool {
	p.ends = slices.DeleteFunc(p.ends, func(end ServerEnd) bool { return end.Server == life.Server && life.refutes(end) })
	return p.quarantined && countApart(p.ends) < endsToQuarantine && p.release(now)
}

// refutes reports whether the server answered a request that was sent after the end.
func (l SignOfLife) refutes(end ServerEnd) bool {
	return l.At.Sub(end.At) > lifeMargin
}

// addEnd adds an end, unless one of the server counts already. It drops the oldest above
// maxEnds.
func (p *part) addEnd(end ServerEnd) {
	if slices.ContainsFunc(p.ends, func(e ServerEnd) bool { return e.Server == end.Server }) {
		return
	}
	p.ends = append(p.ends, end)
	slices.SortFunc(p.ends, func(a, b ServerEnd) int { return a.At.Compare(b.At) })
	p.ends = p.ends[max(len(p.ends)-maxEnds, 0):]
}

// recordEnd adds an end and reports whether the part was quarantined by it.
func (p *part) recordEnd(now time.Time, end ServerEnd) bool {
	if !end.At.After(p.soundAt) || now.Sub(end.At) >= endLifetime {
		return false
	}
	if !p.quarantined {
		p.ends = slices.DeleteFunc(p.ends, func(e ServerEnd) bool { return now.Sub(e.At) >= endLifetime })
	}
	p.addEnd(end)
	if p.isQuarantined(now) || countApart(p.ends) < p.requiredEnds(now) {
		return false
	}
	p.quarantined, p.quarantinedAt = true, end.At
	return true
}

// adopt quarantines the part for the ends that another daemon knows, and reports whether
// it was not quarantined before.
func (p *part) adopt(now time.Time, ends []ServerEnd) bool {
	was := p.isQuarantined(now)
	for _, end := range ends {
		p.addEnd(end)
	}
	if countApart(p.ends) < endsToQuarantine || p.soundAt.After(p.ends[0].At) || now.Sub(p.lastEnd()) >= quarantineTime {
		return false
	}
	p.quarantined = true
	if p.lastEnd().After(p.quarantinedAt) {
		p.quarantinedAt = p.lastEnd()
	}
	return !was
}

// requiredEnds returns the number of ends that quarantine the part.
func (p *part) requiredEnds(now time.Time) int {
	switch {
	case p.wasQuarantined(now):
		return 1
	case !p.soundAt.IsZero() && now.Sub(p.soundAt) < soundMemory:
		return endsOfKnownPart
	default:
		return endsToQuarantine
	}
}

// countApart counts the ends that are at least minEndInterval after the last counted one.
func countApart(ends []ServerEnd) int {
	count := 0
	var last time.Time
	for _, end := range ends {
		if count == 0 || end.At.Sub(last) >= minEndInterval {
			count++
			last = end.At
		}
	}
	return count
}
