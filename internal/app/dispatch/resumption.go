package dispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/ports"
)

// eventResumption is the log event of a stream that its caller resumes.
const eventResumption = "stream-resumption"

// resumptionRetryAfter is the least time after which a caller should retry whose stream
// can't go on here. It is short, because another daemon may know where the stream began
// and a server of its version may come back.
const resumptionRetryAfter = 200 * time.Millisecond

// resolveResumption decides where the stream that a call resumes may go on, or returns a
// refusal.
func (m *Manager) resolveResumption(ctx context.Context, call *ports.Call) (streamorigin.Decision, *outcome.Refusal) {
	evidence := streamorigin.Evidence{Service: call.Service, Source: streamorigin.SourceUnknown}
	if call.Resumes != "" {
		evidence.Origin, evidence.Source = m.origins.lookUp(ctx, call.Resumes, time.Until(call.Deadline))
	}
	if evidence.Source == streamorigin.SourceUnknown {
		evidence.Versions = m.versionEvidence(ctx, call)
	}
	decision := streamorigin.Decide(evidence)
	m.recordResumption(call, decision)
	switch decision.Reason {
	case "":
		return decision, nil
	case outcome.ReasonSoftwareVersionGone:
		return decision, versionGoneRefusal("the stream began at another service")
	default:
		return decision, resumptionRefusal(decision.Reason, "it is not known at which software version the stream began")
	}
}

// recordResumption counts and logs the decision on a stream that its caller resumes.
func (m *Manager) recordResumption(call *ports.Call, decision streamorigin.Decision) {
	m.resumptionCounter.Inc(string(call.Service), string(decision.Source), string(decision.Reason))
	if decision.Doubt != "" {
		m.originDoubtCounter.Inc(string(call.Service), string(decision.Doubt))
	}
	if !m.limiter.Allow(eventResumption, string(decision.Source)+string(decision.Doubt)) {
		return
	}
	m.logger.Info().Str("event", eventResumption).Str("request", string(call.ID)).
		Str("resumes", string(call.Resumes)).Int("resumesAfter", call.LastEventID).
		Str("service", string(call.Service)).Str("softwareVersion", decision.SoftwareVersion).
		Str("source", string(decision.Source)).Str("reason", string(decision.Reason)).
		Str("doubt", string(decision.Doubt)).Msg("")
}

// recordFirstEvent records where a stream began or goes on, if its caller may resume it. A
// stream of unknown origin that goes on has the version of all streams in progress.
func (m *Manager) recordFirstEvent(now time.Time, call *ports.Call, server ports.VM) {
	if !call.Resumable || server.SoftwareVersion == "" {
		return
	}
	origin := streamorigin.Origin{Service: call.Service, SoftwareVersion: server.SoftwareVersion}
	regions := m.regionsOf(call)
	if !regions.IsBound() {
		// The records of calls that are bound to regions stay there.
		m.checkpoints.recordEvent(now, call, origin)
	}
	first := call.ID
	if call.IsResumption() {
		first = call.Resumes
		if _, known := m.origins.lookUpOwn(now, streamorigin.KeyOf(first)); known || first == "" {
			return
		}
	}
	m.origins.recordFirstEvent(now, first, origin, regions)
}

func versionGoneRefusal(detail string) *outcome.Refusal {
	return resumptionRefusal(outcome.ReasonSoftwareVersionGone, detail)
}

func resumptionRefusal(reason outcome.Reason, detail string) *outcome.Refusal {
	return &outcome.Refusal{
		Reason: reason, End: outcome.NotRun, Detail: detail,
		RetryAfter: resumptionRetryAfter + time.Duration(rand.Float64()*float64(resumptionRetryAfter)),
	}
}
