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
	boundInForce          = 8.0
	boundInForceFaultless = 2.0
)

// inForceFailsafe is how long a run waits for its last revision.
const inForceFailsafe = 20 * time.Second

func init() {
	Register(Scenario{
		Name:    "config-partition",
		Summary: "revisions while a daemon is cut off and a failure domain has no platform",
		Plan:    planConfigurationPartition,
	})
	Register(Scenario{
		Name:    "config-race",
		Summary: "operators race each other while answers to writes are lost and the platform fails",
		Plan:    planConfigurationRace,
	})
}

// changePeriod is the time between two revisions of config-partition: 20 times
// the rate of 15,000 changes a day.
const changePeriod = 288 * time.Millisecond

// partitioned divides the daemons by what the scenario does to them.
type partitioned struct {
	// cut is cut off from everything, withoutPlatform from the platform.
	cut             *fleet.Daemon
	withoutPlatform []*fleet.Daemon
	// reachable are all but cut; editors also have the platform.
	reachable []*fleet.Daemon
	editors   []*fleet.Daemon
}

func divide(daemons []*fleet.Daemon) (partitioned, error) {
	if len(daemons) < 3 {
		return partitioned{}, fmt.Errorf("the scenario needs three daemons")
	}
	p := partitioned{cut: daemons[0], reachable: daemons[1:]}
	for _, daemon := range p.reachable {
		if daemon.VM.Domain == daemons[1].VM.Domain {
			p.withoutPlatform = append(p.withoutPlatform, daemon)
		} else {
			p.editors = append(p.editors, daemon)
		}
	}
	return p, nil
}

// partitionRun is what config-partition has seen.
type partitionRun struct {
	partitioned
	revisions *revisionWatch
	accepted  []configuration.RevisionSummary
	// began and healed bound the faults.
	began  time.Time
	healed time.Time
	// pushed are the bytes of configuration messages that daemons sent, watches
	// the watches that the platform took, in the time of the revisions.
	pushed  float64
	watches float64
	took    time.Duration
}

func planConfigurationPartition(config Config) Plan {
	plan := config.Mix.plan(config, config.Mix.moderate())
	plan.Unpaired = true
	plan.Grace = recovery
	plan.Fleet.Links.Proxied = true
	plan.Fleet.Links.PlatformProxied = true
	run := &partitionRun{}
	plan.Act = run.act
	plan.Judge = run.judge
	return plan
}

func (p *partitionRun) act(ctx context.Context, w *World) error {
	var err error
	if p.partitioned, err = divide(w.Fleet.Daemons); err != nil {
		return err
	}
	p.revisions = watchRevisions(ctx, w.Fleet.Daemons)
	defer p.revisions.close()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		p.strike(ctx, w)
	}()
	begin, before, watched := time.Now(), configurationBytes(ctx, w.Fleet.Daemons), watches(ctx, w.Fleet.Daemons)
	if err := p.edit(ctx, w); err != nil {
		return err
	}
	p.took = time.Since(begin)
	p.pushed = configurationBytes(ctx, w.Fleet.Daemons) - before
	p.watches = watches(ctx, w.Fleet.Daemons) - watched
	<-faults
	limit, cancel := context.WithTimeout(ctx, inForceFailsafe)
	defer cancel()
	p.revisions.reachedAll(limit, w.Fleet.Daemons, p.accepted[len(p.accepted)-1].Number)
	return nil
}

// configurationBytes returns the bytes of the messages of configurations that
// daemons have sent, by their own counters.
func configurationBytes(ctx context.Context, daemons []*fleet.Daemon) float64 {
	var sum float64
	for _, daemon := range daemons {
		metrics, err := daemon.Metrics(ctx)
		if err != nil {
			continue
		}
		for _, kind := range []string{"configuration-push", "configuration-pull", "configuration-digest"} {
			sum += metrics.SumSuffix("_sent_bytes", "kind", kind)
		}
	}
	return sum
}

// watches returns the watches that daemons have called, by their own counters.
func watches(ctx context.Context, daemons []*fleet.Daemon) float64 {
	var sum float64
	for _, daemon := range daemons {
		if metrics, err := daemon.Metrics(ctx); err == nil {
			sum += metrics.SumSuffix("platform_calls", "operation", "watch")
		}
	}
	return sum
}

// edit makes one revision after the other until shortly before the end of
// the load.
func (p *partitionRun) edit(ctx context.Context, w *World) error {
	operator := newOperator(w)
	base := configuration.RevisionNumber(1)
	for i := 0; w.At(ctx, time.Duration(i)*changePeriod); i++ {
		if time.Since(w.Start) > w.Config.For-w.Config.third(1)/3 {
			return nil
		}
		editor := p.editors[i%len(p.editors)]
		end, err := operator.apply(ctx, editor, attempt{applyID: fmt.Sprintf("change-%d", i), base: base, change: i})
		if err != nil {
			return err
		}
		if end.conflict != nil {
			return fmt.Errorf("a lone operator got a conflict: %w", end.conflict)
		}
		base = end.accepted.Number
		p.accepted = append(p.accepted, end.accepted)
	}
	return ctx.Err()
}

func (p *partitionRun) strike(ctx context.Context, w *World) {
	w.At(ctx, w.Config.third(1))
	w.Config.Logf("cut %s off and take the platform from %s", p.cut.ID(), p.withoutPlatform[0].VM.Domain)
	w.Excuse(p.cut, w.Start.Add(w.Config.third(2)+tailOfCut))
	p.began = time.Now()
	w.Fleet.CutDaemon(p.cut)
	for _, daemon := range p.withoutPlatform {
		w.Fleet.Network.Link(string(daemon.ID()), fleet.EndObjects).CutBoth()
	}
	w.At(ctx, w.Config.third(2))
	w.Config.Logf("heal")
	p.healed = time.Now()
	w.Fleet.HealDaemon(p.cut)
	for _, daemon := range p.withoutPlatform {
		w.Fleet.Network.Link(string(daemon.ID()), fleet.EndObjects).Heal()
	}
}

func (p *partitionRun) judge(_ *World, result *Result) {
	var faultless, faulty []float64
	var atHeal configuration.RevisionNumber
	for _, revision := range p.accepted {
		lag := p.lag(result, revision)
		if revision.AcceptedAt.Add(time.Duration(boundInForceFaultless * float64(time.Second))).Before(p.began) {
			faultless = append(faultless, lag)
		} else {
			faulty = append(faulty, lag)
		}
		if revision.AcceptedAt.Before(p.healed) {
			atHeal = revision.Number
		}
	}
	result.Figure("revisions", float64(len(p.accepted)))
	result.Figure("in_force_seconds_median_without_faults", percentile(faultless, 0.5))
	result.Figure("in_force_seconds_max_without_faults", percentile(faultless, 1))
	result.Figure("in_force_seconds_max_with_faults", percentile(faulty, 1))
	daemons := float64(len(p.reachable) + 1)
	result.Figure("configuration_bytes_per_revision_per_daemon", p.pushed/float64(len(p.accepted))/daemons)
	result.Figure("watches_per_second", p.watches/p.took.Seconds())
	result.CheckAtMost("seconds until in force without faults", percentile(faultless, 1), boundInForceFaultless)
	result.CheckAtMost("seconds until in force on the reachable daemons", percentile(faulty, 1), boundInForce)
	p.judgeHealed(result, atHeal)
	judgeReverts(p.revisions, result)
}

// lag returns how long after its acceptance a revision was in force on every
// reachable daemon, in seconds.
func (p *partitionRun) lag(result *Result, revision configuration.RevisionSummary) float64 {
	var lag float64
	for _, daemon := range p.reachable {
		at, reached := p.revisions.reached(daemon.ID(), revision.Number)
		if !reached {
			result.Violate("%s never had revision %d in force", daemon.ID(), revision.Number)
			continue
		}
		lag = max(lag, at.Sub(revision.AcceptedAt).Seconds())
	}
	return lag
}

// judgeHealed holds the daemon that was cut off to the bound from the healing
// on.
func (p *partitionRun) judgeHealed(result *Result, number configuration.RevisionNumber) {
	at, reached := p.revisions.reached(p.cut.ID(), number)
	if !reached {
		result.Violate("%s never caught up", p.cut.ID())
		return
	}
	late := at.Sub(p.healed).Seconds()
	result.Figure("caught_up_after_seconds", late)
	result.CheckAtMost("seconds until the cut-off daemon has caught up", late, boundInForce)
	if late <= 0 {
		result.Violate("the cut-off daemon was not cut off")
	}
}

func judgeReverts(revisions *revisionWatch, result *Result) {
	result.Figure("reverts", float64(revisions.reverts))
	result.CheckAtMost("looks that found a lower revision than before", float64(revisions.reverts), 0)
}

const (
	// racers is the number of operators of config-race.
	racers = 5
	// raceRest is the longest pause of a racer between two attempts.
	raceRest = 300 * time.Millisecond
	// losePeriod is the time between two lost answers to writes.
	losePeriod = 700 * time.Millisecond
	// raceOutage is the time for which the platform is down.
	raceOutage = 2 * time.Second
)

// raceRun is what config-race has seen.
type raceRun struct {
	mu        sync.Mutex
	endings   []ending
	revisions *revisionWatch
	last      configuration.RevisionSummary
}

func planConfigurationRace(config Config) Plan {
	plan := config.Mix.plan(config, config.Mix.moderate())
	plan.Unpaired = true
	plan.Grace = recovery
	run := &raceRun{}
	plan.Act = run.act
	plan.Judge = run.judge
	return plan
}

func (r *raceRun) act(ctx context.Context, w *World) error {
	r.revisions = watchRevisions(ctx, w.Fleet.Daemons)
	defer r.revisions.close()
	racing, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { disturb(racing, w) })
	failures := make(chan error, racers)
	var operators sync.WaitGroup
	for i := range racers {
		operators.Go(func() { failures <- r.race(ctx, w, i) })
	}
	operators.Wait()
	cancel()
	group.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	for _, end := range r.endings {
		if end.accepted.Number > r.last.Number {
			r.last = end.accepted
		}
	}
	limit, stop := context.WithTimeout(ctx, inForceFailsafe)
	defer stop()
	r.revisions.reachedAll(limit, w.Fleet.Daemons, r.last.Number)
	return nil
}

// disturb loses answers to writes and takes the platform down once.
func disturb(ctx context.Context, w *World) {
	outage := w.Start.Add(w.Config.third(1))
	for sleepUntil(ctx, time.Now().Add(losePeriod)) {
		w.Fleet.Objects.LoseWriteAnswers(1)
		if outage.IsZero() || time.Now().Before(outage) {
			continue
		}
		outage = time.Time{}
		w.Config.Logf("the platform is down")
		w.Fleet.Objects.SetDown(true)
		sleepUntil(ctx, time.Now().Add(raceOutage))
		w.Config.Logf("the platform is up")
		w.Fleet.Objects.SetDown(false)
	}
}

// race makes attempts from what its daemon has in force until shortly before the
// end of the load.
func (r *raceRun) race(ctx context.Context, w *World, index int) error {
	operator := newOperator(w)
	random := rand.New(rand.NewPCG(w.Config.Seed, uint64(index)))
	daemon := w.Fleet.Daemons[index%len(w.Fleet.Daemons)]
	for i := 0; time.Since(w.Start) < w.Config.For-w.Config.third(1)/3; i++ {
		sleepUntil(ctx, time.Now().Add(time.Duration(random.Int64N(int64(raceRest)))))
		status, err := daemon.Status(ctx)
		if err != nil {
			return err
		}
		try := attempt{applyID: fmt.Sprintf("racer-%d-%d", index, i), base: status.Revision, change: index*10_000 + i}
		end, err := operator.apply(ctx, daemon, try)
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.endings = append(r.endings, end)
		r.mu.Unlock()
	}
	return nil
}

func (r *raceRun) judge(w *World, result *Result) {
	var accepted, conflicts, repeated int
	numbers := make(map[configuration.RevisionNumber]string)
	for _, end := range r.endings {
		if end.repeats > 0 {
			repeated++
		}
		if end.conflict != nil {
			conflicts++
			r.judgeConflict(end, result)
			continue
		}
		accepted++
		if other := numbers[end.accepted.Number]; other != "" {
			result.Violate("revision %d was given to %s and to %s", end.accepted.Number, other, end.applyID)
		}
		numbers[end.accepted.Number] = end.applyID
	}
	result.Figure("accepted", float64(accepted))
	result.Figure("conflicts", float64(conflicts))
	result.Figure("repeated_in_doubt", float64(repeated))
	r.judgeChain(w, result, numbers)
	r.judgeLast(w, result)
	judgeReverts(r.revisions, result)
}

// judgeConflict wants the difference from the racer's base, which the chain
// still reaches.
func (r *raceRun) judgeConflict(end ending, result *Result) {
	if end.conflict.Current <= end.base || len(end.conflict.Difference) == 0 {
		result.Violate("the conflict of %s at %d with %d has no difference", end.applyID, end.base, end.conflict.Current)
	}
}

// judgeChain wants every revision of the platform's chain to be one that its
// operator was told of, and no other.
func (r *raceRun) judgeChain(w *World, result *Result, numbers map[configuration.RevisionNumber]string) {
	value, _ := w.Fleet.Objects.Get(configuration.ObjectName)
	chain, err := configuration.ParseChain(value)
	if err != nil {
		result.Violate("the chain can't be read: %v", err)
		return
	}
	if int(chain.CurrentNumber()) != len(numbers)+1 {
		result.Violate("the chain is at %d after %d accepted attempts", chain.CurrentNumber(), len(numbers))
	}
	for _, summary := range slices.Backward(chain.History) {
		if summary.Number > 1 && numbers[summary.Number] != summary.ApplyID {
			result.Violate("revision %d is of %s, but %q was told so", summary.Number, summary.ApplyID, numbers[summary.Number])
		}
	}
}

// judgeLast holds the last revision to the bound.
func (r *raceRun) judgeLast(w *World, result *Result) {
	var lag float64
	for _, daemon := range w.Fleet.Daemons {
		at, reached := r.revisions.reached(daemon.ID(), r.last.Number)
		if !reached {
			result.Violate("%s never had revision %d in force", daemon.ID(), r.last.Number)
			continue
		}
		lag = max(lag, at.Sub(r.last.AcceptedAt).Seconds())
	}
	result.Figure("last_in_force_seconds", lag)
	result.CheckAtMost("seconds until the last revision is in force", lag, boundInForce)
}
