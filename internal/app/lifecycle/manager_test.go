package lifecycle

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/gracefulstop"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

type fakeConfigurationSource struct {
	callback func(*ports.Configuration)
}

func (f *fakeConfigurationSource) Current() *ports.Configuration { return nil }

func (f *fakeConfigurationSource) OnChange(callback func(*ports.Configuration)) {
	f.callback = callback
}

// stepRecorder is a fake of the callers' server and of the fleet membership that
// records the steps of a stop.
type stepRecorder struct {
	// mu guards steps while a stop is in progress.
	mu    sync.Mutex
	steps []string
	// callsEnded is closed when every call in progress has ended.
	callsEnded chan struct{}
	// connectedChecks is the number of further checks that find callers connected.
	connectedChecks int
	// cutAt is the deadline of the server's stop.
	cutAt time.Time
}

func (r *stepRecorder) record(step string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.steps = append(r.steps, step)
}

func (r *stepRecorder) AnnounceStop(time.Time) { r.record("announce") }

func (r *stepRecorder) RefuseCalls() { r.record("refuse") }

func (r *stepRecorder) HasConnections() bool {
	r.connectedChecks--
	return r.connectedChecks >= 0
}

func (r *stepRecorder) Leave() { r.record("leave") }

func (r *stepRecorder) Stop(ctx context.Context) error {
	r.record("stop")
	r.cutAt, _ = ctx.Deadline()
	select {
	case <-r.callsEnded:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

const hour = configuration.Duration(time.Hour)

func newTestManager(stop settings.Stop) (*Manager, *stepRecorder, *fakeConfigurationSource) {
	s := &settings.Settings{
		VM:   settings.VM{Name: "entry-1"},
		Stop: stop,
	}
	r := &stepRecorder{callsEnded: make(chan struct{})}
	source := &fakeConfigurationSource{}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return NewManager(s, source, r, r, tally.NoopScope, logger), r, source
}

func TestDrainLeavesFleetBeforeWaitingForCalls(t *testing.T) {
	m, r, _ := newTestManager(settings.Stop{Timeout: hour})
	close(r.callsEnded)
	if err := m.Drain(Stop{Cause: CauseSignal, RequestedAt: time.Now()}); err != nil {
		t.Fatalf("drain: %v", err)
	}
	if want := []string{"announce", "leave", "stop"}; !slices.Equal(r.steps, want) {
		t.Errorf("steps %v, want %v", r.steps, want)
	}
	if m.NotReadyReason() == "" {
		t.Error("a drained daemon is ready")
	}
}

// When the platform will kill the process, connected callers are refused before
// their connections are closed, since a request may be in transit on them.
func TestDrainRefusesCallsUntilCallersDisconnect(t *testing.T) {
	m, r, _ := newTestManager(settings.Stop{Timeout: hour, KillAfter: hour})
	r.connectedChecks = 2
	close(r.callsEnded)
	if err := m.Drain(Stop{Cause: CauseSignal, RequestedAt: time.Now()}); err != nil {
		t.Fatalf("drain: %v", err)
	}
	if want := []string{"announce", "leave", "refuse", "stop"}; !slices.Equal(r.steps, want) {
		t.Errorf("steps %v, want %v", r.steps, want)
	}
	if r.connectedChecks >= 0 {
		t.Error("the stop did not wait until the callers had disconnected")
	}
}

func TestDrainStopsRefusingBeforeTimeout(t *testing.T) {
	const timeout = configuration.Duration(700 * time.Millisecond)
	m, r, _ := newTestManager(settings.Stop{Timeout: timeout, KillAfter: hour})
	r.connectedChecks = 1 << 30
	close(r.callsEnded)
	start := time.Now()
	if err := m.Drain(Stop{Cause: CauseSignal, RequestedAt: time.Now()}); err != nil {
		t.Fatalf("drain: %v", err)
	}
	if elapsed := time.Since(start); elapsed > timeout.Value() {
		t.Errorf("the stop took %v", elapsed)
	}
}

// With a grace period under 4.2 s, calls were cut off before its last sixth.
func TestDrainLeavesCallsFiveSixthsOfShortGracePeriod(t *testing.T) {
	m, r, _ := newTestManager(settings.Stop{Timeout: hour, KillAfter: configuration.Duration(time.Second)})
	close(r.callsEnded)
	stop := Stop{Cause: CauseSignal, RequestedAt: time.Now()}
	if err := m.Drain(stop); err != nil {
		t.Fatalf("drain: %v", err)
	}
	if left := r.cutAt.Sub(stop.RequestedAt); left < time.Second*5/6 || left >= time.Second {
		t.Errorf("calls are cut off after %v of 1 s", left)
	}
}

func TestDrainFailsAtTimeout(t *testing.T) {
	m, _, _ := newTestManager(settings.Stop{Timeout: configuration.Duration(time.Millisecond)})
	err := m.Drain(Stop{Cause: CauseSignal, RequestedAt: time.Now()})
	if !eris.Is(err, context.DeadlineExceeded) {
		t.Errorf("drain: %v, want the deadline", err)
	}
}

func TestPlannedStopIsScheduledAndCancelled(t *testing.T) {
	m, _, source := newTestManager(settings.Stop{Timeout: hour})
	revision := func(number configuration.RevisionNumber, stops ...configuration.PlannedStop) *ports.Configuration {
		return &ports.Configuration{Number: number, Document: configuration.Document{PlannedStops: stops}}
	}
	source.callback(revision(1))
	source.callback(revision(2, configuration.PlannedStop{VM: "entry-1", NotBefore: time.Now().Add(time.Hour)}))
	if m.stopTimer == nil {
		t.Fatal("a planned stop was not scheduled")
	}
	source.callback(revision(3))
	if m.stopTimer != nil {
		t.Fatal("a cancelled stop is still scheduled")
	}
	source.callback(revision(4, configuration.PlannedStop{VM: "entry-1"}))
	<-m.StopRequested()
}

// Planned stops were cut off for a kill that follows signals only, and a signal in one is
// followed by it.
func TestPlannedStopIsLimitedOnlyBySignal(t *testing.T) {
	const killAfter = configuration.Duration(300 * time.Millisecond)
	m, r, _ := newTestManager(settings.Stop{Timeout: hour, KillAfter: killAfter})
	m.requestStop(time.Now(), gracefulstop.RequestPlanned, CausePlanned)
	drained := make(chan error, 1)
	go func() { drained <- m.Drain(<-m.StopRequested()) }()
	select {
	case err := <-drained:
		t.Fatalf("the planned stop ended with %v", err)
	case <-time.After(2 * killAfter.Value()):
	}
	signalledAt := time.Now()
	m.requestStop(signalledAt, gracefulstop.RequestStop, CauseSignal)
	if err := <-drained; err == nil || time.Since(signalledAt) >= killAfter.Value() {
		t.Errorf("ended %v after the signal with %v", time.Since(signalledAt), err)
	}
	if left := r.cutAt.Sub(signalledAt); left < time.Minute {
		t.Errorf("without a signal calls would have been cut off %v later", left)
	}
}
