package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPending is the most bytes of lines that wait to be written.
	maxPending = 256 << 10
	// flushEvery is the time between two writes: one for all lines since the
	// last, so that the log costs few system calls.
	flushEvery = 100 * time.Millisecond
)

// Lines is a writer of whole lines that never blocks: a reader that has stopped
// costs lines, not requests. It is safe for concurrent use.
type Lines struct {
	to   io.Writer
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	// dropped counts the lines that found no room since the last write.
	dropped int
	closed  bool
	// writing is held during a write.
	writing sync.Mutex
}

// NewLines starts a writer.
func NewLines(to io.Writer) *Lines {
	l := &Lines{to: to, wake: make(chan struct{}, 1)}
	go l.run()
	return l
}

// Write implements io.Writer. It takes whole lines and never fails.
func (l *Lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.pending)+len(line) > maxPending {
		l.dropped++
		return len(line), nil
	}
	if len(l.pending) == 0 {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
	l.pending = append(l.pending, line...)
	return len(line), nil
}

// Close writes what waits, for the given time at most, and takes no more lines.
func (l *Lines) Close(within time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.flush()
	}()
	select {
	case <-done:
	case <-time.After(within):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

func (l *Lines) run() {
	for range l.wake {
		time.Sleep(flushEvery)
		l.flush()
	}
}

func (l *Lines) flush() {
	l.writing.Lock()
	defer l.writing.Unlock()
	l.mu.Lock()
	lines, dropped := l.pending, l.dropped
	l.pending, l.dropped = nil, 0
	l.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "time=%s level=warn event=%q lines=%d\n",
			time.Now().Format(timeFormat), "log-lines-dropped", dropped)
	}
	// There is nowhere to report that the log itself can't be written.
	_, _ = l.to.Write(lines)
}
