package admission

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newItem returns a call whose first token is due after firstTokenIn.
func newItem(id ItemID, workspace ports.WorkspaceID, firstTokenIn time.Duration, bytes int64) *Item {
	return &Item{
		ID: id, Service: "s", Workspace: workspace, Bytes: bytes, Arrived: start,
		FirstTokenBy: start.Add(firstTokenIn), Deadline: start.Add(time.Hour),
	}
}

func TestCallsArePoppedByFirstTokenDeadline(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(8)
	properties := gopter.NewProperties(parameters)
	properties.Property("earliest first-token deadline first, then in order of arrival", prop.ForAll(func(firstTokensIn []int) bool {
		q := NewQueue(Limits{TotalBytes: 1 << 30, WorkspaceBytes: 1 << 30})
		for i, seconds := range firstTokensIn {
			q.Push(start, newItem(ItemID(i+1), "w", time.Duration(seconds)*time.Second, 1))
		}
		var last *Item
		for range firstTokensIn {
			item := q.Pop(start, "s", "w")
			if last != nil && (item.FirstTokenBy.Before(last.FirstTokenBy) ||
				item.FirstTokenBy.Equal(last.FirstTokenBy) && item.ID < last.ID) {
				return false
			}
			last = item
		}
		return q.Len() == 0 && q.totalBytes == 0 && len(q.bytesByWorkspace) == 0
	}, gen.SliceOf(gen.IntRange(0, 9))))
	properties.TestingRun(t)
}

func TestFullQueueOfAWorkspaceRefusesOnlyItsCalls(t *testing.T) {
	q := NewQueue(Limits{TotalBytes: 1000, WorkspaceBytes: 100})
	for id := ItemID(1); id <= 10; id++ {
		if _, refusal := q.Push(start, newItem(id, "flood", time.Second, 10)); refusal != nil {
			t.Fatalf("call %d refused: %v", id, refusal)
		}
	}
	_, refusal := q.Push(start, newItem(11, "flood", 0, 10))
	if refusal == nil || refusal.Reason != outcome.ReasonQueueFull || refusal.End != outcome.NotRun || refusal.RetryAfter < minRetryAfter {
		t.Errorf("got %v, want queue-full with a RetryAfter", refusal)
	}
	if _, refusal := q.Push(start, newItem(12, "small", time.Second, 10)); refusal != nil {
		t.Errorf("another workspace was refused: %v", refusal)
	}
}

func TestFullDaemonShedsTheNewestCallsOfTheLargestWorkspace(t *testing.T) {
	q := NewQueue(Limits{TotalBytes: 100, WorkspaceBytes: 100})
	for id := ItemID(1); id <= 10; id++ {
		q.Push(start, newItem(id, "flood", time.Second, 10))
	}
	shed, refusal := q.Push(start, newItem(11, "small", time.Second, 20))
	if refusal != nil || len(shed) != 2 || shed[0].ID != 10 || shed[1].ID != 9 {
		t.Fatalf("shed %v with %v, want calls 10 and 9 of workspace flood", shed, refusal)
	}
	if shed, refusal := q.Push(start, newItem(12, "flood", time.Second, 10)); refusal == nil || len(shed) != 0 {
		t.Error("the call of the largest workspace was not refused, or other calls were shed for it")
	}
}

func TestRetryAfterFollowsTheDrainRate(t *testing.T) {
	q := NewQueue(Limits{TotalBytes: 1 << 20, WorkspaceBytes: 100})
	for id := ItemID(1); id <= 10; id++ {
		q.Push(start, newItem(id, "w", time.Second, 10))
	}
	withoutRate := q.FullRefusal(start, "w").RetryAfter
	q.Pop(start, "s", "w")
	withRate := q.FullRefusal(start, "w").RetryAfter
	if withoutRate != minRetryAfter {
		t.Errorf("RetryAfter is %v without a drain rate, want %v", withoutRate, minRetryAfter)
	}
	if withRate != 45*time.Second {
		t.Errorf("RetryAfter is %v when one call drained in ten seconds and nine wait, want 45s", withRate)
	}
}

func TestPopSkipsExpiredCalls(t *testing.T) {
	q := NewQueue(Limits{TotalBytes: 1000, WorkspaceBytes: 1000})
	expired := newItem(1, "w", 0, 10)
	expired.Deadline = start
	q.Push(start, expired)
	q.Push(start, newItem(2, "w", time.Minute, 10))
	if item := q.Pop(start, "s", "w"); item == nil || item.ID != 2 {
		t.Errorf("popped %v, want call 2", item)
	}
	if item := q.Pop(start, "s", "w"); item != nil {
		t.Errorf("popped the expired call %d", item.ID)
	}
}
