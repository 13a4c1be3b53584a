package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/testbench/fleet"
)

// The bounds on the time from an operator's acceptance until a revision is in
// force on every reachable daemon, in seconds.
const (
	maxInForceSeconds              = 8.0
	maxInForceSecondsWithoutFaults = 2.0
)

// lastRevisionTimeout bounds the wait until the last revision is in force on all
// daemons.
const lastRevisionTimeout = 20 * time.Second

func init() {
	RegisterScenario(Scenario{
		Name:    "config-partition",
		Summary: "revisions while one daemon is isolated and one failure domain can't reach the platform",
		Plan:    planConfigurationPartition,
	})
	RegisterScenario(Scenario{
		Name:    "config-race",
		Summary: "operators apply revisions concurrently while answers to writes are lost and the platform fails",
		Plan:    planConfigurationRace,
	})
}

// revisionInterval is the time between two revisions of config-partition: 20 times
// the rate of 15,000 changes per day.
const revisionInterval = 288 * time.Millisecond

// daemonGroups groups the daemons by the faults that they get.
type daemonGroups struct {
	// isolated is cut off from everything, withoutPlatform from the platform only.
	isolated        *fleet.Daemon
	withoutPlatform []*fleet.Daemon
	// reachable are all daemons but isolated; editors are those of them that reach
	// the platform and through which revisions are applied.
	reachable []*fleet.Daemon
	editors   []*fleet.Daemon
}

func groupDaemons(daemons []*fleet.Daemon) (daemonGroups, error) {
	if len(daemons) < 3 {
		return daemonGroups{}, fmt.Errorf("the scenario needs at least three daemons")
	}
	groups := daemonGroups{isolated: daemons[0], reachable: daemons[1:]}
	for _, daemon := range groups.reachable {
		if daemon.VM.Domain == daemons[1].VM.Domain {
			groups.withoutPlatform = append(groups.withoutPlatform, daemon)
		} else {
			groups.editors = append(groups.editors, daemon)
		}
	}
	return groups, nil
}

// partitionScenario is the state of one run of config-partition.
type partitionScenario struct {
	daemonGroups
	monitor  *revisionMonitor
	accepted []configuration.RevisionSummary
	// faultsStart and healedAt bound the time of the faults.
	faultsStart time.Time
	healedAt    time.Time
	// configurationBytes are the bytes of configuration messages that daemons sent
	// during applyTime, in which the revisions were applied, and watchCalls the
	// watches that they called at the platform.
	configurationBytes float64
	watchCalls         float64
	applyTime          time.Duration
}

func planConfigurationPartition(config Config) Plan {
	plan := config.Mix.newPlan(config, config.Mix.moderateSources())
	plan.NoBaselines = true
	plan.GracePeriod = recoveryTime
	plan.FleetOptions.Links.Proxied = true
	plan.FleetOptions.Links.PlatformProxied = true
	scenario := &partitionScenario{}
	plan.DuringLoad = scenario.duringLoad
	plan.Evaluate = scenario.evaluate
	return plan
}

func (p *partitionScenario) duringLoad(ctx context.Context, e *Experiment) error {
	var err error
	if p.daemonGroups, err = groupDaemons(e.Fleet.Daemons); err != nil {
		return err
	}
	p.monitor = startRevisionMonitor(ctx, e.Fleet.Daemons)
	defer p.monitor.close()
	faultsEnded := make(chan struct{})
	go func() {
		defer close(faultsEnded)
		p.injectFaults(ctx, e)
	}()
	applyStart, bytesBefore, watchesBefore := time.Now(), sentConfigurationBytes(ctx, e.Fleet.Daemons), sentWatches(ctx, e.Fleet.Daemons)
	if err := p.applyRevisions(ctx, e); err != nil {
		return err
	}
	p.applyTime = time.Since(applyStart)
	p.configurationBytes = sentConfigurationBytes(ctx, e.Fleet.Daemons) - bytesBefore
	p.watchCalls = sentWatches(ctx, e.Fleet.Daemons) - watchesBefore
	<-faultsEnded
	waitCtx, cancel := context.WithTimeout(ctx, lastRevisionTimeout)
	defer cancel()
	p.monitor.waitInForce(waitCtx, e.Fleet.Daemons, p.accepted[len(p.accepted)-1].Number)
	return nil
}

// sentConfigurationBytes returns the bytes of configuration messages that daemons
// have sent, by their own counters.
func sentConfigurationBytes(ctx context.Context, daemons []*fleet.Daemon) float64 {
	var sum float64
	for _, daemon := range daemons {
		metrics, err := daemon.Metrics(ctx)
		if err != nil {
			continue
		}
		for _, kind := range []string{"configuration-push", "configuration-pull", "configuration-digest"} {
			sum += metrics.SumBySuffix("_sent_bytes", "kind", kind)
		}
	}
	return sum
}

// sentWatches returns the number of watches that daemons have called at the
// platform, by their own counters.
func sentWatches(ctx context.Context, daemons []*fleet.Daemon) float64 {
	var sum float64
	for _, daemon := range daemons {
		if metrics, err := daemon.Metrics(ctx); err == nil {
			sum += metrics.SumBySuffix("platform_calls", "operation", "watch")
		}
	}
	return sum
}

// applyRevisions applies one revision after the other until shortly before the end
// of the load.
func (p *partitionScenario) applyRevisions(ctx context.Context, e *Experiment) error {
	client := newOperatorClient(e)
	baseRevision := configuration.RevisionNumber(1)
	for i := 0; e.WaitUntil(ctx, time.Duration(i)*revisionInterval); i++ {
		if time.Since(e.LoadStart) > e.Config.LoadDuration-e.Config.thirds(1)/3 {
			return nil
		}
		daemon := p.editors[i%len(p.editors)]
		outcome, err := client.apply(ctx, daemon, applyAttempt{applyID: fmt.Sprintf("change-%d", i), baseRevision: baseRevision, variant: i})
		if err != nil {
			return err
		}
		if outcome.conflict != nil {
			return fmt.Errorf("conflict although no other operator applies revisions: %w", outcome.conflict)
		}
		baseRevision = outcome.accepted.Number
		p.accepted = append(p.accepted, outcome.accepted)
	}
	return ctx.Err()
}

func (p *partitionScenario) injectFaults(ctx context.Context, e *Experiment) {
	e.WaitUntil(ctx, e.Config.thirds(1))
	e.Config.Logf("isolate %s and cut %s off from the platform", p.isolated.ID(), p.withoutPlatform[0].VM.Domain)
	e.ExpectInterruptions(p.isolated, e.LoadStart.Add(e.Config.thirds(2)+interruptionTail))
	p.faultsStart = time.Now()
	e.Fleet.IsolateDaemon(p.isolated)
	for _, daemon := range p.withoutPlatform {
		e.Fleet.Network.Link(string(daemon.ID()), fleet.EndpointObjectAPI).BlockBoth()
	}
	e.WaitUntil(ctx, e.Config.thirds(2))
	e.Config.Logf("heal")
	p.healedAt = time.Now()
	e.Fleet.ReconnectDaemon(p.isolated)
	for _, daemon := range p.withoutPlatform {
		e.Fleet.Network.Link(string(daemon.ID()), fleet.EndpointObjectAPI).Unblock()
	}
}

// evaluate checks how long revisions took to be in force. A revision counts as
// one without faults when its bound ended before the faults started.
func (p *partitionScenario) evaluate(_ *Experiment, result *Result) {
	var withoutFaults, withFaults []float64
	var lastBeforeHeal configuration.RevisionNumber
	for _, revision := range p.accepted {
		seconds := p.inForceSeconds(result, revision)
		if revision.AcceptedAt.Add(time.Duration(maxInForceSecondsWithoutFaults * float64(time.Second))).Before(p.faultsStart) {
			withoutFaults = append(withoutFaults, seconds)
		} else {
			withFaults = append(withFaults, seconds)
		}
		if revision.AcceptedAt.Before(p.healedAt) {
			lastBeforeHeal = revision.Number
		}
	}
	result.AddFigure("revisions", float64(len(p.accepted)))
	result.AddFigure("in_force_seconds_median_without_faults", percentile(withoutFaults, 0.5))
	result.AddFigure("in_force_seconds_max_without_faults", percentile(withoutFaults, 1))
	result.AddFigure("in_force_seconds_max_with_faults", percentile(withFaults, 1))
	daemons := float64(len(p.reachable) + 1)
	result.AddFigure("configuration_bytes_per_revision_per_daemon", p.configurationBytes/float64(len(p.accepted))/daemons)
	result.AddFigure("watches_per_second", p.watchCalls/p.applyTime.Seconds())
	result.CheckAtMost("seconds until in force without faults", percentile(withoutFaults, 1), maxInForceSecondsWithoutFaults)
	result.CheckAtMost("seconds until in force on the reachable daemons", percentile(withFaults, 1), maxInForceSeconds)
	p.evaluateIsolated(result, lastBeforeHeal)
	checkReverts(p.monitor, result)
}

// inForceSeconds returns the seconds from a revision's acceptance until it was in
// force on every reachable daemon. It adds a violation for each daemon on which it
// never was.
func (p *partitionScenario) inForceSeconds(result *Result, revision configuration.RevisionSummary) float64 {
	var longest float64
	for _, daemon := range p.reachable {
		firstSeen, inForce := p.monitor.firstInForce(daemon.ID(), revision.Number)
		if !inForce {
			result.AddViolation("%s never had revision %d in force", daemon.ID(), revision.Number)
			continue
		}
		longest = max(longest, firstSeen.Sub(revision.AcceptedAt).Seconds())
	}
	return longest
}

// evaluateIsolated checks that the isolated daemon had the last revision from
// before the healing in force within the bound, counted from the healing.
func (p *partitionScenario) evaluateIsolated(result *Result, number configuration.RevisionNumber) {
	firstSeen, inForce := p.monitor.firstInForce(p.isolated.ID(), number)
	if !inForce {
		result.AddViolation("%s never caught up after the healing", p.isolated.ID())
		return
	}
	seconds := firstSeen.Sub(p.healedAt).Seconds()
	result.AddFigure("caught_up_after_seconds", seconds)
	result.CheckAtMost("seconds until the isolated daemon caught up", seconds, maxInForceSeconds)
	if seconds <= 0 {
		result.AddViolation("the isolated daemon was not cut off")
	}
}

// checkReverts checks that no daemon went back to a lower revision.
func checkReverts(monitor *revisionMonitor, result *Result) {
	result.AddFigure("reverts", float64(monitor.reverts))
	result.CheckAtMost("polls that returned a lower revision than before", float64(monitor.reverts), 0)
}

const (
	// raceOperatorCount is the number of concurrent operators of config-race.
	raceOperatorCount = 5
	// maxRacePause bounds an operator's pause between two attempts.
	maxRacePause = 300 * time.Millisecond
	// lostAnswerInterval is the time between two lost answers to writes.
	lostAnswerInterval = 700 * time.Millisecond
	// raceOutageTime is how long the platform is down.
	raceOutageTime = 2 * time.Second
)

// raceScenario is the state of one run of config-race.
type raceScenario struct {
	mu           sync.Mutex
	outcomes     []applyOutcome
	monitor      *revisionMonitor
	lastRevision configuration.RevisionSummary
}

func planConfigurationRace(config Config) Plan {
	plan := config.Mix.newPlan(config, config.Mix.moderateSources())
	plan.NoBaselines = true
	plan.GracePeriod = recoveryTime
	scenario := &raceScenario{}
	plan.DuringLoad = scenario.duringLoad
	plan.Evaluate = scenario.evaluate
	return plan
}

func (r *raceScenario) duringLoad(ctx context.Context, e *Experiment) error {
	r.monitor = startRevisionMonitor(ctx, e.Fleet.Daemons)
	defer r.monitor.close()
	faultsCtx, stopFaults := context.WithCancel(ctx)
	defer stopFaults()
	var faults sync.WaitGroup
	faults.Go(func() { injectPlatformFaults(faultsCtx, e) })
	failures := make(chan error, raceOperatorCount)
	var operators sync.WaitGroup
	for i := range raceOperatorCount {
		operators.Go(func() { failures <- r.applyRevisions(ctx, e, i) })
	}
	operators.Wait()
	stopFaults()
	faults.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	for _, outcome := range r.outcomes {
		if outcome.accepted.Number > r.lastRevision.Number {
			r.lastRevision = outcome.accepted
		}
	}
	waitCtx, stop := context.WithTimeout(ctx, lastRevisionTimeout)
	defer stop()
	r.monitor.waitInForce(waitCtx, e.Fleet.Daemons, r.lastRevision.Number)
	return nil
}

// injectPlatformFaults loses answers to writes until ctx ends and takes the
// platform down once.
func injectPlatformFaults(ctx context.Context, e *Experiment) {
	outageStart := e.LoadStart.Add(e.Config.thirds(1))
	for sleepUntil(ctx, time.Now().Add(lostAnswerInterval)) {
		e.Fleet.Objects.LoseWriteAnswers(1)
		if outageStart.IsZero() || time.Now().Before(outageStart) {
			continue
		}
		outageStart = time.Time{}
		e.Config.Logf("the platform is down")
		e.Fleet.Objects.SetDown(true)
		sleepUntil(ctx, time.Now().Add(raceOutageTime))
		e.Config.Logf("the platform is up")
		e.Fleet.Objects.SetDown(false)
	}
}

// applyRevisions makes the attempts of one operator until shortly before the end of
// the load. Each is based on the revision that the operator's daemon has in force.
func (r *raceScenario) applyRevisions(ctx context.Context, e *Experiment, operatorIndex int) error {
	client := newOperatorClient(e)
	random := rand.New(rand.NewPCG(e.Config.Seed, uint64(operatorIndex)))
	daemon := e.Fleet.Daemons[operatorIndex%len(e.Fleet.Daemons)]
	for i := 0; time.Since(e.LoadStart) < e.Config.LoadDuration-e.Config.thirds(1)/3; i++ {
		sleepUntil(ctx, time.Now().Add(time.Duration(random.Int64N(int64(maxRacePause)))))
		status, err := daemon.Status(ctx)
		if err != nil {
			return err
		}
		attempt := applyAttempt{applyID: fmt.Sprintf("racer-%d-%d", operatorIndex, i), baseRevision: status.Revision, variant: operatorIndex*10_000 + i}
		outcome, err := client.apply(ctx, daemon, attempt)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.outcomes = append(r.outcomes, outcome)
		r.mu.Unlock()
	}
	return nil
}

func (r *raceScenario) evaluate(e *Experiment, result *Result) {
	var accepted, conflicts, retried int
	applyIDs := make(map[configuration.RevisionNumber]string)
	for _, outcome := range r.outcomes {
		if outcome.retries > 0 {
			retried++
		}
		if outcome.conflict != nil {
			conflicts++
			r.checkConflict(outcome, result)
			continue
		}
		accepted++
		if otherApplyID := applyIDs[outcome.accepted.Number]; otherApplyID != "" {
			result.AddViolation("revision %d was reported to both %s and %s", outcome.accepted.Number, otherApplyID, outcome.applyID)
		}
		applyIDs[outcome.accepted.Number] = outcome.applyID
	}
	result.AddFigure("accepted", float64(accepted))
	result.AddFigure("conflicts", float64(conflicts))
	result.AddFigure("repeated_in_doubt", float64(retried))
	r.checkChain(e, result, applyIDs)
	r.checkLastRevision(e, result)
	checkReverts(r.monitor, result)
}

// checkConflict checks that a conflict contains the difference from the revision
// that the attempt was based on, which the chain still contains.
func (r *raceScenario) checkConflict(outcome applyOutcome, result *Result) {
	if outcome.conflict.Current <= outcome.baseRevision || len(outcome.conflict.Difference) == 0 {
		result.AddViolation("the conflict of %s, based on revision %d while %d is current, has no difference", outcome.applyID, outcome.baseRevision, outcome.conflict.Current)
	}
}

// checkChain checks that each revision of the platform's chain was reported to its
// operator as accepted, and that no other revision was reported.
func (r *raceScenario) checkChain(e *Experiment, result *Result, applyIDs map[configuration.RevisionNumber]string) {
	value, _ := e.Fleet.Objects.Get(configuration.ObjectName)
	chain, err := configuration.ParseChain(value)
	if err != nil {
		result.AddViolation("the chain can't be read: %v", err)
		return
	}
	if int(chain.CurrentNumber()) != len(applyIDs)+1 {
		result.AddViolation("the chain's current revision is %d after %d accepted attempts", chain.CurrentNumber(), len(applyIDs))
	}
	for _, summary := range slices.Backward(chain.History) {
		if summary.Number > 1 && applyIDs[summary.Number] != summary.ApplyID {
			result.AddViolation("the chain has revision %d from %s, but it was reported to %q", summary.Number, summary.ApplyID, applyIDs[summary.Number])
		}
	}
}

// checkLastRevision checks that the last revision was in force on all daemons
// within the bound.
func (r *raceScenario) checkLastRevision(e *Experiment, result *Result) {
	var longest float64
	for _, daemon := range e.Fleet.Daemons {
		firstSeen, inForce := r.monitor.firstInForce(daemon.ID(), r.lastRevision.Number)
		if !inForce {
			result.AddViolation("%s never had revision %d in force", daemon.ID(), r.lastRevision.Number)
			continue
		}
		longest = max(longest, firstSeen.Sub(r.lastRevision.AcceptedAt).Seconds())
	}
	result.AddFigure("last_in_force_seconds", longest)
	result.CheckAtMost("seconds until the last revision is in force", longest, maxInForceSeconds)
}
