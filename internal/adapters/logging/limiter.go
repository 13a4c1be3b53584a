package logging

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// limitWindow is the time over which the lines of one event are counted.
	limitWindow = time.Second
	// linesPerWindow is the most lines of one event and detail in a window: a
	// complaint's request is among many of its like at the worst load, and the
	// counters have them all.
	linesPerWindow = 40
)

// Limiter bounds the lines of events that each request may cause. What it leaves
// out is counted and said. It is safe for concurrent use.
type Limiter struct {
	logger *log.Logger

	mu     sync.Mutex
	events map[limitKey]*limited
}

type limitKey struct{ event, detail string }

type limited struct {
	since   time.Time
	lines   int
	leftOut int
}

// NewLimiter returns a limiter that says on the logger what it left out.
func NewLimiter(logger *log.Logger) *Limiter {
	return &Limiter{logger: logger, events: make(map[limitKey]*limited)}
}

// Allow says whether a line of the event may be written. The detail, such as a
// reason, has a limit of its own.
func (l *Limiter) Allow(event, detail string) bool {
	return l.allow(time.Now(), limitKey{event: event, detail: detail})
}

func (l *Limiter) allow(now time.Time, key limitKey) bool {
	l.mu.Lock()
	state, known := l.events[key]
	if !known {
		state = &limited{since: now}
		l.events[key] = state
	}
	leftOut := 0
	if now.Sub(state.since) >= limitWindow {
		leftOut = state.leftOut
		*state = limited{since: now}
	}
	allowed := state.lines < linesPerWindow
	if allowed {
		state.lines++
	} else {
		state.leftOut++
	}
	l.mu.Unlock()
	if leftOut > 0 {
		l.logger.Info().Str("event", "lines-left-out").Str("of", key.event).Str("detail", key.detail).
			Int("lines", leftOut).Msg("")
	}
	return allowed
}
