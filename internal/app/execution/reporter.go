package execution

import (
	"fmt"
	"runtime/debug"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/quarantine"
	"hawthornstream/internal/ports"
)

// The log events of a call.
const (
	eventPlaced  = "call-placed"
	eventRan     = "call-ran"
	eventRetried = "call-retried"
	eventGivenUp = "call-given-up"
	eventKept    = "silent-run-kept"
	eventReplace = "silent-run-replacement"
	eventEnded   = "call-ended"
	eventPanic   = "run-panicked"
)

// callReporter logs and measures the progress and the end of calls. The number of log
// lines is limited for each event and reason.
type callReporter struct {
	log               *log.Logger
	limiter           *logging.Limiter
	calls             *metrics.CounterVec
	refusals          *metrics.CounterVec
	retries           *metrics.CounterVec
	retriesOverBudget *metrics.CounterVec
	answersCut        *metrics.CounterVec
	silentTriesKept   *metrics.CounterVec
	replacements      *metrics.CounterVec
	panics            *metrics.CounterVec
	queueTimes        *metrics.DurationHistogramVec
	firstByteTimes    *metrics.DurationHistogramVec
	longestPauses     *metrics.DurationHistogramVec
	answerTimes       *metrics.DurationHistogramVec
}

func newCallReporter(logger *log.Logger, scope tally.Scope) *callReporter {
	return &callReporter{
		log:               logger,
		limiter:           logging.NewLimiter(logger),
		calls:             metrics.NewCounterVec(scope, "calls", "service", "run"),
		refusals:          metrics.NewCounterVec(scope, "refusals", "reason", "service", "run"),
		retries:           metrics.NewCounterVec(scope, "retries", "reason", "service"),
		retriesOverBudget: metrics.NewCounterVec(scope, "retries_over_budget", "reason", "service"),
		silentTriesKept:   metrics.NewCounterVec(scope, "silent_runs_kept", "cause", "service"),
		replacements:      metrics.NewCounterVec(scope, "silent_run_replacements", "end", "service"),
		panics:            metrics.NewCounterVec(scope, "run_panics", "service"),
		answersCut:        metrics.NewCounterVec(scope, "answers_cut", "reason", "service"),
		queueTimes:        metrics.NewDurationHistogramVec(scope, "queue_seconds", "service"),
		firstByteTimes:    metrics.NewDurationHistogramVec(scope, "first_byte_seconds", "service"),
		longestPauses:     metrics.NewDurationHistogramVec(scope, "longest_pause_seconds", "service"),
		answerTimes:       metrics.NewDurationHistogramVec(scope, "answer_seconds", "service"),
	}
}

// callPlaced reports that a call got a slot of a backend server, with the grounds of
// the choice.
func (r *callReporter) callPlaced(call *ports.Call, server ports.VM, details ports.GrantDetails) {
	r.queueTimes.Record(details.Waited, string(call.Service))
	if !r.limiter.Allow(eventPlaced, "") {
		return
	}
	r.log.Info().Str("event", eventPlaced).Str("request", string(call.ID)).
		Str("workspace", string(call.Workspace)).Str("service", string(call.Service)).Str("class", string(call.Class)).
		Uint64("revision", uint64(call.Revision)).Str("server", string(server.Name)).
		Str("softwareVersion", server.SoftwareVersion).Int("resumesAfter", call.LastEventID).
		Str("resumes", string(call.Resumes)).
		Str("domain", string(server.Domain)).Int("failedBefore", len(call.FailedServers)).
		Dur("waited", details.Waited).Dur("expected", details.ExpectedFirstByte).Float64("overuse", details.Overuse).
		Str("holder", details.CacheHolder).Msg("")
}

// callRan reports how a run on a backend server ended. Only failed runs are logged.
func (r *callReporter) callRan(call *ports.Call, server ports.VM, result ports.RunResult) {
	service := string(call.Service)
	if result.Report.FirstByteAfter > 0 {
		r.firstByteTimes.Record(result.Report.FirstByteAfter, service)
	}
	if result.Report.LongestPause > 0 {
		r.longestPauses.Record(result.Report.LongestPause, service)
	}
	if result.Reason == "" || !r.limiter.Allow(eventRan, string(result.Reason)) {
		return
	}
	r.log.Info().Str("event", eventRan).Str("request", string(call.ID)).Str("server", string(server.Name)).
		Uint64("call", uint64(quarantine.HashCall(call))).Strs("parts", call.Prompt.SharedPartIDs()).
		Str("softwareVersion", server.SoftwareVersion).Int("resumesAfter", call.LastEventID).
		Str("resumes", string(call.Resumes)).
		Str("run", string(result.End)).Str("reason", string(result.Reason)).
		Dur("firstByteAfter", result.Report.FirstByteAfter).Int("lastEvent", result.LastEventID).
		Str("detail", result.Detail).Msg("")
}

// runPanicked reports that a fault of the program ended a run.
func (r *callReporter) runPanicked(call *ports.Call, server ports.VM, cause any) {
	r.panics.Inc(string(call.Service))
	if !r.limiter.Allow(eventPanic, string(call.Service)) {
		return
	}
	r.log.Error().Str("event", eventPanic).Str("request", string(call.ID)).Str("server", string(server.Name)).
		Str("service", string(call.Service)).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).Msg("")
}

// callRetried reports that a call is retried after wait.
func (r *callReporter) callRetried(call *ports.Call, last ports.RunResult, wait time.Duration) {
	r.retries.Inc(string(last.Reason), string(call.Service))
	if !r.limiter.Allow(eventRetried, string(last.Reason)) {
		return
	}
	r.log.Info().Str("event", eventRetried).Str("request", string(call.ID)).Str("service", string(call.Service)).
		Str("reason", string(last.Reason)).Str("detail", last.Detail).Dur("wait", wait).Msg("")
}

// giveUpCause is why a failed try is not followed by another one.
type giveUpCause string

const (
	// giveUpNotAllowed means that another try is not safe or has no prospect: see
	// retry.Decide.
	giveUpNotAllowed giveUpCause = "not-allowed"
	// giveUpBudget means that the retry budget of the service is exhausted.
	giveUpBudget giveUpCause = "budget"
	// giveUpDeadline means that the backoff would last beyond the deadline.
	giveUpDeadline giveUpCause = "deadline"
)

// callGivenUp reports that a failed try of a call is not followed by another one.
func (r *callReporter) callGivenUp(call *ports.Call, last ports.RunResult, cause giveUpCause) {
	if cause == giveUpBudget {
		r.retriesOverBudget.Inc(string(last.Reason), string(call.Service))
	}
	if !r.limiter.Allow(eventGivenUp, string(cause)+" "+string(last.Reason)) {
		return
	}
	r.log.Info().Str("event", eventGivenUp).Str("request", string(call.ID)).Str("service", string(call.Service)).
		Str("reason", string(last.Reason)).Str("cause", string(cause)).Int("lastEvent", call.LastEventID).
		Int("failedTries", len(call.FailedServers)).Msg("")
}

// keptCause is why no other try begins beside a silent one.
type keptCause string

const (
	// keptNotAllowed means that another try is not allowed: see retry.MayReplaceSilent.
	keptNotAllowed keptCause = "not-allowed"
	// keptNoSlot means that no other backend server can take the call.
	keptNoSlot keptCause = "no-slot"
	// keptBudget means that the retry budget of the service is exhausted.
	keptBudget keptCause = "budget"
)

// silentTryKept reports that a try goes on although its connection is silent.
func (r *callReporter) silentTryKept(call *ports.Call, silence time.Duration, cause keptCause) {
	r.silentTriesKept.Inc(string(cause), string(call.Service))
	if !r.limiter.Allow(eventKept, string(cause)) {
		return
	}
	r.log.Info().Str("event", eventKept).Str("request", string(call.ID)).Str("service", string(call.Service)).
		Str("cause", string(cause)).Dur("silence", silence).Msg("")
}

// replacementEnd is how the try ended that was begun beside a silent run.
type replacementEnd string

const (
	// replacementAdmitted means that the try took the place of the run.
	replacementAdmitted replacementEnd = "admitted"
	// replacementFailed means that its server did not accept the call.
	replacementFailed replacementEnd = "failed"
	// replacementUnneeded means that the run made progress or ended first.
	replacementUnneeded replacementEnd = "unneeded"
	// replacementSilent means that its server was silent too and a further try began.
	replacementSilent replacementEnd = "silent"
)

// replacementEnded reports the end of a try that was begun beside a silent run.
func (r *callReporter) replacementEnded(call *ports.Call, end replacementEnd) {
	r.replacements.Inc(string(end), string(call.Service))
	if !r.limiter.Allow(eventReplace, string(end)) {
		return
	}
	r.log.Info().Str("event", eventReplace).Str("request", string(call.ID)).Str("service", string(call.Service)).
		Str("end", string(end)).Int("failedTries", len(call.FailedServers)).Msg("")
}

// callEnded reports how a call ended. begun says that the caller may have received a
// part of the answer; a refusal then cuts the answer.
func (r *callReporter) callEnded(now time.Time, call *ports.Call, result outcome.Result, begun bool) {
	refusal := result.Refusal
	cut := refusal != nil && begun
	if cut {
		r.answersCut.Inc(string(refusal.Reason), string(call.Service))
	}
	if refusal == nil {
		refusal = &outcome.Refusal{}
	} else {
		r.refusals.Inc(string(refusal.Reason), string(call.Service), string(result.End))
	}
	r.calls.Inc(string(call.Service), string(result.End))
	took := now.Sub(call.Arrived)
	r.answerTimes.Record(took, string(call.Service))
	if !r.limiter.Allow(eventEnded, string(refusal.Reason)) {
		return
	}
	r.log.Info().Str("event", eventEnded).Str("request", string(call.ID)).
		Str("workspace", string(call.Workspace)).Str("service", string(call.Service)).Str("class", string(call.Class)).
		Uint64("revision", uint64(call.Revision)).Str("run", string(result.End)).
		Str("reason", string(refusal.Reason)).Str("detail", refusal.Detail).Dur("retryAfter", refusal.RetryAfter).
		Bool("cut", cut).Int("failedTries", len(call.FailedServers)).Dur("took", took).Msg("")
}
