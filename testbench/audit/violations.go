// Package audit checks the guarantees of a fleet and measures its fairness and
// utilisation, from the run logs of the backend servers and the outcomes that the
// callers recorded alone. The integration tests and the experiment tool import it.
package audit

import (
	"fmt"
	"strings"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

// Evidence is what one experiment has recorded: the runs at the backend servers, the
// outcomes at the callers, and the configuration document.
type Evidence struct {
	Runs     []standin.Run
	Outcomes []fleet.Outcome
	Document configuration.Document
	// IsExpectedCut reports whether the experiment itself cut off a call, such as by
	// killing the daemon that the caller was connected to. It may be nil.
	IsExpectedCut func(fleet.Outcome) bool
}

// Violations holds the violations of the guarantees by kind, one text each.
type Violations struct {
	DoubleRuns   []string
	FalseNotRun  []string
	WrongAnswers []string
	CutCalls     []string
}

// FindViolations returns the violations of all guarantees.
func FindViolations(evidence Evidence) Violations {
	return Violations{
		DoubleRuns:   findDoubleRuns(evidence),
		FalseNotRun:  findFalseNotRun(evidence),
		WrongAnswers: findWrongAnswers(evidence.Outcomes),
		CutCalls:     findCutCalls(evidence),
	}
}

// All returns the violations of all kinds.
func (v *Violations) All() []string {
	var all []string
	for _, violations := range [][]string{v.DoubleRuns, v.FalseNotRun, v.WrongAnswers, v.CutCalls} {
		all = append(all, violations...)
	}
	return all
}

// findDoubleRuns finds the operations that are not repeatable and ran more than
// once, whatever answers their attempts got.
func findDoubleRuns(evidence Evidence) []string {
	runCounts := make(map[string]int)
	for _, run := range evidence.Runs {
		if !run.StartedAt.IsZero() {
			runCounts[run.Operation]++
		}
	}
	var violations []string
	seen := make(map[string]bool)
	for _, outcome := range evidence.Outcomes {
		operation := outcome.Call.Operation
		if seen[operation] || IsRepeatable(evidence.Document, outcome.Call) {
			continue
		}
		seen[operation] = true
		if n := runCounts[operation]; n > 1 {
			violations = append(violations, fmt.Sprintf("operation %s ran %d times", operation, n))
		}
	}
	return violations
}

// IsRepeatable reports whether a second run of a call does no harm: by its header, or
// without one by its class.
func IsRepeatable(document configuration.Document, call fleet.Call) bool {
	if call.Repeatable != "" {
		return call.Repeatable == "true"
	}
	class := call.Class
	if class == "" {
		class = document.Services[call.Service].DefaultClass
	}
	return document.Classes[class].Repeatable
}

// findFalseNotRun finds the calls that were answered "not run" and ran.
func findFalseNotRun(evidence Evidence) []string {
	serverByRequestID := make(map[string]string)
	for _, run := range evidence.Runs {
		if !run.StartedAt.IsZero() {
			serverByRequestID[callRequestID(run.RequestID)] = run.Server
		}
	}
	var violations []string
	for _, outcome := range evidence.Outcomes {
		server, found := serverByRequestID[outcome.RequestID]
		if outcome.Run == "not-run" && outcome.RequestID != "" && found {
			violations = append(violations, fmt.Sprintf("call %s was answered not run (%s) and ran on %s",
				outcome.RequestID, outcome.Reason, server))
		}
	}
	return violations
}

// callRequestID returns the ID of the call that a request was sent for. A retry
// appends a period and a number to the ID of the call.
func callRequestID(requestID string) string {
	call, _, _ := strings.Cut(requestID, ".")
	return call
}

// findWrongAnswers finds the answers that belong to another call or have lost or
// repeated parts.
func findWrongAnswers(outcomes []fleet.Outcome) []string {
	var violations []string
	for _, outcome := range outcomes {
		if outcome.Mismatch != "" {
			violations = append(violations, fmt.Sprintf("call %s at %s: %s", outcome.RequestID, outcome.Daemon, outcome.Mismatch))
		}
	}
	return violations
}

// findCutCalls finds the calls that were cut off, except for expected ones.
func findCutCalls(evidence Evidence) []string {
	var violations []string
	for _, outcome := range evidence.Outcomes {
		if !outcome.Interrupted() || evidence.IsExpectedCut != nil && evidence.IsExpectedCut(outcome) {
			continue
		}
		violations = append(violations, fmt.Sprintf("call %s of operation %s at %s: %v",
			outcome.RequestID, outcome.Call.Operation, outcome.Daemon, outcome.Err))
	}
	return violations
}

// ShareTarget returns the share target of a workspace, 1 if the document sets none.
func ShareTarget(document configuration.Document, workspace ports.WorkspaceID) float64 {
	if share := document.Workspaces[workspace].ShareTarget; share > 0 {
		return share
	}
	return 1
}
