package execution

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// The events of a call's life in the log.
const (
	eventPlaced  = "call-placed"
	eventRan     = "call-ran"
	eventRetried = "call-retried"
	eventEnded   = "call-ended"
)

// telling logs and measures what becomes of calls. Each event and reason has a
// bounded number of lines.
type telling struct {
	log      *log.Logger
	lines    *logging.Limiter
	calls    *metrics.Counters
	refusals *metrics.Counters
	retries  *metrics.Counters
	over     *metrics.Counters
	waited   *metrics.Durations
	first    *metrics.Durations
	pauses   *metrics.Durations
	whole    *metrics.Durations
}

func newTelling(logger *log.Logger, scope tally.Scope) *telling {
	return &telling{
		log:      logger,
		lines:    logging.NewLimiter(logger),
		calls:    metrics.NewCounters(scope, "calls", "service", "run"),
		refusals: metrics.NewCounters(scope, "refusals", "reason", "service", "run"),
		retries:  metrics.NewCounters(scope, "retries", "reason", "service"),
		over:     metrics.NewCounters(scope, "retries_over_budget", "reason", "service"),
		waited:   metrics.NewDurations(scope, "queue_seconds", "service"),
		first:    metrics.NewDurations(scope, "first_byte_seconds", "service"),
		pauses:   metrics.NewDurations(scope, "longest_pause_seconds", "service"),
		whole:    metrics.NewDurations(scope, "answer_seconds", "service"),
	}
}

// placed tells why a call goes to a server.
func (t *telling) placed(call *ports.Call, server ports.VM, origin ports.GrantDetails) {
	t.waited.Record(origin.Waited, string(call.Service))
	if !t.lines.Allow(eventPlaced, "") {
		return
	}
	t.log.Info().Str("event", eventPlaced).Str("request", string(call.ID)).
		Str("workspace", string(call.Workspace)).Str("service", string(call.Service)).Str("class", string(call.Class)).
		Uint64("revision", uint64(call.Revision)).Str("server", string(server.Name)).
		Str("domain", string(server.Domain)).Int("failedBefore", len(call.FailedServers)).
		Dur("waited", origin.Waited).Dur("expected", origin.ExpectedFirstByte).Float64("overuse", origin.Overuse).
		Str("holder", origin.CacheHolder).Msg("")
}

// ran tells how a run on a server ended.
func (t *telling) ran(call *ports.Call, server ports.VM, result ports.RunResult) {
	service := string(call.Service)
	if result.Report.FirstByteAfter > 0 {
		t.first.Record(result.Report.FirstByteAfter, service)
	}
	if result.Report.LongestPause > 0 {
		t.pauses.Record(result.Report.LongestPause, service)
	}
	if result.Reason == "" || !t.lines.Allow(eventRan, string(result.Reason)) {
		return
	}
	t.log.Info().Str("event", eventRan).Str("request", string(call.ID)).Str("server", string(server.Name)).
		Str("run", string(result.End)).Str("reason", string(result.Reason)).
		Dur("firstByteAfter", result.Report.FirstByteAfter).Int("lastEvent", result.LastEventID).
		Str("detail", result.Detail).Msg("")
}

// retried tells that a call is tried again.
func (t *telling) retried(call *ports.Call, last ports.RunResult, wait time.Duration) {
	t.retries.Inc(string(last.Reason), string(call.Service))
	if !t.lines.Allow(eventRetried, string(last.Reason)) {
		return
	}
	t.log.Info().Str("event", eventRetried).Str("request", string(call.ID)).Str("service", string(call.Service)).
		Str("reason", string(last.Reason)).Str("detail", last.Detail).Dur("wait", wait).Msg("")
}

// overBudget tells that the retry budget was spent.
func (t *telling) overBudget(call *ports.Call, last ports.RunResult) {
	t.over.Inc(string(last.Reason), string(call.Service))
}

// ended tells how a call ended.
func (t *telling) ended(now time.Time, call *ports.Call, result outcome.Result) {
	refusal := result.Refusal
	if refusal == nil {
		refusal = &outcome.Refusal{}
	} else {
		t.refusals.Inc(string(refusal.Reason), string(call.Service), string(result.End))
	}
	t.calls.Inc(string(call.Service), string(result.End))
	took := now.Sub(call.Arrived)
	t.whole.Record(took, string(call.Service))
	if !t.lines.Allow(eventEnded, string(refusal.Reason)) {
		return
	}
	t.log.Info().Str("event", eventEnded).Str("request", string(call.ID)).
		Str("workspace", string(call.Workspace)).Str("service", string(call.Service)).Str("class", string(call.Class)).
		Uint64("revision", uint64(call.Revision)).Str("run", string(result.End)).
		Str("reason", string(refusal.Reason)).Str("detail", refusal.Detail).Dur("retryAfter", refusal.RetryAfter).
		Int("failedTries", len(call.FailedServers)).Dur("took", took).Msg("")
}
