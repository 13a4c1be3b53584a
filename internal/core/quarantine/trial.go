package quarantine

import "time"

const (
	// firstTrialWait is the time from the last end to the first trial. It doubles with
	// each end that came as late, up to maxTrialWait, which is below quarantineTime so
	// that a cause whose calls go on is tried, not let go.
	firstTrialWait = 20 * time.Second
	maxTrialWait   = 5 * time.Minute
	// trialHold is the time after the start of a trial in which no other begins.
	trialHold = 20 * time.Second
	// reportsPerTurn is the length of a turn in times of reportDelay.
	reportsPerTurn = 4
)

// Trial is the run of one call with a quarantined cause, which shows whether the cause
// still ends servers.
type Trial struct {
	Cause CauseHash
	At    time.Time
}

// Turns determines which daemon of the fleet may begin trials. All daemons count turns
// from the newest end of a quarantined cause, which they tell each other. Whenever that
// changes, the daemon sits out until the others know of the change too.
type Turns struct {
	// reportDelay is the time within which a report of one daemon has reached all.
	reportDelay time.Duration
	origin      time.Time
	changedAt   time.Time
}

// update notes the newest end of a quarantined cause.
func (t *Turns) update(now, newest time.Time, reportDelay time.Duration) {
	if !newest.Equal(t.origin) {
		t.origin, t.changedAt = newest, now
	}
	t.reportDelay = reportDelay
}

// current returns the number of the turn and whether trials may begin now: all daemons
// know of them before the next turn.
func (t *Turns) current(now time.Time) (number int64, open bool) {
	if t.reportDelay <= 0 || now.Sub(t.changedAt) < t.reportDelay {
		return 0, false
	}
	since, length := now.Sub(t.origin), reportsPerTurn*t.reportDelay
	return int64(since / length), since%length < length-t.reportDelay
}

// trialWait returns the time from the last end to the next trial. It follows from the ends
// alone, so that all daemons agree on it.
func (c *cause) trialWait() time.Duration {
	wait := firstTrialWait
	for i := 1; i < len(c.ends); i++ {
		if c.ends[i].At.Sub(c.ends[i-1].At) >= wait {
			wait = min(2*wait, maxTrialWait)
		}
	}
	return wait
}

// trialDueAt returns when the next trial of a quarantined cause may begin.
func (c *cause) trialDueAt() time.Time {
	due := c.lastEnd().Add(c.trialWait())
	if held := c.trialAt.Add(trialHold); held.After(due) {
		return held
	}
	return due
}

// UpdateTurns determines the turns anew; reportDelay is the time within which a report of
// one daemon has reached all others.
func (t *Table) UpdateTurns(now time.Time, reportDelay time.Duration) {
	var newest time.Time
	for _, c := range t.causes {
		if c.isQuarantined(now) && c.lastEnd().After(newest) {
			newest = c.lastEnd()
		}
	}
	t.turns.update(now, newest, reportDelay)
}

// TrialTurn returns the number of the turn in which a call with the causes may run as a
// trial, at the daemon whose turn it is; false if none may now.
func (t *Table) TrialTurn(now time.Time, causes []CauseHash) (number int64, ok bool) {
	for _, hash := range causes {
		if t.isQuarantined(now, hash) && now.Before(t.causes[hash].trialDueAt()) {
			return 0, false
		}
	}
	return t.turns.current(now)
}

// RecordOwnTrial records that this daemon runs a call with the causes, for other daemons
// too if it is a trial. It reports whether it is, since one of them is quarantined.
func (t *Table) RecordOwnTrial(now time.Time, causes []CauseHash) (isTrial bool) {
	for _, hash := range causes {
		if t.isQuarantined(now, hash) {
			trial := Trial{Cause: hash, At: now}
			t.recordTrial(now, trial)
			t.report(Updates{Trials: []Trial{trial}})
			isTrial = true
		}
	}
	return isTrial
}

func (t *Table) isQuarantined(now time.Time, hash CauseHash) bool {
	c := t.causes[hash]
	return c != nil && c.isQuarantined(now)
}

func (t *Table) recordTrial(now time.Time, trial Trial) {
	if c := t.causes[trial.Cause]; c != nil && !trial.At.After(now) && trial.At.After(c.trialAt) {
		c.trialAt = trial.At
	}
}
