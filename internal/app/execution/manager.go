package execution

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/app/idempotency"
	"hawthornstream/internal/core/configuration"
	core "hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/retry"
	"hawthornstream/internal/ports"
)

// comeBackAfter is what a refusal tells the caller when nobody knows better.
const comeBackAfter = time.Second

// Backends are the backends by the kind of service.
type Backends map[configuration.ServiceKind]ports.Backend

// Manager implements ports.Executor and ports.CallHistory.
type Manager struct {
	tell     *telling
	broker   ports.SlotBroker
	backends Backends
	keys     KeyKeeper
	budgets  *budgets
	// maxAnswer is the largest answer that is held for a retry with its key.
	maxAnswer int64
	*history
}

// KeyKeeper lets at most one attempt run for each idempotency key.
type KeyKeeper interface {
	// Begin asks for the right to run the call. When it is granted, Finish must
	// follow; else the call must not run.
	Begin(ctx context.Context, call *ports.Call) idempotency.BeginResult
	// Finish records how a granted attempt ended.
	Finish(began *idempotency.BeginResult, end outcome.End, reason outcome.Reason, answer *core.Answer)
}

// Params are what the manager is built from.
type Params struct {
	Logger   *log.Logger
	Scope    tally.Scope
	Broker   ports.SlotBroker
	Backends Backends
	// Keys may be nil where callers give no idempotency keys.
	Keys      KeyKeeper
	MaxAnswer int64
	// RetryPolicy returns this daemon's retry policy; nil stands for
	// retry.DefaultPolicy.
	RetryPolicy func() retry.Policy
}

// NewManager returns a manager without calls.
func NewManager(p Params) *Manager {
	return &Manager{
		tell:      newTelling(p.Logger, p.Scope.SubScope("execution")),
		broker:    p.Broker,
		backends:  p.Backends,
		keys:      p.Keys,
		maxAnswer: p.MaxAnswer,
		budgets:   newBudgets(p.RetryPolicy),
		history:   newHistory(),
	}
}

// Execute implements ports.Executor.
func (m *Manager) Execute(ctx context.Context, call *ports.Call, sink ports.AnswerSink) outcome.Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	life := m.begin(call)
	result := m.carryOutOnce(ctx, call, sink, life)
	m.record(call, life, result)
	return result
}

// carryOut runs the call, with retries where they are safe.
func (m *Manager) carryOut(
	ctx context.Context, call *ports.Call, sink ports.AnswerSink, life *trace,
) outcome.Result {
	backend, ok := m.backends[call.Kind]
	if !ok {
		return refused(&outcome.Refusal{
			Reason: outcome.ReasonInternal, End: outcome.NotRun, Detail: "no backend for the kind of service",
		})
	}
	r := &run{manager: m, backend: backend, call: call, sink: sink, life: life, end: outcome.NotRun}
	return r.toEnd(ctx)
}

func refused(refusal *outcome.Refusal) outcome.Result {
	return outcome.Result{End: refusal.End, Refusal: refusal}
}

// asRefusal returns the refusal that a port's error stands for.
func asRefusal(err error) *outcome.Refusal {
	var refusal *outcome.Refusal
	if errors.As(err, &refusal) {
		copied := *refusal
		return &copied
	}
	return &outcome.Refusal{Reason: outcome.ReasonInternal, End: outcome.NotRun, Detail: "no slot could be acquired"}
}

// record tells the end of a call.
func (m *Manager) record(call *ports.Call, life *trace, result outcome.Result) {
	now := time.Now()
	reason := outcome.Reason("")
	if result.Refusal != nil {
		reason = result.Refusal.Reason
	}
	life.add(now, "ended", fmt.Sprintf("run=%s reason=%s", result.End, reason))
	m.tell.ended(now, call, result)
}
