package logging

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

const (
	// limitWindow is the period in which the lines of one event are counted.
	limitWindow = time.Second
	// maxLinesPerWindow is the maximum number of lines of one event and detail in a
	// window. At peak load a request that a caller complains about may be left
	// out, but many like it are logged, and the metrics count all of them.
	maxLinesPerWindow = 40
)

// Limiter limits the log lines of events that any request may cause. It counts the
// lines that it suppresses and logs their number. It is safe for concurrent use.
type Limiter struct {
	logger *log.Logger

	mu     sync.Mutex
	events map[eventKey]*windowCounts
}

// eventKey identifies the lines that share a limit.
type eventKey struct{ event, detail string }

// windowCounts counts the lines of an eventKey in the window that began at start.
type windowCounts struct {
	start      time.Time
	written    int
	suppressed int
}

// NewLimiter returns a limiter that logs the numbers of suppressed lines.
func NewLimiter(logger *log.Logger) *Limiter {
	return &Limiter{logger: logger, events: make(map[eventKey]*windowCounts)}
}

// Allow reports whether a line of the event may be written. Each detail of an
// event, such as a reason, has its own limit. The first Allow for an event and
// detail after the end of a window logs how many of its lines were suppressed.
func (l *Limiter) Allow(event, detail string) bool {
	return l.allow(time.Now(), eventKey{event: event, detail: detail})
}

func (l *Limiter) allow(now time.Time, key eventKey) bool {
	l.mu.Lock()
	counts, known := l.events[key]
	if !known {
		counts = &windowCounts{start: now}
		l.events[key] = counts
	}
	suppressed := 0
	if now.Sub(counts.start) >= limitWindow {
		suppressed = counts.suppressed
		*counts = windowCounts{start: now}
	}
	allowed := counts.written < maxLinesPerWindow
	if allowed {
		counts.written++
	} else {
		counts.suppressed++
	}
	l.mu.Unlock()
	if suppressed > 0 {
		l.logger.Info().Str("event", "lines-left-out").Str("of", key.event).Str("detail", key.detail).
			Int("lines", suppressed).Msg("")
	}
	return allowed
}
