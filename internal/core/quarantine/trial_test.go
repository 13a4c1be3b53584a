package quarantine

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// replay is a fleet of daemons that tell each other what they know with random delays of
// up to reportDelay.
type replay struct {
	tables      []*Table
	reportDelay float64
	now         float64
	random      *rand.Rand
	events      replayEvents
	// ends are the times at which calls with endingPart ended servers.
	ends []float64
	runs int
}

type replayEvent struct {
	at float64
	do func()
}

// replayEvents is a heap of events, the earliest first.
type replayEvents []replayEvent

func (e replayEvents) Len() int           { return len(e) }
func (e replayEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e replayEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *replayEvents) Push(x any)        { *e = append(*e, x.(replayEvent)) }

func (e *replayEvents) Pop() any {
	last := len(*e) - 1
	event := (*e)[last]
	*e = (*e)[:last]
	return event
}

func newReplay(daemons int, reportDelay float64) *replay {
	r := &replay{reportDelay: reportDelay, random: rand.New(rand.NewPCG(1, 2))}
	for range daemons {
		r.tables = append(r.tables, NewTable())
	}
	return r
}

func (r *replay) after(seconds float64, do func()) {
	heap.Push(&r.events, replayEvent{at: r.now + seconds, do: do})
}

func (r *replay) every(period float64, do func()) {
	r.after(period, func() {
		do()
		r.every(period, do)
	})
}

// maxAdopting is the size of fleets from which the ends of quarantined causes are told only
// once, to bound the time that a replay takes.
const maxAdopting = 20

// run plays the events until the given time. Daemons report every 0.2 s.
func (r *replay) run(until float64) {
	for _, table := range r.tables {
		r.every(0.2, func() { r.report(table) })
		if len(r.tables) < maxAdopting {
			r.every(0.6, func() { r.reportQuarantine(table) })
		}
	}
	for r.now < until {
		event := heap.Pop(&r.events).(replayEvent)
		r.now = event.at
		event.do()
	}
}

func (r *replay) report(from *Table) {
	from.UpdateTurns(at(r.now), time.Duration(r.reportDelay*float64(time.Second)))
	updates := from.TakeDomainUpdates()
	from.TakeCrossDomainUpdates()
	if len(updates.Ends)+len(updates.Sounds)+len(updates.Trials) == 0 {
		return
	}
	for _, to := range r.tables {
		if to != from {
			r.after(r.random.Float64()*(r.reportDelay-0.2), func() { to.Merge(at(r.now), updates, false) })
		}
	}
}

func (r *replay) reportQuarantine(from *Table) {
	ends := from.QuarantineEnds(at(r.now))
	for _, to := range r.tables {
		if to != from && len(ends) > 0 {
			r.after(r.random.Float64()*(r.reportDelay-0.2), func() { to.Adopt(at(r.now), ends) })
		}
	}
}

// call makes a call with the causes at a random daemon. One with endingPart ends its server
// after endsAfter, others are answered.
func (r *replay) call(endsAfter float64, causes ...CauseHash) {
	daemon := r.random.IntN(len(r.tables))
	table := r.tables[daemon]
	if slices.ContainsFunc(causes, func(c CauseHash) bool { return isQuarantined(table, c, r.now) }) {
		turn, ok := table.TrialTurn(at(r.now), causes)
		if owner := rand.New(rand.NewPCG(uint64(turn), 0)).IntN(len(r.tables)); !ok || owner != daemon {
			return
		}
		table.RecordOwnTrial(at(r.now), causes)
	}
	r.runs++
	server, began := 1000+r.runs, r.now
	if slices.Contains(causes, endingPart) {
		r.after(endsAfter, func() {
			r.ends = append(r.ends, r.now)
			for _, c := range causes {
				table.RecordOwnEnd(at(r.now), endOf(c, server, r.now))
			}
		})
		return
	}
	r.after(0.6, func() {
		for _, c := range causes {
			table.RecordOwnSound(at(r.now), SoundAnswer{Cause: c, At: at(began)})
		}
	})
}

func (r *replay) quarantined(causes ...CauseHash) (count int) {
	for _, table := range r.tables {
		for _, c := range causes {
			if isQuarantined(table, c, r.now) {
				count++
			}
		}
	}
	return count
}

// Six servers crash within 1.3 s by themselves, each with runs of sound parts and calls at
// several daemons.
func TestSoundCausesAreReleasedAfterBurstOfCrashes(t *testing.T) {
	var releasedAt []float64
	for seed := range uint64(21) {
		releasedAt = append(releasedAt, replayBurst(t, seed))
	}
	slices.Sort(releasedAt)
	t.Logf("released after %.0f s", releasedAt)
	if median, last := releasedAt[10], releasedAt[20]; median > 45 || last > 90 {
		t.Errorf("all are released after %.0f s, median %.0f s", last, median)
	}
}

// replayBurst returns the time after which all daemons have released all causes.
func replayBurst(t *testing.T, seed uint64) float64 {
	t.Helper()
	const calls = 5
	causes := []CauseHash{sharedPart, 10, 12}
	for i := range calls {
		causes = append(causes, CauseHash(101+2*i))
	}
	r := newReplay(7, 1.2)
	r.random = rand.New(rand.NewPCG(seed, 0))
	for i := range 6 {
		r.after(0.26*float64(i), func() {
			for _, c := range causes {
				r.tables[(i+int(c))%7].RecordOwnEnd(at(r.now), endOf(c, i, r.now))
			}
		})
	}
	r.after(2.9, func() {
		if parts, whole := r.quarantined(causes[:3]...), r.quarantined(causes[3:]...); parts != 3*7 || whole == 0 {
			t.Errorf("quarantined at first: %d times a part, %d times a call", parts, whole)
		}
	})
	r.after(3, func() {
		for i := range calls {
			r.every(1, func() { r.call(0, CauseHash(101+2*i), sharedPart, CauseHash(10+2*(i%2))) })
		}
	})
	releasedAt := 0.0
	r.every(0.5, func() {
		if r.quarantined(causes...) > 0 {
			releasedAt = r.now
		}
	})
	r.run(120)
	return releasedAt
}

// scheduledTrials returns the greatest number of trials in the given seconds after a cause
// was quarantined: 14 in an hour.
func scheduledTrials(seconds float64) (count int) {
	wait := firstTrialWait
	for due := wait.Seconds(); due < seconds; due += wait.Seconds() {
		count++
		wait = min(2*wait, maxTrialWait)
	}
	return count
}

// Calls with one part arrive all the time, and the servers end as soon as they run them, or
// after longer than a turn.
func TestTrialsOfEndingPartEndFewServers(t *testing.T) {
	for _, c := range []struct {
		name                                  string
		daemons                               int
		reportDelay, period, endsAfter, until float64
	}{
		{"7 daemons", 7, 1.2, 0.1, 0.05, 3600},
		{"7 daemons, ends late", 7, 1.2, 0.1, 6, 3600},
		{"195 daemons", 195, 4.5, 0.1, 0.05, 400},
		{"195 daemons, ends late", 195, 4.5, 0.2, 18, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newReplay(c.daemons, c.reportDelay)
			r.every(c.period, func() { r.call(c.endsAfter, endingPart, sharedPart) })
			r.every(1, func() { r.call(0, sharedPart) })
			r.run(c.until)
			// Until all daemons know of the first ends, calls still run.
			settled := r.ends[0] + 2*c.reportDelay + c.endsAfter + 2
			trials := slices.DeleteFunc(slices.Clone(r.ends), func(end float64) bool { return end < settled })
			t.Logf("%d ends before the quarantine, ends of trials: %.0f", len(r.ends)-len(trials), trials)
			if len(trials) == 0 || len(trials) > scheduledTrials(c.until) {
				t.Errorf("%d ends by trials, want at most %d", len(trials), scheduledTrials(c.until))
			}
			for i, wait := 1, 2*firstTrialWait.Seconds(); i < len(trials); i, wait = i+1, min(2*wait, maxTrialWait.Seconds()) {
				if gap := trials[i] - trials[i-1]; gap < wait {
					t.Errorf("%.0f s between the ends of trials %d and %d, want %.0f", gap, i, i+1, wait)
				}
			}
		})
	}
}

// A call with a part that is due has another part whose servers ended just now.
func TestCallIsNoTrialUntilAllItsCausesAreDue(t *testing.T) {
	table := NewTable()
	for i := range endsToQuarantine {
		table.RecordOwnEnd(at(float64(i)), endOf(sharedPart, i, float64(i)))
		table.RecordOwnEnd(at(float64(15+i)), endOf(endingPart, 10+i, float64(15+i)))
	}
	table.UpdateTurns(at(18), time.Second)
	if _, ok := table.TrialTurn(at(23.5), []CauseHash{sharedPart}); !ok {
		t.Error("the part that is due is not tried")
	}
	if _, ok := table.TrialTurn(at(23.5), []CauseHash{sharedPart, endingPart}); ok {
		t.Error("tried with a part that is not due")
	}
	if until, _ := table.QuarantinedUntil(at(23.5), endingPart); !until.Equal(at(37)) {
		t.Errorf("to come back after %s", until.Sub(at(23.5)))
	}
}
