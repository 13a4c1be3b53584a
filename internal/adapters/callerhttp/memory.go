package callerhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// bytesPerCall is what a call in progress needs besides its header and body: goroutines, and the
// buffers toward the backend server.
const bytesPerCall = 16 << 10

// callerMemory accounts for the memory that is held for callers. It is safe for concurrent use.
type callerMemory struct {
	logger     *log.Logger
	logLimiter *logging.Limiter
	// answersNotHeld counts the answers that are relayed as they arrive for want of memory.
	answersNotHeld tally.Counter
	account        *heldmemory.Account
	// unread is what the kernel may hold for connections whose requests were refused. It is
	// used in updates of the account only.
	unread map[net.Conn]int64
}

func newCallerMemory(account *heldmemory.Account, scope tally.Scope, logger *log.Logger, logLimiter *logging.Limiter) *callerMemory {
	return &callerMemory{
		logger: logger, logLimiter: logLimiter, account: account,
		unread:         make(map[net.Conn]int64),
		answersNotHeld: scope.Counter("answers_not_held"),
	}
}

// holdConnections records that the number of open connections has changed by delta.
func (m *callerMemory) holdConnections(delta int64) {
	m.account.Update(func(a *memory.Account) { a.Hold(memory.KindConnection, delta*bytesPerConnection) }, memory.KindConnection)
}

// holdUnread records that the kernel may hold bytes of a connection that nobody will
// read, until releaseUnread.
func (m *callerMemory) holdUnread(conn net.Conn, bytes int64) {
	m.account.Update(func(a *memory.Account) {
		a.Hold(memory.KindUnread, bytes-m.unread[conn])
		m.unread[conn] = bytes
	}, memory.KindUnread)
}

// releaseUnread records that a connection was closed.
func (m *callerMemory) releaseUnread(conn net.Conn) {
	m.account.Update(func(a *memory.Account) {
		if bytes, found := m.unread[conn]; found {
			delete(m.unread, conn)
			a.Hold(memory.KindUnread, -bytes)
		}
	}, memory.KindUnread)
}

// heldMemory is what one request holds.
type heldMemory struct {
	memory      *callerMemory
	reservation *memory.Reservation
	workspace   ports.WorkspaceID
	// ctx is the context of the request, and interrupt ends the reading of its body.
	ctx       context.Context
	interrupt func()
	// isCut says that a stop has ended the reading of the body. It is used in updates of the
	// account only.
	isCut bool
}

// reserve asks for memory for a request before its body is read. interrupt is called if
// the request must make room for another one.
func (m *callerMemory) reserve(
	ctx context.Context, workspace ports.WorkspaceID, bytes int64, interrupt func(),
) (*heldMemory, *outcome.Refusal) {
	h := &heldMemory{memory: m, workspace: workspace, ctx: ctx, interrupt: interrupt}
	var (
		evicted []*memory.Reservation
		err     error
	)
	m.account.Update(func(a *memory.Account) {
		var reservation *memory.Reservation
		if reservation, evicted, err = a.Reserve(time.Now(), workspace, bytes); err == nil {
			reservation.Owner, h.reservation = h, reservation
		}
	}, memory.KindReceiving)
	m.interruptEvicted(evicted)
	return h, m.refusal(workspace, err)
}

// grow asks for more memory for a request of unknown length.
func (h *heldMemory) grow(bytes int64) *outcome.Refusal {
	var (
		m       = h.memory
		evicted []*memory.Reservation
		err     error
	)
	m.account.Update(func(a *memory.Account) { evicted, err = a.Grow(time.Now(), h.reservation, bytes) }, memory.KindReceiving)
	m.interruptEvicted(evicted)
	return m.refusal(h.workspace, err)
}

// shrink gives memory back that was reserved by grow.
func (h *heldMemory) shrink(bytes int64) {
	h.memory.account.Update(func(a *memory.Account) { a.Shrink(h.reservation, bytes) }, memory.KindReceiving)
}

// received records that the request was read whole. It returns a refusal if the request
// had to make room for another one.
func (h *heldMemory) received() *outcome.Refusal {
	var err error
	h.memory.account.Update(func(a *memory.Account) {
		err = a.Received(time.Now(), h.reservation)
	}, memory.KindReceiving, memory.KindCall)
	return h.memory.refusal(h.workspace, err)
}

// reserveAnswer reports whether more of the request's answer may be held. A nil h has no
// limit.
func (h *heldMemory) reserveAnswer(bytes int64) bool {
	if h == nil {
		return true
	}
	var reserved bool
	h.memory.account.Update(func(a *memory.Account) { reserved = a.ReserveAnswer(h.reservation, bytes) }, memory.KindAnswer)
	if !reserved {
		h.memory.answersNotHeld.Inc(1)
	}
	return reserved
}

// releaseAnswer gives back what reserveAnswer holds.
func (h *heldMemory) releaseAnswer(bytes int64) {
	if h == nil {
		return
	}
	h.memory.account.Update(func(a *memory.Account) { a.ReleaseAnswer(time.Now(), h.reservation, bytes) }, memory.KindAnswer)
}

// release gives back what the request holds. A nil h holds nothing.
func (h *heldMemory) release() {
	if h == nil || h.reservation == nil {
		return
	}
	h.memory.account.Update(func(a *memory.Account) {
		a.Release(time.Now(), h.reservation)
	}, memory.KindReceiving, memory.KindCall, memory.KindAnswer)
}

// cutReceiving ends the reading of the bodies for whose requests shouldCut holds.
func (m *callerMemory) cutReceiving(shouldCut func(context.Context) bool) {
	m.account.Update(func(a *memory.Account) {
		for _, reservation := range a.Receiving() {
			// A request that is still being received is interrupted before received returns.
			if h := reservation.Owner.(*heldMemory); !h.isCut && shouldCut(h.ctx) {
				h.isCut = true
				h.interrupt()
			}
		}
	})
}

// wasCut reports whether a stop has ended the reading of the request's body.
func (h *heldMemory) wasCut() (isCut bool) {
	h.memory.account.Update(func(*memory.Account) { isCut = h.isCut })
	return isCut
}

func (m *callerMemory) interruptEvicted(evicted []*memory.Reservation) {
	for _, reservation := range evicted {
		reservation.Owner.(*heldMemory).interrupt()
	}
}

// refusal returns the refusal for an error of the account, and logs it.
func (m *callerMemory) refusal(workspace ports.WorkspaceID, err error) *outcome.Refusal {
	var (
		exhausted *memory.ExhaustedError
		evicted   *memory.EvictedError
		refusal   *outcome.Refusal
		needed    int64
	)
	switch {
	case errors.As(err, &exhausted):
		refusal = notRunRefusal(outcome.ReasonMemoryExhausted, "this daemon has no memory free for the request")
		refusal.RetryAfter, needed = exhausted.RetryAfter, exhausted.Needed
	case errors.As(err, &evicted):
		refusal = notRunRefusal(outcome.ReasonMemoryReclaimed, "the request had to make room for another workspace's")
		refusal.RetryAfter = evicted.RetryAfter
	default:
		return nil
	}
	if m.logLimiter.Allow("memory-refused", string(refusal.Reason)) {
		m.logRefused(workspace, refusal, needed)
	}
	return refusal
}

func (m *callerMemory) logRefused(workspace ports.WorkspaceID, refusal *outcome.Refusal, needed int64) {
	entry := m.logger.Warn().Str("event", "memory-refused").Str("reason", string(refusal.Reason)).
		Str("workspace", string(workspace)).Int64("needed", needed).Dur("retryAfter", refusal.RetryAfter)
	m.account.Update(func(a *memory.Account) {
		entry = entry.Int64("workspaceBytes", a.HeldBy(workspace)).Int64("free", a.Free())
		for kind := range memory.Kinds {
			entry = entry.Int64(kind.String(), a.Held(kind))
		}
	})
	entry.Msg("")
}

// refuseUnread prepares the answer to a request whose body is not read any further: the
// connection is closed after it, and bytes in the kernel's buffers are counted until then.
func (s *Server) refuseUnread(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Connection", "close")
	remaining := int64(receiveWindow)
	if r.ContentLength >= 0 {
		remaining = min(remaining, r.ContentLength)
	}
	if conn := connFromContext(r.Context()); conn != nil {
		s.memory.holdUnread(conn, remaining)
	}
	// After an answer net/http reads on for a while if little is missing. An error means
	// that the connection is closed already.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadLinger))
}
