package standin

import (
	"context"
	"sync"
	"time"
)

// LoadReport is the load that a backend server reports: the running and the
// waiting requests, and whether the server is leaving.
type LoadReport struct {
	Running int  `json:"running"`
	Waiting int  `json:"waiting"`
	Leaving bool `json:"leaving"`
}

// Slots are the request slots of a backend server, granted in the order of
// arrival. They also keep the server's load report, which lags behind: see
// RefreshReportEvery.
type Slots struct {
	free chan struct{}

	mu      sync.Mutex
	running int
	waiting int
	leaving bool
	report  LoadReport
}

// NewSlots returns n free slots.
func NewSlots(n int) *Slots {
	slots := &Slots{free: make(chan struct{}, n)}
	for range n {
		slots.free <- struct{}{}
	}
	return slots
}

// Acquire waits for a slot. It fails only when ctx ends, with its error.
func (s *Slots) Acquire(ctx context.Context) error {
	s.addCounts(0, 1)
	defer s.addCounts(0, -1)
	select {
	case <-s.free:
		s.addCounts(1, 0)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Release returns a slot.
func (s *Slots) Release() {
	s.addCounts(-1, 0)
	s.free <- struct{}{}
}

// SetLeaving sets the leaving flag of later load reports.
func (s *Slots) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Report returns the load as of the last refresh; before the first one it is
// zero.
func (s *Slots) Report() LoadReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.report
}

// RefreshReportEvery updates the load report at each period until ctx ends.
func (s *Slots) RefreshReportEvery(ctx context.Context, period time.Duration) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.refreshReport()
		case <-ctx.Done():
			return
		}
	}
}

func (s *Slots) refreshReport() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report = LoadReport{Running: s.running, Waiting: s.waiting, Leaving: s.leaving}
}

func (s *Slots) addCounts(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
}
