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

func expectVerdict(t *testing.T, begin BeginResult, want idempotency.Verdict) {
	t.Helper()
	if begin.Verdict != want {
		t.Fatalf("got verdict %d, want %d", begin.Verdict, want)
	}
}

var storedAnswer = &idempotency.Answer{Status: 201, Header: map[string][]string{"A": {"b"}}, Body: []byte("held")}

func TestRetryAtAnotherDaemonWaitsForFirstAttempt(t *testing.T) {
	network, platform := newFakeNetwork(), newFakePlatform()
	first := network.addDaemon(t, "d1", "d1", platform)
	second := network.addDaemon(t, "d2", "d1", platform)
	begin := first.attempts.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, begin, idempotency.Granted)
	retries := make(chan BeginResult)
	go func() { retries <- second.attempts.Begin(context.Background(), newCall("k", "x")) }()
	reused := second.attempts.Begin(context.Background(), newCall("k", "y"))
	expectVerdict(t, reused, idempotency.KeyReused)
	first.attempts.Finish(&begin, outcome.Ran, "", storedAnswer)
	retry := <-retries
	expectVerdict(t, retry, idempotency.AlreadyEnded)
	if retry.End != outcome.Ran || string(retry.Answer.Body) != "held" || retry.Answer.Header["A"][0] != "b" {
		t.Errorf("got %+v, want the end and stored answer of the first attempt", retry)
	}
}

func TestRetryRunsAfterFirstAttemptDidNotRun(t *testing.T) {
	network, platform := newFakeNetwork(), newFakePlatform()
	first := network.addDaemon(t, "d1", "d1", platform)
	second := network.addDaemon(t, "d2", "d1", platform)
	begin := first.attempts.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, begin, idempotency.Granted)
	first.attempts.Finish(&begin, outcome.NotRun, "", nil)
	begin = second.attempts.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, begin, idempotency.Granted)
	second.attempts.Finish(&begin, outcome.Ran, "", nil)
}

// Two daemons that both act as owner of a range must not both grant a key.
func TestTwoOwnersGrantKeyOnce(t *testing.T) {
	network, platform := newFakeNetwork(), newFakePlatform()
	daemons := []*testDaemon{network.addDaemon(t, "d1", "d1", platform), network.addDaemon(t, "d2", "d2", platform)}
	const keys = 40
	var granted atomic.Int64
	var calls sync.WaitGroup
	for i := range keys {
		for _, d := range daemons {
			calls.Go(func() {
				call := newCall(fmt.Sprintf("k%d", i), "x")
				call.Deadline = time.Now().Add(10 * time.Second)
				begin := d.attempts.Begin(context.Background(), call)
				if begin.Verdict == idempotency.Granted {
					granted.Add(1)
					d.attempts.Finish(&begin, outcome.Ran, "", storedAnswer)
				}
			})
		}
	}
	calls.Wait()
	if granted.Load() != keys {
		t.Errorf("got %d grants for %d keys, want one for each key", granted.Load(), keys)
	}
}

func TestPlatformOutageRefusesBeginAndFreesKey(t *testing.T) {
	network, platform := newFakeNetwork(), newFakePlatform()
	d := network.addDaemon(t, "d1", "d1", platform)
	platform.setUnavailable(true)
	call := newCall("k", "x")
	call.Deadline = time.Now().Add(time.Second)
	expectVerdict(t, d.attempts.Begin(context.Background(), call), 0)
	platform.setUnavailable(false)
	begin := d.attempts.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, begin, idempotency.Granted)
	d.attempts.Finish(&begin, outcome.Ran, "", nil)
}

func TestWriteWithLostResponseIsRecognised(t *testing.T) {
	network, platform := newFakeNetwork(), newFakePlatform()
	d := network.addDaemon(t, "d1", "d1", platform)
	platform.responsesToLose = 1
	begin := d.attempts.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, begin, idempotency.Granted)
	if writes := platform.writes(); writes != 1 {
		t.Errorf("got %d writes, want 1", writes)
	}
	d.attempts.Finish(&begin, outcome.Ran, "", nil)
}

// If the reply to a begin is lost, the call must not run and its record must not
// block the key for later calls.
func TestLostGrantDoesNotBlockItsKey(t *testing.T) {
	network, platform := newFakeNetwork(), newFakePlatform()
	d := network.addDaemon(t, "d1", "d1", platform)
	network.shouldDrop = func(_, _ ports.DaemonID, message ports.Message) bool {
		reply, ok := message.(*ports.IdempotencyReplyMessage)
		return ok && idempotency.Verdict(reply.Verdict) == idempotency.Granted
	}
	call := newCall("k", "x")
	call.Deadline = time.Now().Add(time.Second)
	expectVerdict(t, d.attempts.Begin(context.Background(), call), 0)
	network.mu.Lock()
	network.shouldDrop = nil
	network.mu.Unlock()
	begin := d.attempts.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, begin, idempotency.Granted)
	d.attempts.Finish(&begin, outcome.Ran, "", nil)
}

// If the owner changes after a grant, the new owner must load the record that the
// previous one stored.
func TestNewOwnerLoadsRecordOfPreviousOwner(t *testing.T) {
	network, platform := newFakeNetwork(), newFakePlatform()
	first := network.addDaemon(t, "d1", "d1", platform)
	begin := first.attempts.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, begin, idempotency.Granted)
	network.addDaemon(t, "d2", "d2", platform)
	first.setKeyOwner("d2")
	first.attempts.Finish(&begin, outcome.Ran, "", storedAnswer)
	expectVerdict(t, first.attempts.Begin(context.Background(), newCall("k", "x")), idempotency.AlreadyEnded)
}

func TestOperationsShareWrites(t *testing.T) {
	network, platform := newFakeNetwork(), newFakePlatform()
	d := network.addDaemon(t, "d1", "d1", platform)
	const count = 2000
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() {
			begin := d.attempts.Begin(context.Background(), newCall(fmt.Sprintf("k%d", i), "x"))
			d.attempts.Finish(&begin, outcome.Ran, "", nil)
		})
	}
	calls.Wait()
	if writes := platform.writes(); writes > count/4 {
		t.Errorf("got %d writes for %d calls, want at most a quarter", writes, count)
	}
}

// An owner that doesn't reply may still be considered alive. The entry must then act
// as owner itself.
func TestEntryReplacesUnresponsiveOwner(t *testing.T) {
	network, platform := newFakeNetwork(), newFakePlatform()
	d := network.addDaemon(t, "d1", "gone", platform)
	begin := d.attempts.Begin(context.Background(), newCall("k", "x"))
	expectVerdict(t, begin, idempotency.Granted)
	d.attempts.Finish(&begin, outcome.Ran, "", storedAnswer)
	expectVerdict(t, d.attempts.Begin(context.Background(), newCall("k", "x")), idempotency.AlreadyEnded)
}
