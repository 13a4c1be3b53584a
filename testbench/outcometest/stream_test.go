package outcometest

import (
	"sync"
	"testing"
	"time"

	"hawthornstream/testbench/faultproxy"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

// injectEngineFaults makes the next count requests to each engine fail with a
// fault.
func (fx *fixture) injectEngineFaults(kind standin.FaultKind, count int) {
	for _, engine := range fx.Engines {
		engine.ScheduleFault(standin.Fault{Kind: kind, Count: count, After: 4})
	}
}

func TestBrokenStreamsAreCompletedForCallers(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	kinds := []standin.FaultKind{
		standin.FaultResetAfter, standin.FaultResetAnswer, standin.FaultSilentRan, standin.FaultSilentAnswer,
		standin.FaultTruncated, standin.FaultOverlong, standin.FaultWrongRequestID,
	}
	for _, kind := range kinds {
		fx.injectEngineFaults(kind, 1)
		operation := "op-" + string(kind)
		fx.expectComplete(fx.call(0, questionCall(operation, 20)))
		fx.expectRuns(operation, 1)
		fx.clearFaults()
	}
	fx.checkGuarantees()
}

func TestBrokenUnstreamedAnswersAreNotReportedAsComplete(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	for _, kind := range []standin.FaultKind{
		standin.FaultTruncated, standin.FaultResetAnswer, standin.FaultWrongRequestID, standin.FaultOverlong,
	} {
		fx.injectEngineFaults(kind, 1)
		call := questionCall("op-"+string(kind), 10)
		call.Stream = false
		fx.expectComplete(fx.call(1, call))
		fx.clearFaults()
	}
	fx.checkGuarantees()
}

// A stream that neither the engine nor another attempt can continue is cut off.
func TestStreamThatCannotBeResumedIsCutOff(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	for _, engine := range fx.Engines {
		engine.SetResumable(false)
	}
	fx.injectEngineFaults(standin.FaultResetAnswer, 1)
	outcome := fx.call(0, questionCall("op-1", 20))
	if outcome.Complete || outcome.Err == nil || outcome.Mismatch != "" {
		t.Errorf("whole %t, error %v, wrong %q", outcome.Complete, outcome.Err, outcome.Mismatch)
	}
}

func TestStalledConnectionsToServersAreReplaced(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{Proxied: true})
	var calls sync.WaitGroup
	outcomes := make([]fleet.Outcome, 6)
	for i := range outcomes {
		calls.Go(func() { outcomes[i] = fx.call(i%3, questionCall("op-"+string(rune('a'+i)), 120)) })
	}
	fleet.Eventually(t, "all streams are running", func() bool { return len(fx.RunLog.Runs()) == len(outcomes) })
	time.Sleep(200 * time.Millisecond)
	for _, link := range fx.Network.Links(faultproxy.Between(faultproxy.NamedWithPrefix("daemon-"), faultproxy.NamedWithPrefix("model-"))) {
		link.StallOpenConnections()
	}
	calls.Wait()
	for _, outcome := range outcomes {
		fx.expectComplete(outcome)
		fx.expectRuns(outcome.Call.Operation, 1)
	}
	fx.checkGuarantees()
}
