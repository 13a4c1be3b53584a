package outcometest

import (
	"testing"

	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

// injectServerFaults makes the next count requests to each server of the service
// orders fail with a fault.
func (fx *fixture) injectServerFaults(kind standin.FaultKind, count int) {
	for _, server := range fx.PlainServers {
		server.ScheduleFault(standin.Fault{Kind: kind, Count: count, After: 3})
	}
}

func (fx *fixture) clearFaults() {
	for _, server := range fx.PlainServers {
		server.ClearFaults()
	}
	for _, engine := range fx.Engines {
		engine.ClearFaults()
	}
}

func TestNotRepeatableCallRunsAtMostOnce(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	wantRunByFault := map[standin.FaultKind]string{
		standin.FaultResetBefore:    "unknown",
		standin.FaultResetDuring:    "unknown",
		standin.FaultResetAfter:     "unknown",
		standin.FaultResetAnswer:    "ran",
		standin.FaultWrongRequestID: "unknown",
		standin.FaultOverloaded:     "not-run",
		standin.FaultLeaving:        "not-run",
	}
	for kind, wantRun := range wantRunByFault {
		fx.injectServerFaults(kind, 1)
		outcome := fx.call(0, orderCall("op-"+string(kind), ""))
		if outcome.Run != wantRun || outcome.Complete {
			t.Errorf("%s: run %q, reason %q, whole %t, error %v; want %q",
				kind, outcome.Run, outcome.Reason, outcome.Complete, outcome.Err, wantRun)
		}
		fx.clearFaults()
	}
	fx.checkGuarantees()
}

// When no connection could be opened, nothing was sent, so the call may safely go
// to another server.
func TestUnreachableServerFailsNoCall(t *testing.T) {
	fx := startFixture(t, fleet.LinkOptions{})
	fx.PlainServers["orders-1"].Close()
	for _, operation := range []string{"op-1", "op-2", "op-3", "op-4"} {
		fx.expectComplete(fx.call(0, orderCall(operation, "")))
		fx.expectRuns(operation, 1)
	}
	fx.checkGuarantees()
}
