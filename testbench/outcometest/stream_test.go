package outcometest

import (
	"sync"
	"testing"
	"time"

	"hawthornstream/testbench/faultproxy"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

// strikeEngines makes the next streams of all engines meet a fault.
func (b *bench) strikeEngines(kind standin.FaultKind, count int) {
	for _, engine := range b.Engines {
		engine.ScheduleFault(standin.Fault{Kind: kind, Count: count, After: 4})
	}
}

func TestBrokenStreamsReachTheirCallersWhole(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	kinds := []standin.FaultKind{
		standin.FaultResetAfter, standin.FaultResetAnswer, standin.FaultSilentRan, standin.FaultSilentAnswer,
		standin.FaultTruncated, standin.FaultOverlong, standin.FaultWrongRequestID,
	}
	for _, kind := range kinds {
		b.strikeEngines(kind, 1)
		operation := "op-" + string(kind)
		b.expectWhole(b.call(0, question(operation, 20)))
		b.expectRuns(operation, 1)
		b.clearFaults()
	}
	b.audit()
}

func TestWholeAnswersThatBreakAreNotPassedForWhole(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	for _, kind := range []standin.FaultKind{
		standin.FaultTruncated, standin.FaultResetAnswer, standin.FaultWrongRequestID, standin.FaultOverlong,
	} {
		b.strikeEngines(kind, 1)
		call := question("op-"+string(kind), 10)
		call.Stream = false
		b.expectWhole(b.call(1, call))
		b.clearFaults()
	}
	b.audit()
}

// A stream that neither the engine nor another try can continue is cut off.
func TestStreamThatCanNotBeResumedIsCutOff(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	for _, engine := range b.Engines {
		engine.SetResumable(false)
	}
	b.strikeEngines(standin.FaultResetAnswer, 1)
	outcome := b.call(0, question("op-1", 20))
	if outcome.Complete || outcome.Err == nil || outcome.Mismatch != "" {
		t.Errorf("whole %t, error %v, wrong %q", outcome.Complete, outcome.Err, outcome.Mismatch)
	}
}

func TestConnectionsThatGoSilentAreReplaced(t *testing.T) {
	b := start(t, fleet.LinkOptions{Proxied: true})
	var calls sync.WaitGroup
	outcomes := make([]fleet.Outcome, 6)
	for i := range outcomes {
		calls.Go(func() { outcomes[i] = b.call(i%3, question("op-"+string(rune('a'+i)), 120)) })
	}
	fleet.Eventually(t, "streams run", func() bool { return len(b.RunLog.Runs()) == len(outcomes) })
	time.Sleep(200 * time.Millisecond)
	for _, link := range b.Network.Links(faultproxy.Between(faultproxy.NamedWithPrefix("daemon-"), faultproxy.NamedWithPrefix("model-"))) {
		link.StallOpenConnections()
	}
	calls.Wait()
	for _, outcome := range outcomes {
		b.expectWhole(outcome)
		b.expectRuns(outcome.Call.Operation, 1)
	}
	b.audit()
}
