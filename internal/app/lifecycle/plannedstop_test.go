package lifecycle

import (
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

func TestPlannedStopTime(t *testing.T) {
	startedAt := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	now := startedAt.Add(time.Hour)
	later := now.Add(time.Minute)
	incarnation := daemonIncarnation{vm: "entry-1", startedAt: startedAt, firstRevision: 3}

	tests := []struct {
		name     string
		revision configuration.RevisionNumber
		stop     configuration.PlannedStop
		want     time.Time
		found    bool
	}{
		{"another VM", 4, configuration.PlannedStop{VM: "entry-2"}, time.Time{}, false},
		{"at once", 4, configuration.PlannedStop{VM: "entry-1"}, now, true},
		{"at once, meant for an earlier incarnation", 3, configuration.PlannedStop{VM: "entry-1"}, time.Time{}, false},
		{"later", 3, configuration.PlannedStop{VM: "entry-1", NotBefore: later}, later, true},
		{"due before the incarnation began", 4, configuration.PlannedStop{VM: "entry-1", NotBefore: startedAt.Add(-time.Second)}, time.Time{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			revision := &ports.Configuration{
				Number:   test.revision,
				Document: configuration.Document{PlannedStops: []configuration.PlannedStop{test.stop}},
			}
			at, found := incarnation.plannedStopTime(revision, now)
			if found != test.found || !at.Equal(test.want) {
				t.Errorf("plannedStopTime = %v, %v; want %v, %v", at, found, test.want, test.found)
			}
		})
	}
}
