package experiment

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hawthornstream/testbench/audit"
	"hawthornstream/testbench/fleet"
)

// logLongestWait logs the call with the longest wait among the workspaces that
// offer less than their share, to reveal starved calls.
func (e *Experiment) logLongestWait() {
	var longest fleet.Outcome
	for _, outcome := range e.Evidence.Outcomes {
		if slices.Contains(e.Config.Mix.Large, outcome.Call.Workspace) {
			continue
		}
		if longest.SentAt.IsZero() || outcome.TimeToFirstByte() > longest.TimeToFirstByte() {
			longest = outcome
		}
	}
	if longest.SentAt.IsZero() {
		return
	}
	e.Config.Logf("longest wait %.1fs: call %s %s at %s, sent at %.1fs, status %d, given up %v", longest.TimeToFirstByte().Seconds(),
		longest.Call.Operation, longest.RequestID, longest.Daemon, longest.SentAt.Sub(e.LoadStart).Seconds(), longest.Status, longest.CanceledByCaller())
	for _, run := range e.Evidence.Runs {
		if run.Operation == longest.Call.Operation {
			e.Config.Logf("its request to %s arrived at %.1fs, ran %v from %.1fs, ended %q at %.1fs, cost %.0f", run.Server, run.ArrivedAt.Sub(e.LoadStart).Seconds(),
				!run.StartedAt.IsZero(), run.StartedAt.Sub(e.LoadStart).Seconds(), run.Outcome, run.EndedAt.Sub(e.LoadStart).Seconds(), run.Cost())
		}
	}
}

// logUtilisation logs the utilisation of each second of the load, to reveal what
// a fault costs.
func (e *Experiment) logUtilisation() {
	var values []string
	for offset := time.Duration(0); offset < e.Config.LoadDuration; offset += time.Second {
		from := e.LoadStart.Add(offset)
		utilisation := audit.MeasureUtilisation(e.Evidence, e.Plan.Service, e.capacities(), from, from.Add(time.Second))
		values = append(values, fmt.Sprintf("%.2f", utilisation.UsedFraction))
	}
	e.Config.Logf("utilisation by second: %s", strings.Join(values, " "))
}

// queueChange is a change of the number of requests that wait at a backend
// server.
type queueChange struct {
	at    time.Time
	delta int
}

// logServerQueues logs the largest number of requests that waited at one backend
// server at the same time. Daemons can no longer reorder such requests to share
// capacity fairly.
func (e *Experiment) logServerQueues() {
	changesByServer := make(map[string][]queueChange)
	for _, run := range e.Evidence.Runs {
		end := run.StartedAt
		if end.IsZero() {
			end = run.EndedAt
		}
		if !end.IsZero() && run.Service == string(e.Plan.Service) {
			changesByServer[run.Server] = append(changesByServer[run.Server], queueChange{run.ArrivedAt, 1}, queueChange{end, -1})
		}
	}
	var maxWaiting int
	var maxServer string
	var maxTime time.Time
	for server, changes := range changesByServer {
		slices.SortFunc(changes, func(a, b queueChange) int { return a.at.Compare(b.at) })
		waiting := 0
		for _, change := range changes {
			waiting += change.delta
			if waiting > maxWaiting {
				maxWaiting, maxServer, maxTime = waiting, server, change.at
			}
		}
	}
	e.Config.Logf("most requests waiting at one server: %d at %s at %.1fs, %d running; a second later %d running", maxWaiting, maxServer,
		maxTime.Sub(e.LoadStart).Seconds(), e.runningAt(maxServer, maxTime), e.runningAt(maxServer, maxTime.Add(time.Second)))
}

// runningAt returns the number of requests that run at a backend server at a
// point in time.
func (e *Experiment) runningAt(server string, at time.Time) int {
	running := 0
	for _, run := range e.Evidence.Runs {
		started := !run.StartedAt.IsZero() && !run.StartedAt.After(at)
		if run.Server == server && started && (run.EndedAt.IsZero() || run.EndedAt.After(at)) {
			running++
		}
	}
	return running
}
