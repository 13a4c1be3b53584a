package overload

import (
	"fmt"
	"testing"
	"time"
)

// process stands for one with a fixed rate of work: streams that were let in go
// on to cost time, and turning a request away costs a little too.
type process struct {
	now, backlog, running float64
	shedding              *Shedding
	measureAt             float64
}

// lagging is the lateness that is allowed in the tests.
const lagging = 60 * time.Millisecond

const (
	step = 0.005
	// streamsFor is the time in seconds over which half of a call's work is spread.
	streamsFor = 1.5
	// turningAway is what it costs to turn a request away, as a part of serving it.
	turningAway = 0.05
)

// run lets work arrive, in seconds a second, and returns the worst lag and the
// work of the calls that were let in.
func (p *process) run(seconds, arriving float64) (worst, served float64) {
	for end := p.now + seconds; p.now < end; p.now += step {
		part := p.shedding.Part()
		let := arriving * (1 - part) * step
		p.running += let / 2
		due := p.running * step / streamsFor
		p.running -= due
		p.backlog = max(0, p.backlog+let/2+due+arriving*part*turningAway*step-step)
		served += let
		worst = max(worst, p.backlog)
		if p.now >= p.measureAt {
			p.shedding.Measured(time.Duration(p.backlog * float64(time.Second)))
			p.measureAt = p.now + Period.Seconds() + p.backlog
		}
	}
	return worst, served / seconds
}

// Load pattern: the callers of one workspace all reach one daemon, which gets
// several times the work that it can do. The part that is turned away settles
// where the rest can be done, and the lag stays bounded.
func TestSheddingBoundsTheLag(t *testing.T) {
	for _, arriving := range []float64{1.6, 3, 6} {
		t.Run(fmt.Sprint(arriving), func(t *testing.T) {
			p := process{shedding: NewShedding(lagging)}
			atFirst, _ := p.run(3, arriving)
			worst, served := p.run(60, arriving)
			t.Logf("lag %.2f s at first, then up to %.2f s, %.2f served", atFirst, worst, served)
			if atFirst > 0.8 {
				t.Errorf("a lag of %.2f s at first", atFirst)
			}
			if worst > 0.3 {
				t.Errorf("a lag of %.2f s", worst)
			}
			if served < 0.6 {
				t.Errorf("only %.2f of the time is used", served)
			}
		})
	}
}

func TestNothingIsTurnedAwayInCalm(t *testing.T) {
	s := NewShedding(lagging)
	for range 2 * lateInARow {
		s.Measured(2 * lagging)
	}
	if s.Part() == 0 {
		t.Fatal("nothing is turned away under load")
	}
	for range 40 {
		s.Measured(0)
	}
	if s.Part() != 0 {
		t.Errorf("%.2f is still turned away", s.Part())
	}
}

// A process that was paused, or late once, is not overloaded.
func TestPauseIsNoOverload(t *testing.T) {
	s := NewShedding(lagging)
	for range 20 {
		s.Measured(5 * time.Second)
		s.Measured(2 * lagging)
		s.Measured(0)
	}
	if s.Part() != 0 {
		t.Errorf("%.2f is turned away", s.Part())
	}
}

// A daemon that gets very much more than it can do is late by more than a second
// at each measurement. That is no pause.
func TestVeryLateInARowIsAnOverload(t *testing.T) {
	s := NewShedding(lagging)
	for range lateInARow + 1 {
		s.Measured(2 * paused)
	}
	if s.Part() < 0.9 {
		t.Errorf("only %.2f is turned away", s.Part())
	}
}
