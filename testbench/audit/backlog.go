package audit

import (
	"sort"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/standin"
)

// span is a stretch of time.
type span struct {
	from time.Time
	to   time.Time
}

func (s span) length() time.Duration {
	return s.to.Sub(s.from)
}

// waits returns, for each workspace, when its calls of a service waited: from
// when the caller sent them until they ran, or ended without a run.
func waits(evidence Evidence, service ports.ServiceName) map[ports.WorkspaceID][]span {
	started := firstStarts(evidence.Runs)
	found := make(map[ports.WorkspaceID][]span)
	for _, outcome := range evidence.Outcomes {
		if outcome.Call.Service != service {
			continue
		}
		wait := span{from: outcome.SentAt, to: outcome.EndedAt}
		if start, ran := started[outcome.Call.Operation]; ran && start.Before(wait.to) {
			wait.to = start
		}
		if wait.to.After(wait.from) {
			workspace := outcome.Call.Workspace
			found[workspace] = append(found[workspace], wait)
		}
	}
	return found
}

func firstStarts(runs []standin.Run) map[string]time.Time {
	started := make(map[string]time.Time)
	for _, run := range runs {
		if run.StartedAt.IsZero() {
			continue
		}
		if first, found := started[run.Operation]; !found || run.StartedAt.Before(first) {
			started[run.Operation] = run.StartedAt
		}
	}
	return started
}

// union joins spans that touch.
func union(spans []span) []span {
	sorted := append([]span(nil), spans...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].from.Before(sorted[j].from) })
	var joined []span
	for _, next := range sorted {
		last := len(joined) - 1
		if last < 0 || next.from.After(joined[last].to) {
			joined = append(joined, next)
			continue
		}
		if next.to.After(joined[last].to) {
			joined[last].to = next.to
		}
	}
	return joined
}

// intersect returns the times that are in both of two joined lists.
func intersect(one, other []span) []span {
	var both []span
	for i, j := 0, 0; i < len(one) && j < len(other); {
		common := span{from: later(one[i].from, other[j].from), to: earlier(one[i].to, other[j].to)}
		if common.to.After(common.from) {
			both = append(both, common)
		}
		if one[i].to.Before(other[j].to) {
			i++
		} else {
			j++
		}
	}
	return both
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
