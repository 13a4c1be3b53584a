package outcometest

import (
	"testing"

	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin"
)

// strike makes the next requests to all order servers meet a fault.
func (b *bench) strike(kind standin.FaultKind, count int) {
	for _, server := range b.PlainServers {
		server.ScheduleFault(standin.Fault{Kind: kind, Count: count, After: 3})
	}
}

func (b *bench) clearFaults() {
	for _, server := range b.PlainServers {
		server.ClearFaults()
	}
	for _, engine := range b.Engines {
		engine.ClearFaults()
	}
}

func TestNotRepeatableCallRunsAtMostOnce(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	ends := map[standin.FaultKind]string{
		standin.FaultResetBefore:    "unknown",
		standin.FaultResetDuring:    "unknown",
		standin.FaultResetAfter:     "unknown",
		standin.FaultResetAnswer:    "ran",
		standin.FaultWrongRequestID: "unknown",
		standin.FaultOverloaded:     "not-run",
		standin.FaultLeaving:        "not-run",
	}
	for kind, end := range ends {
		b.strike(kind, 1)
		outcome := b.call(0, order("op-"+string(kind), ""))
		if outcome.Run != end || outcome.Complete {
			t.Errorf("%s: run %q, reason %q, whole %t, error %v; want %q",
				kind, outcome.Run, outcome.Reason, outcome.Complete, outcome.Err, end)
		}
		b.clearFaults()
	}
	b.audit()
}

// Without a connection nothing was sent, so that another server may get the
// call.
func TestUnreachableServerCostsNoCall(t *testing.T) {
	b := start(t, fleet.LinkOptions{})
	b.PlainServers["orders-1"].Close()
	for _, operation := range []string{"op-1", "op-2", "op-3", "op-4"} {
		b.expectWhole(b.call(0, order(operation, "")))
		b.expectRuns(operation, 1)
	}
	b.audit()
}
