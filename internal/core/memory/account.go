package memory

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// reserveFraction is the fraction of the limit that is kept for small calls and for
	// workspaces that hold less than others.
	reserveFraction = 0.2
	// SmallCallBytes is the size up to which a call is small.
	SmallCallBytes = 64 << 10
)

// Kind is what held bytes are used for.
type Kind uint8

// The kinds of held bytes.
const (
	// KindConnection is for open connections and relays: buffers and stacks.
	KindConnection Kind = iota
	// KindReceiving is for requests whose bodies are being read.
	KindReceiving
	// KindCall is for calls that wait or run.
	KindCall
	// KindAnswer is for answers that wait until their callers have read them.
	KindAnswer
	// KindUnread is for bytes of refused requests in the kernel's buffers.
	KindUnread
	// KindHead is for heads of requests and answers, KindEvent for events of streams and
	// KindFrame for frames of other daemons, beyond the buffers of their connections.
	KindHead
	KindEvent
	KindFrame
	// KindList is for answers of the platform, and what is read from them.
	KindList
	// Kinds is the number of kinds.
	Kinds
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	names := [...]string{"connections", "receiving", "calls", "answers", "unread", "heads", "events", "frames", "lists"}
	if int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// ExhaustedError means that a request does not fit into the account.
type ExhaustedError struct {
	Needed, Free int64
	// RetryAfter is when there may be room.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExhaustedError) Error() string {
	return fmt.Sprintf("%d bytes are needed and %d are free", e.Needed, e.Free)
}

// EvictedError means that a request that was being received has lost its reservation to
// another workspace's.
type EvictedError struct{ RetryAfter time.Duration }

// Error implements error.
func (*EvictedError) Error() string {
	return "the request had to make room for another workspace's"
}

// Reservation is the part of an account that one call holds.
type Reservation struct {
	// Owner is not used by the account.
	Owner any

	workspace ports.WorkspaceID
	// bytes is held for the request, and answerBytes for its answer.
	bytes, answerBytes int64
	state              state
}

// Bytes returns what is held for the request and its answer.
func (r *Reservation) Bytes() int64 { return r.bytes + r.answerBytes }

type state uint8

const (
	stateReceiving state = iota
	stateReceived
	// stateEnded follows an eviction or a release.
	stateEnded
)

// Account is the memory that a daemon holds for callers. It is not safe for concurrent
// use.
type Account struct {
	limit, reserve int64
	held           int64
	heldByKind     [Kinds]int64
	workspaces     map[ports.WorkspaceID]*workspace
	messages       messages
	turnover       turnover
}

// workspace is what the calls of one workspace hold.
type workspace struct {
	held      int64
	calls     int
	receiving map[*Reservation]struct{}
}

// NewAccount returns an empty account. A limit of zero means none.
func NewAccount(limit int64) *Account {
	return &Account{
		limit: limit, reserve: int64(reserveFraction * float64(limit)),
		workspaces: make(map[ports.WorkspaceID]*workspace),
		messages:   messages{limit: int64(messageFraction * float64(limit)), sources: make(map[Source]*source)},
	}
}

// Held returns the bytes that are held for a kind.
func (a *Account) Held(kind Kind) int64 { return a.heldByKind[kind] }

// Free returns the bytes that are not held. They may be negative, since Hold has no limit.
func (a *Account) Free() int64 { return a.limit - a.held }

// HeldBy returns the bytes that the calls of a workspace hold.
func (a *Account) HeldBy(id ports.WorkspaceID) int64 {
	if w := a.workspaces[id]; w != nil {
		return w.held
	}
	return 0
}

// Hold changes the bytes of a kind that belong to no call and are limited elsewhere.
func (a *Account) Hold(kind Kind, delta int64) {
	a.held += delta
	a.heldByKind[kind] += delta
}

// Receiving returns the reservations of the requests that are being received, in any order.
func (a *Account) Receiving() []*Reservation {
	var receiving []*Reservation
	for _, w := range a.workspaces {
		receiving = slices.AppendSeq(receiving, maps.Keys(w.receiving))
	}
	return receiving
}

// Reserve decides on a request that is to be received. What was evicted to make room is
// no longer held. It fails with *ExhaustedError.
func (a *Account) Reserve(now time.Time, id ports.WorkspaceID, bytes int64) (r *Reservation, evicted []*Reservation, err error) {
	r = &Reservation{workspace: id}
	evicted, err = a.makeRoom(now, r, bytes)
	if err != nil {
		return nil, nil, err
	}
	w := a.workspaces[id]
	if w == nil {
		w = &workspace{receiving: make(map[*Reservation]struct{})}
		a.workspaces[id] = w
	}
	w.calls++
	w.receiving[r] = struct{}{}
	a.add(r, KindReceiving, bytes)
	return r, evicted, nil
}

// Grow reserves more for a request of unknown length that is being received. It fails
// with *ExhaustedError or *EvictedError.
func (a *Account) Grow(now time.Time, r *Reservation, bytes int64) (evicted []*Reservation, err error) {
	if r.state != stateReceiving {
		return nil, &EvictedError{RetryAfter: a.turnover.retryAfter(now, r.bytes+bytes)}
	}
	evicted, err = a.makeRoom(now, r, bytes)
	if err == nil {
		a.add(r, KindReceiving, bytes)
	}
	return evicted, err
}

// Shrink gives back a part of what a request that is being received holds.
func (a *Account) Shrink(r *Reservation, bytes int64) {
	if r.state == stateReceiving {
		a.add(r, KindReceiving, -min(bytes, r.bytes))
	}
}

// Received records that a request was received whole; it is not evicted from now on. It
// fails with *EvictedError if it was before.
func (a *Account) Received(now time.Time, r *Reservation) error {
	if r.state != stateReceiving {
		return &EvictedError{RetryAfter: a.turnover.retryAfter(now, r.bytes)}
	}
	r.state = stateReceived
	delete(a.workspaces[r.workspace].receiving, r)
	a.heldByKind[KindReceiving] -= r.bytes
	a.heldByKind[KindCall] += r.bytes
	return nil
}

// ReserveAnswer reserves memory for more of a call's answer and reports whether there is
// room. Nothing is evicted for it.
func (a *Account) ReserveAnswer(r *Reservation, bytes int64) bool {
	asked := request{
		reservation: r, bytes: r.answerBytes + bytes, after: a.HeldBy(r.workspace) + bytes,
		isSmall: r.answerBytes+bytes <= SmallCallBytes,
	}
	if r.state != stateReceived || !a.isUnlimited() && a.held+bytes > a.room(asked) {
		return false
	}
	r.answerBytes += bytes
	a.Hold(KindAnswer, bytes)
	a.workspaces[r.workspace].held += bytes
	return true
}

// ReleaseAnswer gives back a part of what a call holds for its answer.
func (a *Account) ReleaseAnswer(now time.Time, r *Reservation, bytes int64) {
	if r.state != stateReceived {
		return
	}
	bytes = min(bytes, r.answerBytes)
	a.turnover.recordReleased(now, bytes)
	a.Hold(KindAnswer, -bytes)
	a.workspaces[r.workspace].held -= bytes
	r.answerBytes -= bytes
}

// Release ends a reservation. It has no effect on one that has ended.
func (a *Account) Release(now time.Time, r *Reservation) {
	if r.state == stateEnded {
		return
	}
	a.turnover.recordReleased(now, r.Bytes())
	a.end(r)
}

func (a *Account) end(r *Reservation) {
	kind := KindReceiving
	if r.state == stateReceived {
		kind = KindCall
	}
	a.Hold(kind, -r.bytes)
	a.Hold(KindAnswer, -r.answerBytes)
	w := a.workspaces[r.workspace]
	w.held -= r.Bytes()
	w.calls--
	delete(w.receiving, r)
	if w.calls == 0 {
		delete(a.workspaces, r.workspace)
	}
	r.state = stateEnded
}

func (a *Account) add(r *Reservation, kind Kind, bytes int64) {
	a.Hold(kind, bytes)
	r.bytes += bytes
	a.workspaces[r.workspace].held += bytes
}

func (a *Account) isUnlimited() bool { return a.limit <= 0 }
