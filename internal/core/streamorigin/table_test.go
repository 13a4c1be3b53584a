package streamorigin

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/ports"
)

const testEntries = 8

// tableModel is a table that keeps everything in a list.
type tableModel []struct {
	key        AttemptKey
	origin     Origin
	recordedAt time.Time
}

// live returns the entries that are neither expired nor dropped.
func (m tableModel) live(now time.Time) tableModel {
	for len(m) > 0 && now.Sub(m[0].recordedAt) >= Lifetime {
		m = m[1:]
	}
	return m
}

func (m tableModel) lookUp(key AttemptKey) (Origin, bool) {
	for _, entry := range m {
		if entry.key == key {
			return entry.origin, true
		}
	}
	return Origin{}, false
}

// A table that forgets a stream too early, confuses two, or keeps all would refuse
// callers, join versions, or grow without bound.
func TestTableKeepsTheNewestOriginsForTheirLifetime(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(25)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("the table agrees with its model", prop.ForAll(func(steps []int) string {
		table, model := NewTable(testEntries), tableModel{}
		now := time.Unix(1, 0)
		for i, step := range steps {
			now = now.Add(time.Duration(step%7) * Lifetime / 20)
			key, origin := AttemptKey(step/7%12), Origin{SoftwareVersion: fmt.Sprint(i)}
			model = model.live(now)
			table.Record(now, key, origin)
			if _, known := model.lookUp(key); !known {
				model = append(model, tableModel{{key, origin, now}}...)
				model = model[max(0, len(model)-testEntries):]
			}
			for other := range AttemptKey(12) {
				got, gotKnown := table.LookUp(now, other)
				if want, known := model.lookUp(other); got != want || gotKnown != known {
					return fmt.Sprintf("step %d: key %d is %v %v, want %v %v", i, other, got, gotKnown, want, known)
				}
			}
			if table.Len() > testEntries {
				return fmt.Sprintf("step %d: %d entries", i, table.Len())
			}
		}
		return ""
	}, gen.SliceOf(gen.IntRange(0, 7*12-1))))
	properties.TestingRun(t)
}

// A daemon relays 92 streams a second and is the home of others: the table must not
// keep the keys of expired ones.
func TestTableReleasesExpiredOrigins(t *testing.T) {
	table := NewTable(MaxEntries)
	now := time.Unix(1, 0)
	for i := range 100_000 {
		now = now.Add(10 * time.Millisecond)
		table.Record(now, KeyOf(ports.RequestID(fmt.Sprint(i))), Origin{SoftwareVersion: "v1"})
	}
	live := int(Lifetime / (10 * time.Millisecond))
	if table.Len() != live || len(table.records) > 2*live+1 {
		t.Errorf("%d origins and %d records, want %d", table.Len(), len(table.records), live)
	}
}
