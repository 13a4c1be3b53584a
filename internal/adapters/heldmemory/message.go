package heldmemory

import (
	"errors"
	"fmt"

	"hawthornstream/internal/core/memory"
)

// Reasons for which a message is given up, as counted.
const (
	reasonExhausted = "exhausted"
	reasonEvicted   = "evicted"
)

// Message is the memory that the message which a connection is receiving holds. It is for one
// goroutine, but for the call of its interrupt function. A nil Message has no limit.
type Message struct {
	account *Account
	kind    memory.Kind
	// uncounted is what the message may hold without asking, since each connection or call
	// counts for it already.
	uncounted int64
	// needed is what the message holds. The account has reserved what exceeds uncounted.
	needed, reserved int64
	message          *memory.Message
}

// MessageRefusedError means that there is no memory for a message, or that it had to make room
// for another one.
type MessageRefusedError struct {
	Kind   memory.Kind
	Source memory.Source
	// Bytes is what the message needed.
	Bytes   int64
	Evicted bool
}

// Error implements error.
func (e *MessageRefusedError) Error() string {
	if e.Evicted {
		return fmt.Sprintf("%s of %s had to make room after %d bytes", e.Kind, e.Source, e.Bytes)
	}
	return fmt.Sprintf("no memory for %d bytes of %s of %s", e.Bytes, e.Kind, e.Source)
}

// NewMessage returns the memory of the messages that a connection brings one after the other,
// each of which may hold uncounted bytes without asking. interrupt must end the reading of the
// connection; it is called on another goroutine when a message must make room.
func (a *Account) NewMessage(kind memory.Kind, from memory.Source, uncounted int64, interrupt func()) *Message {
	if a == nil {
		return nil
	}
	m := &Message{account: a, kind: kind, uncounted: uncounted, message: memory.NewMessage(kind, from)}
	m.message.Owner = interrupt
	return m
}

// Grow reserves more bytes before they are used. It fails with *MessageRefusedError; the
// message must then be given up.
func (m *Message) Grow(bytes int64) error {
	if m == nil {
		return nil
	}
	m.needed += bytes
	more := m.needed - m.uncounted - m.reserved
	if more <= 0 {
		return nil
	}
	var (
		evicted []*memory.Message
		err     error
	)
	m.account.Update(func(a *memory.Account) { evicted, err = a.GrowMessage(m.message, more) }, m.kind)
	for _, other := range evicted {
		other.Owner.(func())()
	}
	if err != nil {
		return m.refusal(err)
	}
	m.reserved += more
	return nil
}

// Shrink gives back bytes that Grow has reserved.
func (m *Message) Shrink(bytes int64) {
	if m == nil {
		return
	}
	m.needed -= bytes
	if less := m.reserved - max(m.needed-m.uncounted, 0); less > 0 {
		m.reserved -= less
		m.account.Update(func(a *memory.Account) { a.ShrinkMessage(m.message, less) }, m.kind)
	}
}

// Received records that the message has arrived whole, so that it need not make room any more.
// It fails with *MessageRefusedError if it had to before.
func (m *Message) Received() error {
	if m == nil || m.reserved == 0 {
		return nil
	}
	var err error
	m.account.Update(func(a *memory.Account) { err = a.MessageReceived(m.message) })
	return m.refusal(err)
}

// Release gives back what the message holds. The next message of the connection begins.
func (m *Message) Release() {
	if m == nil {
		return
	}
	if m.reserved > 0 {
		m.account.Update(func(a *memory.Account) { a.ReleaseMessage(m.message) }, m.kind)
	}
	m.needed, m.reserved = 0, 0
}

// refusal returns the error for one of the account, and counts and logs it.
func (m *Message) refusal(err error) error {
	if err == nil {
		return nil
	}
	var evicted *memory.EvictedError
	refused := &MessageRefusedError{Kind: m.kind, Source: m.message.Source(), Bytes: m.needed, Evicted: errors.As(err, &evicted)}
	m.account.report(refused)
	return refused
}

// report counts and logs a message that is given up.
func (a *Account) report(refused *MessageRefusedError) {
	reason := reasonExhausted
	if refused.Evicted {
		reason = reasonEvicted
	}
	a.messagesRefused.Inc(refused.Kind.String(), reason)
	if !a.logLimiter.Allow("message-refused", reason) {
		return
	}
	var held, heldBySource int64
	a.Update(func(account *memory.Account) {
		held, heldBySource = account.HeldByMessages(), account.HeldBySource(refused.Source)
	})
	a.logger.Warn().Str("event", "message-refused").Str("kind", refused.Kind.String()).Str("source", string(refused.Source)).
		Str("reason", reason).Int64("bytes", refused.Bytes).Int64("sourceBytes", heldBySource).Int64("held", held).Msg("")
}
