package liveconfig

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

func TestApplyResolvesLostAnswerWithoutSecondWrite(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.platform.answersToLose = 1
	f.mustApply(f.managers[0], 0)
	if f.platform.puts != 1 {
		t.Errorf("%d writes, want 1", f.platform.puts)
	}
}

func TestRepeatedApplyIsAcceptedOnce(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.mustApply(f.managers[0], 0)
	summary, err := f.managers[1].Apply(context.Background(), newEdit(0, "apply-1"))
	if err != nil || summary.Number != 1 {
		t.Errorf("got %+v, %v", summary, err)
	}
}

func TestApplyRejectsReusedApplyID(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.mustApply(f.managers[0], 0)
	other := newEdit(0, "apply-1")
	other.Document = newDocument(50)
	_, err := f.managers[0].Apply(context.Background(), other)
	var reused *ports.ApplyIDReusedError
	if !errors.As(err, &reused) || reused.Number != 1 {
		t.Errorf("got %v", err)
	}
}

func TestConcurrentAppliesAcceptOneRevision(t *testing.T) {
	const operators = 8
	f := newFleet(t, 1, operators)
	f.mustApply(f.managers[0], 0)
	var mu sync.Mutex
	var applies sync.WaitGroup
	accepted, conflicts := 0, 0
	for i, m := range f.managers {
		applies.Go(func() {
			e := newEdit(1, fmt.Sprintf("race-%d", i))
			e.Document = newDocument(100 + i)
			_, err := m.Apply(context.Background(), e)
			var conflict *configuration.ConflictError
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				accepted++
			case errors.As(err, &conflict) && len(conflict.Difference) == 1 && conflict.Current == 2:
				conflicts++
			default:
				t.Errorf("unexpected result: %v", err)
			}
		})
	}
	applies.Wait()
	if accepted != 1 || conflicts != operators-1 {
		t.Errorf("%d accepted, %d conflicts", accepted, conflicts)
	}
}

func TestApplyWithUnavailablePlatformIsNotAccepted(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.platform.setDown(true)
	_, err := f.managers[0].Apply(context.Background(), newEdit(0, "a"))
	var unavailable *ports.PlatformUnavailableError
	var unknown *ports.EditOutcomeUnknownError
	if !errors.As(err, &unavailable) || errors.As(err, &unknown) {
		t.Errorf("got %v", err)
	}
}

func TestApplyWithUnreadableResultIsUnknown(t *testing.T) {
	f := newFleet(t, 1, 1)
	f.platform.beforePut = func() { f.platform.setDown(true) }
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		awaitCondition(t, func() bool {
			f.platform.mu.Lock()
			defer f.platform.mu.Unlock()
			return f.platform.puts > 0
		})
		cancel()
	}()
	_, err := f.managers[0].Apply(ctx, newEdit(0, "a"))
	var unknown *ports.EditOutcomeUnknownError
	if !errors.As(err, &unknown) {
		t.Errorf("got %v", err)
	}
}

func TestApplyDoesNotWriteInvalidDocument(t *testing.T) {
	f := newFleet(t, 1, 1)
	e := newEdit(0, "a")
	e.Document.Classes = nil
	_, err := f.managers[0].Apply(context.Background(), e)
	var invalid *configuration.InvalidDocumentError
	if !errors.As(err, &invalid) || f.platform.puts != 0 {
		t.Errorf("got %v after %d writes", err, f.platform.puts)
	}
}

func TestApplyRestoresLostChainWithHigherNumber(t *testing.T) {
	f := newFleet(t, 1, 2)
	f.run()
	f.mustApply(f.managers[0], 0)
	f.mustApply(f.managers[0], 1)
	f.awaitRevision(2)
	f.platform.mu.Lock()
	f.platform.object = ports.Object{}
	f.platform.mu.Unlock()
	f.mustApply(f.managers[1], 2)
	f.awaitRevision(3)
}

func TestConcurrentStopEditsAllTakeEffect(t *testing.T) {
	const stopCount = 6
	f := newFleet(t, 1, stopCount)
	f.mustApply(f.managers[0], 0)
	var edits sync.WaitGroup
	for i, m := range f.managers {
		edits.Go(func() {
			stop := configuration.PlannedStop{VM: ports.VMName(fmt.Sprintf("vm-%d", i))}
			_, err := m.EditStops(context.Background(), ports.StopsEdit{
				ApplyID: fmt.Sprintf("stop-%d", i),
				Change: func(stops []configuration.PlannedStop) ([]configuration.PlannedStop, error) {
					return append(stops[:len(stops):len(stops)], stop), nil
				},
			})
			if err != nil {
				t.Error(err)
			}
		})
	}
	edits.Wait()
	chain, err := f.managers[0].Chain(context.Background())
	if err != nil || len(chain.Current.Document.PlannedStops) != stopCount {
		t.Errorf("got %+v, %v", chain.Current, err)
	}
}
