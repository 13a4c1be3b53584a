// Package audit judges a fleet by the run logs of the backend servers and the
// records of the callers alone. The integration tests and the experiment tool
// import it.
package audit

import (
	"fmt"
	"strings"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

// Evidence is what one experiment has recorded.
type Evidence struct {
	Runs     []standin.Run
	Outcomes []fleet.Outcome
	Document configuration.Document
	// Excused says of a call that was cut off that the experiment itself cut
	// it, such as by killing the caller's daemon. It may be nil.
	Excused func(fleet.Outcome) bool
}

// Faults are broken promises, one line each.
type Faults struct {
	DoubleRuns   []string
	FalseNotRun  []string
	WrongAnswers []string
	CutCalls     []string
}

// Promises finds the broken promises.
func Promises(evidence Evidence) Faults {
	return Faults{
		DoubleRuns:   doubleRuns(evidence),
		FalseNotRun:  falseNotRun(evidence),
		WrongAnswers: wrongAnswers(evidence.Outcomes),
		CutCalls:     cutCalls(evidence),
	}
}

// All returns all faults.
func (f *Faults) All() []string {
	var all []string
	for _, faults := range [][]string{f.DoubleRuns, f.FalseNotRun, f.WrongAnswers, f.CutCalls} {
		all = append(all, faults...)
	}
	return all
}

// doubleRuns finds the operations that are not repeatable and ran more than
// once, whatever their tries were told.
func doubleRuns(evidence Evidence) []string {
	runs := make(map[string]int)
	for _, run := range evidence.Runs {
		if !run.StartedAt.IsZero() {
			runs[run.Operation]++
		}
	}
	var faults []string
	seen := make(map[string]bool)
	for _, outcome := range evidence.Outcomes {
		operation := outcome.Call.Operation
		if seen[operation] || Repeatable(evidence.Document, outcome.Call) {
			continue
		}
		seen[operation] = true
		if n := runs[operation]; n > 1 {
			faults = append(faults, fmt.Sprintf("operation %s ran %d times", operation, n))
		}
	}
	return faults
}

// Repeatable says whether a second run of a call does no harm, by its header
// or its class.
func Repeatable(document configuration.Document, call fleet.Call) bool {
	if call.Repeatable != "" {
		return call.Repeatable == "true"
	}
	class := call.Class
	if class == "" {
		class = document.Services[call.Service].DefaultClass
	}
	return document.Classes[class].Repeatable
}

// falseNotRun finds the calls that were answered "not run" and ran.
func falseNotRun(evidence Evidence) []string {
	ran := make(map[string]string)
	for _, run := range evidence.Runs {
		if !run.StartedAt.IsZero() {
			ran[callOf(run.RequestID)] = run.Server
		}
	}
	var faults []string
	for _, outcome := range evidence.Outcomes {
		server, found := ran[outcome.RequestID]
		if outcome.Run == "not-run" && outcome.RequestID != "" && found {
			faults = append(faults, fmt.Sprintf("call %s was answered not run (%s) and ran on %s",
				outcome.RequestID, outcome.Reason, server))
		}
	}
	return faults
}

// callOf returns the id of the call that a request was sent for: a call that is
// sent again adds a number to its id.
func callOf(requestID string) string {
	call, _, _ := strings.Cut(requestID, ".")
	return call
}

func wrongAnswers(outcomes []fleet.Outcome) []string {
	var faults []string
	for _, outcome := range outcomes {
		if outcome.Mismatch != "" {
			faults = append(faults, fmt.Sprintf("call %s at %s: %s", outcome.RequestID, outcome.Daemon, outcome.Mismatch))
		}
	}
	return faults
}

func cutCalls(evidence Evidence) []string {
	var faults []string
	for _, outcome := range evidence.Outcomes {
		if !outcome.Interrupted() || evidence.Excused != nil && evidence.Excused(outcome) {
			continue
		}
		faults = append(faults, fmt.Sprintf("call %s of operation %s at %s: %v",
			outcome.RequestID, outcome.Call.Operation, outcome.Daemon, outcome.Err))
	}
	return faults
}

// Share returns a workspace's share target.
func Share(document configuration.Document, workspace ports.WorkspaceID) float64 {
	if share := document.Workspaces[workspace].ShareTarget; share > 0 {
		return share
	}
	return 1
}
