package lifecycle

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

type fakeSource struct {
	callback func(*ports.Configuration)
}

func (f *fakeSource) Current() *ports.Configuration { return nil }

func (f *fakeSource) OnChange(callback func(*ports.Configuration)) { f.callback = callback }

// recorder stands for the callers' server and the peers.
type recorder struct {
	steps []string
	calls chan struct{}
	// connected is how often callers are still found connected.
	connected int
}

func (r *recorder) Announce() { r.steps = append(r.steps, "announce") }

func (r *recorder) Refuse() { r.steps = append(r.steps, "refuse") }

func (r *recorder) Connected() bool {
	r.connected--
	return r.connected >= 0
}

func (r *recorder) Leave() { r.steps = append(r.steps, "leave") }

func (r *recorder) Stop(ctx context.Context) error {
	r.steps = append(r.steps, "stop")
	select {
	case <-r.calls:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func newTestManager(within time.Duration) (*Manager, *recorder, *fakeSource) {
	s := &settings.Settings{
		VM:   settings.VM{Name: "entry-1"},
		Stop: settings.Stop{Timeout: configuration.Duration(within)},
	}
	r := &recorder{calls: make(chan struct{})}
	source := &fakeSource{}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return NewManager(s, source, r, r, logger), r, source
}

func TestDrainLeavesBeforeItWaitsForCalls(t *testing.T) {
	m, r, _ := newTestManager(time.Hour)
	close(r.calls)
	if err := m.Drain(context.Background(), CauseSignal); err != nil {
		t.Fatalf("drain: %v", err)
	}
	if want := []string{"announce", "leave", "stop"}; !slices.Equal(r.steps, want) {
		t.Errorf("steps %v, want %v", r.steps, want)
	}
	if m.NotReady() == "" {
		t.Error("a drained daemon is ready")
	}
}

// Before a platform's kill, callers are refused for as long as they are connected:
// a closed connection may have a request on its way.
func TestCallersAreRefusedUntilTheyHaveGone(t *testing.T) {
	m, r, _ := newTestManager(time.Hour)
	m.limits.KillAfter = configuration.Duration(time.Hour)
	r.connected = 2
	close(r.calls)
	if err := m.Drain(context.Background(), CauseSignal); err != nil {
		t.Fatalf("drain: %v", err)
	}
	if want := []string{"announce", "leave", "refuse", "stop"}; !slices.Equal(r.steps, want) {
		t.Errorf("steps %v, want %v", r.steps, want)
	}
	if r.connected >= 0 {
		t.Error("the stop did not wait for the callers to go")
	}
}

func TestLingeringEndsBeforeTheKill(t *testing.T) {
	m, r, _ := newTestManager(closeMargin + 200*time.Millisecond)
	m.limits.KillAfter = configuration.Duration(time.Hour)
	r.connected = 1 << 30
	close(r.calls)
	began := time.Now()
	if err := m.Drain(context.Background(), CauseSignal); err != nil {
		t.Fatalf("drain: %v", err)
	}
	if took := time.Since(began); took > closeMargin+200*time.Millisecond {
		t.Errorf("the stop took %v", took)
	}
}

func TestDrainEndsAtItsTimeLimit(t *testing.T) {
	m, _, _ := newTestManager(time.Millisecond)
	err := m.Drain(context.Background(), CauseSignal)
	if !eris.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain: %v, want the deadline", err)
	}
}

func TestPlannedStopIsRequestedAndCancelled(t *testing.T) {
	m, _, source := newTestManager(time.Hour)
	revision := func(number configuration.RevisionNumber, stops ...configuration.PlannedStop) *ports.Configuration {
		return &ports.Configuration{Number: number, Document: configuration.Document{PlannedStops: stops}}
	}
	source.callback(revision(1))
	source.callback(revision(2, configuration.PlannedStop{VM: "entry-1", NotBefore: time.Now().Add(time.Hour)}))
	if m.timer == nil {
		t.Fatal("a planned stop was not scheduled")
	}
	source.callback(revision(3))
	if m.timer != nil {
		t.Fatal("a cancelled stop is still scheduled")
	}
	source.callback(revision(4, configuration.PlannedStop{VM: "entry-1"}))
	<-m.Requested()
}
