package memory

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

const mebibyte = 1 << 20

var start = time.Unix(1000, 0)

// load replays callers of several workspaces against an account.
type load struct {
	t       *testing.T
	account *Account
	now     time.Time
	random  *rand.Rand
	open    []*openCall
	// asked and refused count requests by workspace, evicted those that made room.
	asked, refused, evicted map[ports.WorkspaceID]int
	peak                    int64
}

type openCall struct {
	reservation *Reservation
	workspace   ports.WorkspaceID
	// received and ended are when the body has arrived and the caller has read the answer.
	received, ended time.Time
	isReceived      bool
}

func newLoad(t *testing.T, limit int64) *load {
	return &load{
		t: t, account: NewAccount(limit), now: start, random: rand.New(rand.NewPCG(1, 2)),
		asked: map[ports.WorkspaceID]int{}, refused: map[ports.WorkspaceID]int{}, evicted: map[ports.WorkspaceID]int{},
	}
}

func (l *load) request(id ports.WorkspaceID, bytes int64, receiving, running time.Duration) bool {
	l.asked[id]++
	r, evicted, err := l.account.Reserve(l.now, id, bytes)
	for _, victim := range evicted {
		l.evicted[victim.workspace]++
	}
	if err != nil {
		var exhausted *ExhaustedError
		if !errors.As(err, &exhausted) || exhausted.RetryAfter < minRetryAfter || exhausted.RetryAfter > maxRetryAfter {
			l.t.Fatalf("unexpected error %v", err)
		}
		l.refused[id]++
		return false
	}
	received := l.now.Add(receiving)
	l.open = append(l.open, &openCall{reservation: r, workspace: id, received: received, ended: received.Add(running)})
	return true
}

// step lets time pass, in which bodies arrive and calls end.
func (l *load) step(duration time.Duration) {
	l.now = l.now.Add(duration)
	remaining := l.open[:0]
	for _, call := range l.open {
		if !call.isReceived && !l.now.Before(call.received) {
			call.isReceived = true
			if l.account.Received(l.now, call.reservation) != nil {
				continue
			}
		}
		if !l.now.Before(call.ended) {
			l.account.Release(l.now, call.reservation)
			continue
		}
		remaining = append(remaining, call)
	}
	l.open = remaining
	l.peak = max(l.peak, l.account.held)
}

// holds returns the calls in progress of a workspace.
func (l *load) holds(id ports.WorkspaceID) (count int) {
	for _, call := range l.open {
		if call.workspace == id && call.reservation.state != stateEnded {
			count++
		}
	}
	return count
}

// replay lets a hot workspace keep its consumers busy with large bodies, while three other
// workspaces make small calls, and one now and then a large one.
func (l *load) replay(consumers int, duration time.Duration) {
	for end := l.now.Add(duration); l.now.Before(end); l.step(10 * time.Millisecond) {
		for l.holds("hot") < consumers && l.random.IntN(4) > 0 {
			bytes := int64(4<<10) << l.random.IntN(11)
			// Slow writers take up to 10 s, slow readers up to 5 s.
			receiving := time.Duration(l.random.IntN(2500)) * time.Millisecond
			if l.random.IntN(10) == 0 {
				receiving *= 4
			}
			if !l.request("hot", bytes, receiving, time.Duration(l.random.IntN(5000))*time.Millisecond) {
				break
			}
		}
		for i := range 3 {
			id := ports.WorkspaceID(fmt.Sprint("calm-", i))
			l.request(id, 4<<10+l.random.Int64N(16<<10), 10*time.Millisecond, 300*time.Millisecond)
		}
		if l.random.IntN(100) == 0 {
			l.request("calm-0", 4*mebibyte, time.Second, time.Second)
		}
	}
}

// The bodies of a workspace with 7.5 times its usual callers were all held at once, and
// the daemon exceeded its memory.
func TestLargeBodiesOfAHotWorkspaceStayWithinTheLimit(t *testing.T) {
	const limit = 80 * mebibyte
	for _, consumers := range []int{8, 12, 60, 600} {
		l := newLoad(t, limit)
		l.replay(consumers, 30*time.Second)
		t.Logf("%d consumers: asked %v, refused %v, evicted %v, peak %d", consumers, l.asked, l.refused, l.evicted, l.peak)
		if l.peak > limit {
			t.Errorf("%d consumers: %d bytes were held, the limit is %d", consumers, l.peak, limit)
		}
		for i := range 3 {
			id := ports.WorkspaceID(fmt.Sprint("calm-", i))
			if l.refused[id]+l.evicted[id] > 0 {
				t.Errorf("%d consumers: %d of %d calls of %s were refused, %d evicted",
					consumers, l.refused[id], l.asked[id], id, l.evicted[id])
			}
		}
		if consumers <= 12 && l.refused["hot"]+l.evicted["hot"] > 0 {
			t.Errorf("%d consumers: %d refused and %d evicted with room for all", consumers, l.refused["hot"], l.evicted["hot"])
		}
		if consumers >= 60 && l.peak < limit*6/10 {
			t.Errorf("%d consumers: only %d of %d bytes were used", consumers, l.peak, limit)
		}
		for len(l.open) > 0 {
			l.step(time.Second)
		}
		if l.account.held != 0 || len(l.account.workspaces) != 0 || l.account.heldByKind != [Kinds]int64{} {
			t.Errorf("after the end %d bytes are held, %v", l.account.held, l.account.heldByKind)
		}
	}
}

// A workspace that filled the account before others came kept them out until its calls
// had ended.
func TestRequestTakesThePlaceOfTheLargestOfTheWorkspaceThatHoldsMost(t *testing.T) {
	a := NewAccount(10 * mebibyte)
	largest, _, err := a.Reserve(start, "hot", 4*mebibyte)
	if err != nil {
		t.Fatal(err)
	}
	smaller, _, err := a.Reserve(start, "hot", 3*mebibyte)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := a.Reserve(start, "calm", mebibyte); err != nil {
		t.Fatal(err)
	}
	if _, evicted, err := a.Reserve(start, "hot", 3*mebibyte); err == nil || evicted != nil {
		t.Errorf("the workspace that holds most got more, in place of %v", evicted)
	}
	// The call that was received is kept, though it is larger.
	if err := a.Received(start, largest); err != nil {
		t.Fatal(err)
	}
	_, evicted, err := a.Reserve(start, "third", 3*mebibyte)
	if err != nil || len(evicted) != 1 || evicted[0] != smaller {
		t.Errorf("got %v, %v", evicted, err)
	}
	var lost *EvictedError
	if err := a.Received(start, smaller); !errors.As(err, &lost) {
		t.Errorf("the evicted request was received: %v", err)
	}
	if _, err := a.Grow(start, smaller, 1); !errors.As(err, &lost) {
		t.Errorf("the evicted request grew: %v", err)
	}
	held := a.held
	if a.Release(start, smaller); a.held != held {
		t.Error("the evicted request was released twice")
	}
}

// A body of unknown length is limited like one of known length.
func TestBodyOfUnknownLengthGrowsWithinTheLimit(t *testing.T) {
	a := NewAccount(mebibyte)
	r, _, err := a.Reserve(start, "hot", 0)
	if err != nil {
		t.Fatal(err)
	}
	var exhausted *ExhaustedError
	for size := int64(4 << 10); err == nil; size *= 2 {
		_, err = a.Grow(start, r, size)
	}
	if !errors.As(err, &exhausted) || a.held > mebibyte || a.held < mebibyte/4 {
		t.Errorf("got %v with %d bytes held", err, a.held)
	}
	if a.Release(start, r); a.held != 0 {
		t.Errorf("%d bytes are held", a.held)
	}
}

// An account without a limit refuses nothing.
func TestAccountWithoutLimitRefusesNothing(t *testing.T) {
	l := newLoad(t, 0)
	l.replay(600, 5*time.Second)
	if len(l.refused)+len(l.evicted) > 0 || l.peak == 0 {
		t.Errorf("refused %v, evicted %v, peak %d", l.refused, l.evicted, l.peak)
	}
}

// Answers that callers leave unread fill the account but for the reserve, from which small
// answers are still held.
func TestUnreadAnswersLeaveTheReserveToOthers(t *testing.T) {
	a := NewAccount(100 * mebibyte)
	held := 0
	for range 60 {
		r, _, err := a.Reserve(start, "hot", 32<<10)
		if err != nil {
			t.Fatal(err)
		}
		if a.ReserveAnswer(r, mebibyte) {
			t.Error("an answer was held before its request was received")
		}
		if err := a.Received(start, r); err != nil {
			t.Fatal(err)
		}
		if a.ReserveAnswer(r, 3*mebibyte) {
			held++
		}
	}
	if a.Free() < a.reserve || held < 20 {
		t.Errorf("%d answers are held and %d bytes free", held, a.Free())
	}
	calm, _, err := a.Reserve(start, "calm", 32<<10)
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Received(start, calm); err != nil {
		t.Fatal(err)
	}
	if !a.ReserveAnswer(calm, 3*mebibyte) {
		t.Error("the answer of a workspace that holds less was not held")
	}
	a.ReleaseAnswer(start, calm, 3*mebibyte)
	if got := a.HeldBy("calm"); got != 32<<10 {
		t.Errorf("%d bytes are held after the answer was given back", got)
	}
}
