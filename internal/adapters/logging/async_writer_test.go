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

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}

	mu   sync.Mutex
	text bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func (w *blockedWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// If the output blocks, Write must go on, and the number of dropped lines must be
// logged once the output accepts lines again.
func TestBlockedOutputDoesNotBlockWrites(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	writer := NewAsyncWriter(out)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	written := make(chan struct{})
	go func() {
		defer close(written)
		for range 4 * maxPendingBytes / len(line) {
			if _, err := writer.Write(line); err != nil {
				t.Error(err)
			}
		}
	}()
	select {
	case <-written:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks while the output is blocked")
	}
	close(out.release)
	writer.Close(10 * time.Second)
	if !strings.Contains(out.String(), "log-lines-dropped") {
		t.Error("the dropped lines are not reported")
	}
}

func TestAsyncWriterWritesAllLinesInOrder(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	writer := NewAsyncWriter(out)
	var want strings.Builder
	for i := range 1000 {
		line := strings.Repeat("y", i%7) + "\n"
		want.WriteString(line)
		_, _ = writer.Write([]byte(line))
	}
	writer.Close(10 * time.Second)
	if out.String() != want.String() {
		t.Error("the output differs from the written lines")
	}
}

func TestLimiterReportsSuppressedLines(t *testing.T) {
	var out bytes.Buffer
	limiter := NewLimiter(&log.Logger{Writer: &log.IOWriter{Writer: &out}})
	now := time.Unix(1000, 0)
	allowed := 0
	for range 10 * maxLinesPerWindow {
		if limiter.allow(now, eventKey{event: "call-ended", detail: "queue-full"}) {
			allowed++
		}
	}
	if allowed != maxLinesPerWindow {
		t.Errorf("%d lines allowed in a window", allowed)
	}
	if !limiter.allow(now, eventKey{event: "call-ended", detail: "deadline-exceeded"}) {
		t.Error("another detail has no limit of its own")
	}
	if !limiter.allow(now.Add(limitWindow), eventKey{event: "call-ended", detail: "queue-full"}) {
		t.Error("no line allowed in the next window")
	}
	if text := out.String(); !strings.Contains(text, "lines-left-out") || !strings.Contains(text, "360") {
		t.Errorf("log %q does not report the 360 suppressed lines", text)
	}
}

var _ io.Writer = (*AsyncWriter)(nil)
