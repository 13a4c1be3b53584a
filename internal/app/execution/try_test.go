package execution

import (
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
)

// immediateBroker is a fakeBroker that also grants slots without waiting, if it has any.
type immediateBroker struct {
	*fakeBroker
	hasSlots bool
}

func (b *immediateBroker) TryAcquire(call *ports.Call) (ports.Slot, bool) {
	if !b.hasSlots {
		return nil, false
	}
	slot, err := b.Acquire(context.Background(), call)
	return slot, err == nil
}

// A run on a silent connection goes on unless another try has a slot and the budget. The
// retry is charged once, and no slot is lost.
func TestSilentTryIsAbandonedOnlyForAnotherTry(t *testing.T) {
	silent := runResult(outcome.Ran, outcome.ReasonConnectionSilent)
	cases := map[string]struct {
		hasSlots  bool
		retries   int
		first     ports.RunResult
		abandoned bool
		runs      int
	}{
		"no other server":      {false, 1, ports.RunResult{End: outcome.Ran}, false, 1},
		"no budget":            {true, 0, ports.RunResult{End: outcome.Ran}, false, 1},
		"another try":          {true, 1, silent, true, 2},
		"ended just before it": {true, 1, ports.RunResult{End: outcome.Ran}, true, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			broker := &immediateBroker{fakeBroker: &fakeBroker{}, hasSlots: c.hasSlots}
			backend := &fakeBackend{results: []ports.RunResult{c.first}}
			abandoned := false
			backend.onRun = func(_ context.Context, call *ports.Call) {
				if backend.runs() == 1 {
					abandoned = call.MayAbandonSilent(time.Second)
				}
			}
			executor := NewExecutor(Params{
				Logger: discardLogger(), Scope: tally.NoopScope, Broker: broker,
				Backends: Backends{configuration.ServiceKindPlain: backend}, Keys: newFakeKeys(), MaxAnswerBytes: 1 << 10,
				RetryPolicy: func() retry.Policy { return retry.Policy{MinRetries: c.retries} },
			})
			result := executor.Execute(context.Background(), newCall("r1", true), new(fakeSink))
			if result.Refusal != nil || abandoned != c.abandoned || backend.runs() != c.runs {
				t.Errorf("got %+v, abandoned %t, %d runs", result, abandoned, backend.runs())
			}
			if broker.acquired != broker.released {
				t.Errorf("%d slots acquired, %d released", broker.acquired, broker.released)
			}
		})
	}
}

// A retry that was prepared for a silent run, and isn't made because the run ends, leaves
// its budget to the next call.
func TestUnmadeRetryIsNotCharged(t *testing.T) {
	broker := &immediateBroker{fakeBroker: &fakeBroker{}, hasSlots: true}
	backend := &fakeBackend{}
	backend.onRun = func(_ context.Context, call *ports.Call) { call.MayAbandonSilent(time.Second) }
	executor := NewExecutor(Params{
		Logger: discardLogger(), Scope: tally.NoopScope, Broker: broker,
		Backends: Backends{configuration.ServiceKindPlain: backend}, Keys: newFakeKeys(), MaxAnswerBytes: 1 << 10,
		RetryPolicy: func() retry.Policy { return retry.Policy{MinRetries: 1} },
	})
	executor.Execute(context.Background(), newCall("r1", true), new(fakeSink))
	backend.onRun = nil
	backend.results = []ports.RunResult{runResult(outcome.Unknown, outcome.ReasonConnectionBroken)}
	if result := executor.Execute(context.Background(), newCall("r2", true), new(fakeSink)); result.Refusal != nil {
		t.Errorf("the only retry was charged to a run that ended: %v", result.Refusal)
	}
}
