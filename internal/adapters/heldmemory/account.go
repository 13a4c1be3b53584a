// Package heldmemory shares the account of the memory that a daemon holds for others between
// the adapters that read what others send.
package heldmemory

import (
	"sync"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/settings"
)

const (
	// usableMemoryFraction is the fraction of the process's memory that is used at most,
	// programBytes what the program, its tables and garbage need of it, and
	// minHeldMemoryFraction what may be held for others at least.
	usableMemoryFraction  = 0.85
	programBytes          = 32 << 20
	minHeldMemoryFraction = 0.125
)

// Account is the account of the memory that is held for others. It is safe for concurrent use.
type Account struct {
	logger     *log.Logger
	logLimiter *logging.Limiter
	gauges     [memory.Kinds]tally.Gauge
	// messagesRefused counts the messages that were given up for want of memory.
	messagesRefused *metrics.CounterVec
	// limit is how much may be held; zero is no limit.
	limit int64

	mu      sync.Mutex
	account *memory.Account
}

// New returns an empty account with the limit that the settings give.
func New(s *settings.Settings, scope tally.Scope, logger *log.Logger) *Account {
	scope = scope.SubScope("callers")
	limit := maxHeldBytes(s.Limits.Memory.Bytes())
	a := &Account{
		logger: logger, logLimiter: logging.NewLimiter(logger),
		messagesRefused: metrics.NewCounterVec(scope, "messages_refused", "kind", "reason"),
		account:         memory.NewAccount(limit), limit: limit,
	}
	for kind := range memory.Kinds {
		a.gauges[kind] = scope.Tagged(map[string]string{"kind": kind.String()}).Gauge("held_bytes")
	}
	return a
}

// maxHeldBytes returns how much of a process's memory may be held for others. Zero means no
// limit.
func maxHeldBytes(processMemory int64) int64 {
	limit := float64(processMemory)
	return int64(max(usableMemoryFraction*limit-programBytes, minHeldMemoryFraction*limit))
}

// Limit returns how much may be held; zero is no limit.
func (a *Account) Limit() int64 {
	if a == nil {
		return 0
	}
	return a.limit
}

// HoldConnection counts the memory of a connection, or less of it.
func (a *Account) HoldConnection(bytes int64) {
	if a != nil {
		a.Update(func(account *memory.Account) { account.Hold(memory.KindConnection, bytes) }, memory.KindConnection)
	}
}

// Update calls use with the account, which no one else uses meanwhile, and then updates the
// metrics of the kinds.
func (a *Account) Update(use func(*memory.Account), kinds ...memory.Kind) {
	a.mu.Lock()
	defer a.mu.Unlock()
	use(a.account)
	for _, kind := range kinds {
		a.gauges[kind].Update(float64(a.account.Held(kind)))
	}
}
