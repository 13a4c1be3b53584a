package backendhttp

import (
	"sync"
	"time"
)

// silenceWatchdog closes a connection that makes no progress for its timeout, unless shouldClose keeps it open.
type silenceWatchdog struct {
	conn        *trackedConn
	timeout     time.Duration
	recheck     time.Duration
	shouldClose func(silence time.Duration) bool

	mu    sync.Mutex
	timer *time.Timer
	// dueAt is the time for which timer is set.
	dueAt   time.Time
	stopped bool
}

// startSilenceWatchdog starts the watchdog of a request. With a timeout of zero
// it does nothing.
func startSilenceWatchdog(conn *trackedConn, request *Request) *silenceWatchdog {
	w := &silenceWatchdog{
		conn: conn, timeout: request.SilenceTimeout, recheck: request.SilenceRecheck, shouldClose: request.ShouldCloseSilent,
	}
	if w.recheck <= 0 {
		w.recheck = w.timeout
	}
	if w.timeout <= 0 {
		w.stopped = true
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dueAt = time.Now().Add(w.timeout)
	w.timer = time.AfterFunc(w.timeout, w.check)
	return w
}

func (w *silenceWatchdog) check() {
	now := time.Now()
	silence := w.conn.silentFor(now)
	if silence < w.timeout {
		w.reschedule(w.timeout - silence)
		return
	}
	if w.firedLate(now) {
		w.reschedule(w.timeout)
		return
	}
	if w.conn.hasUnreadBytes() {
		w.reschedule(w.recheck)
		return
	}
	if w.shouldClose != nil && !w.shouldClose(silence) {
		w.reschedule(w.recheck)
		return
	}
	if w.conn.silentFor(time.Now()) < w.timeout {
		// The answer made progress during the decision.
		w.reschedule(w.recheck)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.conn.closeAsSilent()
	}
}

// firedLate reports whether the timer fired much too late, which means that this
// process was paused: data that arrived meanwhile has not been read yet.
func (w *silenceWatchdog) firedLate(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.dueAt) > w.timeout/2
}

func (w *silenceWatchdog) reschedule(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.dueAt = time.Now().Add(delay)
		w.timer.Reset(delay)
	}
}

func (w *silenceWatchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}
