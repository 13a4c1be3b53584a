package logging

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *stuckWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// A reader that has stopped costs lines, and is told how many.
func TestReaderThatStoppedBlocksNobody(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	lines := NewLines(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 4 * maxPending / len(line) {
			if _, err := lines.Write(line); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("a write blocks")
	}
	close(out.release)
	lines.Close(10 * time.Second)
	if !strings.Contains(out.String(), "log-lines-dropped") {
		t.Error("nothing says that lines were dropped")
	}
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
	out := &stuckWriter{release: make(chan struct{})}
	close(out.release)
	lines := NewLines(out)
	var want strings.Builder
	for i := range 1000 {
		line := strings.Repeat("y", i%7) + "\n"
		want.WriteString(line)
		_, _ = lines.Write([]byte(line))
	}
	lines.Close(10 * time.Second)
	if out.String() != want.String() {
		t.Error("the lines differ from what was written")
	}
}

func TestLimiterCountsWhatItLeavesOut(t *testing.T) {
	var out bytes.Buffer
	limiter := NewLimiter(&log.Logger{Writer: &log.IOWriter{Writer: &out}})
	now := time.Unix(1000, 0)
	allowed := 0
	for range 10 * linesPerWindow {
		if limiter.allow(now, limitKey{event: "call-ended", detail: "queue-full"}) {
			allowed++
		}
	}
	if allowed != linesPerWindow {
		t.Errorf("%d lines in a window", allowed)
	}
	if !limiter.allow(now, limitKey{event: "call-ended", detail: "deadline-exceeded"}) {
		t.Error("another reason has no lines of its own")
	}
	if !limiter.allow(now.Add(limitWindow), limitKey{event: "call-ended", detail: "queue-full"}) {
		t.Error("no line in the next window")
	}
	if text := out.String(); !strings.Contains(text, "lines-left-out") || !strings.Contains(text, "360") {
		t.Errorf("the log says %q", text)
	}
}

var _ io.Writer = (*Lines)(nil)
