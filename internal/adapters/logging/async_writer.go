package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes is the maximum size of the lines that wait to be written.
	maxPendingBytes = 256 << 10
	// flushInterval is how long lines are collected for one write, which keeps
	// the number of system calls low.
	flushInterval = 100 * time.Millisecond
)

// AsyncWriter buffers whole lines and writes them in the background. Write never
// blocks: if the reader of the output stops reading, lines are dropped but
// requests go on. It is safe for concurrent use.
type AsyncWriter struct {
	out io.Writer
	// wake receives a value when pending becomes non-empty.
	wake chan struct{}

	mu      sync.Mutex
	pending []byte
	// dropped counts the lines dropped since the last flush because pending was
	// full or the writer closed.
	dropped int
	closed  bool
	// flushMu keeps the flushes in order; it is held during a write to out.
	flushMu sync.Mutex
}

// NewAsyncWriter returns a writer to out. Its goroutine never ends.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer. The line must end with a newline. Write never fails:
// it drops a line that does not fit into the buffer, and the number of dropped
// lines is logged with the next flush.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	if len(w.pending) == 0 {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	w.pending = append(w.pending, line...)
	return len(line), nil
}

// Close flushes the pending lines, waiting for the timeout at most, and then makes
// Write drop all lines.
func (w *AsyncWriter) Close(timeout time.Duration) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.flush()
	}()
	select {
	case <-done:
	case <-time.After(timeout):
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
}

func (w *AsyncWriter) run() {
	for range w.wake {
		time.Sleep(flushInterval)
		w.flush()
	}
}

func (w *AsyncWriter) flush() {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	lines, dropped := w.pending, w.dropped
	w.pending, w.dropped = nil, 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "time=%s level=warn event=%q lines=%d\n",
			time.Now().Format(timeFormat), "log-lines-dropped", dropped)
	}
	// There is nowhere to report that the log itself can't be written.
	_, _ = w.out.Write(lines)
}
