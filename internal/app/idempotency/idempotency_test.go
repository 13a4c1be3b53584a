package idempotency

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hawthornstream/internal/core/idempotency"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

func expectVerdict(t *testing.T, began Began, want idempotency.Verdict) {
	t.Helper()
	if began.Verdict != want {
		t.Fatalf("verdict %d, want %d", began.Verdict, want)
	}
}

var heldAnswer = &idempotency.Answer{Status: 201, Header: map[string][]string{"A": {"b"}}, Body: []byte("held")}

func TestRetryAtAnotherDaemonJoinsTheFirstRun(t *testing.T) {
	network, store := newNetwork(), newPlatform()
	first := network.add(t, "d1", "d1", store)
	second := network.add(t, "d2", "d1", store)
	began := first.keys.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, began, idempotency.Granted)
	joined := make(chan Began)
	go func() { joined <- second.keys.Begin(context.Background(), newCall("k", "x")) }()
	reused := second.keys.Begin(context.Background(), newCall("k", "y"))
	expectVerdict(t, reused, idempotency.KeyReused)
	first.keys.Finish(&began, outcome.Ran, "", heldAnswer)
	earlier := <-joined
	expectVerdict(t, earlier, idempotency.AlreadyEnded)
	if earlier.End != outcome.Ran || string(earlier.Answer.Body) != "held" || earlier.Answer.Header["A"][0] != "b" {
		t.Errorf("got %+v", earlier)
	}
}

func TestRetryRunsWhenTheFirstAttemptDidNot(t *testing.T) {
	network, store := newNetwork(), newPlatform()
	first := network.add(t, "d1", "d1", store)
	second := network.add(t, "d2", "d1", store)
	began := first.keys.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, began, idempotency.Granted)
	first.keys.Finish(&began, outcome.NotRun, "", nil)
	began = second.keys.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, began, idempotency.Granted)
	second.keys.Finish(&began, outcome.Ran, "", nil)
}

// Two daemons that both believe that they own the range must not both grant.
func TestTwoOwnersGrantOnce(t *testing.T) {
	network, store := newNetwork(), newPlatform()
	daemons := []*daemon{network.add(t, "d1", "d1", store), network.add(t, "d2", "d2", store)}
	const keys = 40
	var granted atomic.Int64
	var calls sync.WaitGroup
	for i := range keys {
		for _, d := range daemons {
			calls.Go(func() {
				call := newCall(fmt.Sprintf("k%d", i), "x")
				call.Deadline = time.Now().Add(10 * time.Second)
				began := d.keys.Begin(context.Background(), call)
				if began.Verdict == idempotency.Granted {
					granted.Add(1)
					d.keys.Finish(&began, outcome.Ran, "", heldAnswer)
				}
			})
		}
	}
	calls.Wait()
	if granted.Load() != keys {
		t.Errorf("%d grants for %d keys", granted.Load(), keys)
	}
}

func TestPlatformDownRefusesAndFreesTheKey(t *testing.T) {
	network, store := newNetwork(), newPlatform()
	d := network.add(t, "d1", "d1", store)
	store.setDown(true)
	call := newCall("k", "x")
	call.Deadline = time.Now().Add(time.Second)
	expectVerdict(t, d.keys.Begin(context.Background(), call), 0)
	store.setDown(false)
	began := d.keys.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, began, idempotency.Granted)
	d.keys.Finish(&began, outcome.Ran, "", nil)
}

func TestLostAnswerOfTheWriteIsFoundOut(t *testing.T) {
	network, store := newNetwork(), newPlatform()
	d := network.add(t, "d1", "d1", store)
	store.loseAnswers = 1
	began := d.keys.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, began, idempotency.Granted)
	if store.writes != 1 {
		t.Errorf("%d writes", store.writes)
	}
	d.keys.Finish(&began, outcome.Ran, "", nil)
}

// The reply to a begin is lost: the call does not run, and its key stays free.
func TestLostGrantDoesNotBlockItsKey(t *testing.T) {
	network, store := newNetwork(), newPlatform()
	d := network.add(t, "d1", "d1", store)
	network.lose = func(_, _ ports.DaemonID, message ports.Message) bool {
		reply, ok := message.(*ports.IdempotencyReplyMessage)
		return ok && idempotency.Verdict(reply.Verdict) == idempotency.Granted
	}
	call := newCall("k", "x")
	call.Deadline = time.Now().Add(time.Second)
	expectVerdict(t, d.keys.Begin(context.Background(), call), 0)
	network.mu.Lock()
	network.lose = nil
	network.mu.Unlock()
	began := d.keys.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, began, idempotency.Granted)
	d.keys.Finish(&began, outcome.Ran, "", nil)
}

// The owner is lost after its grant: its successor knows the record.
func TestSuccessorKnowsTheRecord(t *testing.T) {
	network, store := newNetwork(), newPlatform()
	first := network.add(t, "d1", "d1", store)
	began := first.keys.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, began, idempotency.Granted)
	network.add(t, "d2", "d2", store)
	first.believe("d2")
	first.keys.Finish(&began, outcome.Ran, "", heldAnswer)
	expectVerdict(t, first.keys.Begin(context.Background(), newCall("k", "x")), idempotency.AlreadyEnded)
}

func TestWritesAreShared(t *testing.T) {
	network, store := newNetwork(), newPlatform()
	d := network.add(t, "d1", "d1", store)
	const count = 2000
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			began := d.keys.Begin(context.Background(), newCall(fmt.Sprintf("k%d", i), "x"))
			d.keys.Finish(&began, outcome.Ran, "", nil)
		})
	}
	calls.Wait()
	if store.writes > count/4 {
		t.Errorf("%d writes for %d calls", store.writes, count)
	}
}

// The owner does not answer, and is still taken for live.
func TestSilentOwnerIsReplacedByTheEntry(t *testing.T) {
	network, store := newNetwork(), newPlatform()
	d := network.add(t, "d1", "gone", store)
	began := d.keys.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, began, idempotency.Granted)
	d.keys.Finish(&began, outcome.Ran, "", heldAnswer)
	expectVerdict(t, d.keys.Begin(context.Background(), newCall("k", "x")), idempotency.AlreadyEnded)
}
