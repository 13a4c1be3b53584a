package slots

import "time"

const (
	// initialWindow is the window of a new backend server, in calls.
	initialWindow = 4
	// minWindow is the smallest window, in calls.
	minWindow = 1
	// decreaseFactor multiplies the window on congestion.
	decreaseFactor = 0.75
	// ceilingRaiseInterval is how long a ceiling stays before it is raised by one
	// call.
	ceilingRaiseInterval = 10 * time.Second
	// minDecreaseInterval is the least time between two decreases, so that the
	// effect of one shows before the next.
	minDecreaseInterval = time.Second
)

// Window is the concurrency limit of one backend server: the number of calls
// that it may have in progress. It grows additively while the server answers in
// time and the window is full, and shrinks multiplicatively on congestion (AIMD).
// A new server's window is in slow start: it doubles with each round until the
// first congestion.
type Window struct {
	size      float64
	limit     int
	slowStart bool
	// ceiling is the largest size that load reports allow; zero before the first
	// report with waiting calls.
	ceiling             float64
	ceilingChangedAt    time.Time
	lastReportedRunning int
	decreasedAt         time.Time
}

// NewWindow returns the window of a new server. limit is the operators' maximum of
// calls in progress.
func NewWindow(limit int) Window {
	return Window{size: min(initialWindow, float64(limit)), limit: limit, slowStart: true}
}

// Size returns the size of the window in calls.
func (w *Window) Size() int {
	return max(minWindow, int(w.size))
}

// SetLimit changes the operators' maximum of calls in progress.
func (w *Window) SetLimit(limit int) {
	w.limit = limit
	w.size = min(w.size, float64(limit))
}

// Grow enlarges the window after a run that the server answered in time, if the
// window is full. A window that is not full does not show what the server can do.
func (w *Window) Grow(full bool) {
	if !full {
		return
	}
	step := 1.0
	if !w.slowStart {
		step = 1 / w.size
	}
	w.size = min(w.size+step, w.maxSize())
}

// maxSize returns the largest size that the window may have now, in calls.
func (w *Window) maxSize() float64 {
	if w.ceiling == 0 {
		return float64(w.limit)
	}
	return min(w.ceiling, float64(w.limit))
}

// ObserveLoad applies the server's lagging report of its running and waiting
// calls. If calls wait, the server runs as many at once as it can, and this
// number becomes the ceiling. If none wait and the server runs as many as the
// ceiling allows, the ceiling rises by one after ceilingRaiseInterval.
func (w *Window) ObserveLoad(now time.Time, running, waiting int) {
	maxRunning := max(minWindow, running, w.lastReportedRunning)
	w.lastReportedRunning = running
	switch {
	case waiting > 0:
		w.slowStart = false
		w.ceiling = float64(maxRunning)
		w.ceilingChangedAt = now
		w.size = min(w.size, w.maxSize())
	case w.ceiling > 0 && running >= int(w.ceiling) && now.Sub(w.ceilingChangedAt) >= ceilingRaiseInterval:
		w.ceiling++
		w.ceilingChangedAt = now
	}
}

// InSlowStart reports whether the window has not met its first congestion since
// it was new or reset.
func (w *Window) InSlowStart() bool {
	return w.slowStart
}

// Shrink reduces the window on a sign of congestion, at most once within
// minDecreaseInterval.
func (w *Window) Shrink(now time.Time) {
	w.slowStart = false
	if now.Sub(w.decreasedAt) < minDecreaseInterval {
		return
	}
	w.decreasedAt = now
	w.size = max(minWindow, w.size*decreaseFactor)
}

// Reset sets the window for a server whose capacity is not known any more: the
// smallest size, in slow start.
func (w *Window) Reset() {
	w.size = minWindow
	w.slowStart = true
	w.ceiling = 0
	w.lastReportedRunning = 0
}
