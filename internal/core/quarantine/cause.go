package quarantine

import (
	"slices"
	"time"
)

const (
	// endsToQuarantine is the number of ends after which a cause is quarantined, and
	// endsOfKnownCause that of a cause which had a sound answer within soundMemory.
	endsToQuarantine = 3
	endsOfKnownCause = 5
	soundMemory      = time.Minute
	// minEndInterval is the least time between two ends that count: servers that fail
	// together, as in a failure domain without power, are one event.
	minEndInterval = 200 * time.Millisecond
	// minCallEndInterval is the same for whole calls. One call runs on one server at a
	// time: it ends the next one as soon as it has been sent there.
	minCallEndInterval = 50 * time.Millisecond
	// endLifetime is the time for which an end counts against a cause that is not
	// quarantined.
	endLifetime = 30 * time.Second
	// callEndLifetime is the same for whole calls, which may come again after minutes. A
	// sound call has a sound answer when it does.
	callEndLifetime = 10 * time.Minute
	// quarantineTime is the time from the last end to the end of the quarantine. After
	// it, a single further end quarantines the cause again, for repeatMemory.
	quarantineTime = 10 * time.Minute
	repeatMemory   = time.Hour
	// maxEnds limits the ends that are kept of one cause.
	maxEnds = 8
	// lifeMargin is the time after an end from which an answer refutes it: other daemons'
	// times are known up to the delay of their messages.
	lifeMargin = time.Second
)

// cause is what is known of one possible cause of the ends of servers.
type cause struct {
	// isCall is true for a whole call and false for a part of prompts.
	isCall bool
	// ends are the ends that count, the oldest first.
	ends []ServerEnd
	// soundAt is the start of the latest sound answer, reportedAt when one was last
	// reported to other daemons.
	soundAt, reportedAt time.Time
	// quarantined is true from the end that made it so until a release. quarantinedAt is
	// the last end then; zero if the cause never was quarantined.
	quarantined   bool
	quarantinedAt time.Time
}

// isSuspected reports whether ends count against the cause, or did within repeatMemory.
func (c *cause) isSuspected(now time.Time) bool {
	return c.wasQuarantined(now) || len(c.ends) > 0 && now.Sub(c.lastEnd()) < c.endLifetime()
}

func (c *cause) isQuarantined(now time.Time) bool {
	return c.quarantined && now.Sub(c.quarantinedAt) < quarantineTime
}

func (c *cause) wasQuarantined(now time.Time) bool {
	return c.quarantined && now.Sub(c.quarantinedAt) < repeatMemory
}

func (c *cause) endLifetime() time.Duration {
	if c.isCall {
		return callEndLifetime
	}
	return endLifetime
}

// endedServer reports whether an end of the server counts against the cause.
func (c *cause) endedServer(server ServerInstance) bool {
	return slices.ContainsFunc(c.ends, func(e ServerEnd) bool { return e.Server == server })
}

func (c *cause) lastEnd() time.Time {
	return c.ends[len(c.ends)-1].At
}

// recordSound records a sound answer that began at the given time, and reports whether it
// released the cause. A cause that ends each server has no sound answer after the first
// end: one such answer clears all ends.
func (c *cause) recordSound(now, at time.Time) bool {
	if !at.After(c.soundAt) {
		return false
	}
	c.soundAt = at
	if len(c.ends) == 0 || !at.After(c.ends[0].At) {
		return false
	}
	return c.release(now)
}

// release clears the ends and reports whether the cause was quarantined.
func (c *cause) release(now time.Time) bool {
	was := c.isQuarantined(now)
	c.ends, c.quarantined = nil, false
	return was
}

// recordLife drops the ends of a server that has answered a request sent after them. It
// reports whether the cause is released because too few are left.
func (c *cause) recordLife(now time.Time, life SignOfLife) bool {
	c.ends = slices.DeleteFunc(c.ends, func(end ServerEnd) bool { return end.Server == life.Server && life.refutes(end) })
	return c.quarantined && c.countApart() < endsToQuarantine && c.release(now)
}

// refutes reports whether the server answered a request that was sent after the end.
func (l SignOfLife) refutes(end ServerEnd) bool {
	return l.At.Sub(end.At) > lifeMargin
}

// addEnd adds an end, unless one of the server counts already. It drops the oldest above
// maxEnds.
func (c *cause) addEnd(end ServerEnd) {
	if c.endedServer(end.Server) {
		return
	}
	c.ends = append(c.ends, end)
	slices.SortFunc(c.ends, func(a, b ServerEnd) int { return a.At.Compare(b.At) })
	c.ends = c.ends[max(len(c.ends)-maxEnds, 0):]
}

// recordEnd adds an end and reports whether the cause was quarantined by it.
func (c *cause) recordEnd(now time.Time, end ServerEnd) bool {
	if !end.At.After(c.soundAt) || now.Sub(end.At) >= c.endLifetime() {
		return false
	}
	if !c.quarantined {
		c.ends = slices.DeleteFunc(c.ends, func(e ServerEnd) bool { return now.Sub(e.At) >= c.endLifetime() })
	}
	c.addEnd(end)
	if c.isQuarantined(now) || c.countApart() < c.requiredEnds(now) {
		return false
	}
	c.quarantined, c.quarantinedAt = true, end.At
	return true
}

// adopt quarantines the cause for the ends that another daemon knows, and reports whether
// it was not quarantined before.
func (c *cause) adopt(now time.Time, ends []ServerEnd) bool {
	was := c.isQuarantined(now)
	for _, end := range ends {
		c.addEnd(end)
	}
	if c.countApart() < endsToQuarantine || c.soundAt.After(c.ends[0].At) || now.Sub(c.lastEnd()) >= quarantineTime {
		return false
	}
	c.quarantined = true
	if c.lastEnd().After(c.quarantinedAt) {
		c.quarantinedAt = c.lastEnd()
	}
	return !was
}

// requiredEnds returns the number of ends that quarantine the cause.
func (c *cause) requiredEnds(now time.Time) int {
	switch {
	case c.wasQuarantined(now):
		return 1
	case !c.soundAt.IsZero() && now.Sub(c.soundAt) < soundMemory:
		return endsOfKnownCause
	default:
		return endsToQuarantine
	}
}

// countApart counts the ends that are apart in time.
func (c *cause) countApart() int {
	interval := minEndInterval
	if c.isCall {
		interval = minCallEndInterval
	}
	count := 0
	var last time.Time
	for _, end := range c.ends {
		if count == 0 || end.At.Sub(last) >= interval {
			count++
			last = end.At
		}
	}
	return count
}
