package audit

import (
	"sort"
	"time"

	"hawthornstream/internal/ports"
	"hawthornstream/testbench/standin"
)

// interval is the time between from and to.
type interval struct {
	from time.Time
	to   time.Time
}

func (s interval) length() time.Duration {
	return s.to.Sub(s.from)
}

// waitIntervals returns, for each workspace, the intervals in which its calls of a
// service waited: from when the caller sent a call until its operation first ran, or
// until the call ended.
func waitIntervals(evidence Evidence, service ports.ServiceName) map[ports.WorkspaceID][]interval {
	firstStarts := firstRunStarts(evidence.Runs)
	waits := make(map[ports.WorkspaceID][]interval)
	for _, outcome := range evidence.Outcomes {
		if outcome.Call.Service != service {
			continue
		}
		wait := interval{from: outcome.SentAt, to: outcome.EndedAt}
		if start, ran := firstStarts[outcome.Call.Operation]; ran && start.Before(wait.to) {
			wait.to = start
		}
		if wait.to.After(wait.from) {
			workspace := outcome.Call.Workspace
			waits[workspace] = append(waits[workspace], wait)
		}
	}
	return waits
}

// firstRunStarts returns when each operation first started to run.
func firstRunStarts(runs []standin.Run) map[string]time.Time {
	firstStarts := make(map[string]time.Time)
	for _, run := range runs {
		if run.StartedAt.IsZero() {
			continue
		}
		if first, found := firstStarts[run.Operation]; !found || run.StartedAt.Before(first) {
			firstStarts[run.Operation] = run.StartedAt
		}
	}
	return firstStarts
}

// mergeIntervals merges intervals that overlap or touch and returns them in order of
// time.
func mergeIntervals(intervals []interval) []interval {
	sorted := append([]interval(nil), intervals...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].from.Before(sorted[j].from) })
	var merged []interval
	for _, next := range sorted {
		last := len(merged) - 1
		if last < 0 || next.from.After(merged[last].to) {
			merged = append(merged, next)
			continue
		}
		if next.to.After(merged[last].to) {
			merged[last].to = next.to
		}
	}
	return merged
}

// intersectIntervals returns the intersection of two lists of merged intervals.
func intersectIntervals(first, second []interval) []interval {
	var both []interval
	for i, j := 0, 0; i < len(first) && j < len(second); {
		common := interval{from: later(first[i].from, second[j].from), to: earlier(first[i].to, second[j].to)}
		if common.to.After(common.from) {
			both = append(both, common)
		}
		if first[i].to.Before(second[j].to) {
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
