package callerhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

const (
	// usableMemoryFraction is the fraction of the process's memory that is used at most,
	// programBytes what the program, its tables and garbage need of it, and
	// minHeldMemoryFraction what may be held for callers at least.
	usableMemoryFraction  = 0.85
	programBytes          = 32 << 20
	minHeldMemoryFraction = 0.125
	// bytesPerCall is what a call in progress needs besides its header and body:
	// goroutines, and the buffers toward the backend server.
	bytesPerCall = 16 << 10
)

// callerMemory is the account of the memory that is held for callers. It is safe for
// concurrent use.
type callerMemory struct {
	logger     *log.Logger
	logLimiter *logging.Limiter
	gauges     [memory.Kinds]tally.Gauge
	// answersNotHeld counts the answers that are relayed as they arrive for want of memory.
	answersNotHeld tally.Counter

	mu      sync.Mutex
	account *memory.Account
	// unread is what the kernel may hold for connections whose requests were refused.
	unread map[net.Conn]int64
}

func newCallerMemory(limits settings.Limits, scope tally.Scope, logger *log.Logger, logLimiter *logging.Limiter) *callerMemory {
	m := &callerMemory{
		logger: logger, logLimiter: logLimiter,
		account:        memory.NewAccount(maxHeldBytes(limits.Memory.Bytes())),
		unread:         make(map[net.Conn]int64),
		answersNotHeld: scope.Counter("answers_not_held"),
	}
	for kind := range memory.Kinds {
		m.gauges[kind] = scope.Tagged(map[string]string{"kind": kind.String()}).Gauge("held_bytes")
	}
	return m
}

// maxHeldBytes returns how much of a process's memory may be held for callers. Zero means
// no limit.
func maxHeldBytes(processMemory int64) int64 {
	limit := float64(processMemory)
	return int64(max(usableMemoryFraction*limit-programBytes, minHeldMemoryFraction*limit))
}

// updateGauges must be called with mu held.
func (m *callerMemory) updateGauges(kinds ...memory.Kind) {
	for _, kind := range kinds {
		m.gauges[kind].Update(float64(m.account.Held(kind)))
	}
}

// holdConnections records that the number of open connections has changed by delta.
func (m *callerMemory) holdConnections(delta int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Hold(memory.KindConnection, delta*bytesPerConnection)
	m.updateGauges(memory.KindConnection)
}

// holdUnread records that the kernel may hold bytes of a connection that nobody will
// read, until releaseUnread.
func (m *callerMemory) holdUnread(conn net.Conn, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.account.Hold(memory.KindUnread, bytes-m.unread[conn])
	m.unread[conn] = bytes
	m.updateGauges(memory.KindUnread)
}

// releaseUnread records that a connection was closed.
func (m *callerMemory) releaseUnread(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if bytes, found := m.unread[conn]; found {
		delete(m.unread, conn)
		m.account.Hold(memory.KindUnread, -bytes)
		m.updateGauges(memory.KindUnread)
	}
}

// heldMemory is what one request holds.
type heldMemory struct {
	memory      *callerMemory
	reservation *memory.Reservation
	workspace   ports.WorkspaceID
	// ctx is the context of the request, and interrupt ends the reading of its body.
	ctx       context.Context
	interrupt func()
	// isCut says that a stop has ended the reading of the body. It is guarded by the memory's
	// mutex.
	isCut bool
}

// reserve asks for memory for a request before its body is read. interrupt is called if
// the request must make room for another one.
func (m *callerMemory) reserve(
	ctx context.Context, workspace ports.WorkspaceID, bytes int64, interrupt func(),
) (*heldMemory, *outcome.Refusal) {
	h := &heldMemory{memory: m, workspace: workspace, ctx: ctx, interrupt: interrupt}
	m.mu.Lock()
	reservation, evicted, err := m.account.Reserve(time.Now(), workspace, bytes)
	if err == nil {
		reservation.Owner, h.reservation = h, reservation
	}
	m.updateGauges(memory.KindReceiving)
	m.mu.Unlock()
	m.interruptEvicted(evicted)
	return h, m.refusal(workspace, err)
}

// grow asks for more memory for a request of unknown length.
func (h *heldMemory) grow(bytes int64) *outcome.Refusal {
	m := h.memory
	m.mu.Lock()
	evicted, err := m.account.Grow(time.Now(), h.reservation, bytes)
	m.updateGauges(memory.KindReceiving)
	m.mu.Unlock()
	m.interruptEvicted(evicted)
	return m.refusal(h.workspace, err)
}

// shrink gives memory back that was reserved by grow.
func (h *heldMemory) shrink(bytes int64) {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.account.Shrink(h.reservation, bytes)
	h.memory.updateGauges(memory.KindReceiving)
}

// received records that the request was read whole. It returns a refusal if the request
// had to make room for another one.
func (h *heldMemory) received() *outcome.Refusal {
	m := h.memory
	m.mu.Lock()
	err := m.account.Received(time.Now(), h.reservation)
	m.updateGauges(memory.KindReceiving, memory.KindCall)
	m.mu.Unlock()
	return m.refusal(h.workspace, err)
}

// reserveAnswer reports whether more of the request's answer may be held. A nil h has no
// limit.
func (h *heldMemory) reserveAnswer(bytes int64) bool {
	if h == nil {
		return true
	}
	m := h.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	reserved := m.account.ReserveAnswer(h.reservation, bytes)
	m.updateGauges(memory.KindAnswer)
	if !reserved {
		m.answersNotHeld.Inc(1)
	}
	return reserved
}

// releaseAnswer gives back what reserveAnswer holds.
func (h *heldMemory) releaseAnswer(bytes int64) {
	if h == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.account.ReleaseAnswer(time.Now(), h.reservation, bytes)
	h.memory.updateGauges(memory.KindAnswer)
}

// release gives back what the request holds. A nil h holds nothing.
func (h *heldMemory) release() {
	if h == nil || h.reservation == nil {
		return
	}
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	h.memory.account.Release(time.Now(), h.reservation)
	h.memory.updateGauges(memory.KindReceiving, memory.KindCall, memory.KindAnswer)
}

// cutReceiving ends the reading of the bodies for whose requests shouldCut holds.
func (m *callerMemory) cutReceiving(shouldCut func(context.Context) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, reservation := range m.account.Receiving() {
		// A request that is still being received is interrupted before received returns.
		if h := reservation.Owner.(*heldMemory); !h.isCut && shouldCut(h.ctx) {
			h.isCut = true
			h.interrupt()
		}
	}
}

// wasCut reports whether a stop has ended the reading of the request's body.
func (h *heldMemory) wasCut() bool {
	h.memory.mu.Lock()
	defer h.memory.mu.Unlock()
	return h.isCut
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
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.logger.Warn().Str("event", "memory-refused").Str("reason", string(refusal.Reason)).
		Str("workspace", string(workspace)).Int64("workspaceBytes", m.account.HeldBy(workspace)).
		Int64("needed", needed).Int64("free", m.account.Free()).Dur("retryAfter", refusal.RetryAfter)
	for kind := range memory.Kinds {
		entry = entry.Int64(kind.String(), m.account.Held(kind))
	}
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
