package memory

import "math/bits"

// messageFraction is the fraction of the limit that messages may hold together.
const messageFraction = 0.25

const (
	// headCopies is how often the text of a head is in memory while it is parsed.
	headCopies = 2
	// bytesPerHeadLine is what the parsed form of a head needs for each line beside its text:
	// the slot of a map, which may be half empty, the slice of values, and their garbage.
	bytesPerHeadLine = 192
)

// HeadBytes returns the memory that a head needs: its text and its parsed form.
func HeadBytes(text, lines int64) int64 {
	return headCopies*text + lines*bytesPerHeadLine
}

// usualHeadBytes is what the heads of sound servers need at most: servers and proxies commonly
// limit heads to 8 KiB and 100 lines.
const usualHeadBytes = 36 << 10

// IsOversized reports whether a message of a kind that needs the given bytes is larger than those
// of sound senders, so that it may have no end.
func IsOversized(kind Kind, bytes int64) bool {
	if kind == KindHead {
		return bytes > usualHeadBytes
	}
	return bytes > SmallCallBytes
}

// Source is who sends messages: a backend server, another daemon or the address of a caller.
type Source string

// Message is what one incoming message holds beyond the buffers that every connection has: the
// head of a request or an answer, an event of a stream, a frame of a peer. It belongs to no
// call's reservation, since it may never become a whole message. A Message may be used for all
// messages of a connection in turn.
type Message struct {
	// Owner is not used by the account.
	Owner any

	kind   Kind
	source Source
	bytes  int64
	state  state
}

// NewMessage returns a message that is about to arrive and holds nothing yet.
func NewMessage(kind Kind, from Source) *Message {
	return &Message{kind: kind, source: from}
}

// Bytes returns what is held for the message.
func (m *Message) Bytes() int64 { return m.bytes }

// Source returns who sends the message.
func (m *Message) Source() Source { return m.source }

// messages are the messages of an account that hold bytes.
type messages struct {
	limit, held int64
	sources     map[Source]*source
}

// source is what the messages of one source hold.
type source struct {
	held int64
	// count is the number of messages that hold bytes, and arriving are those that may make
	// room, by the length of their size in bits.
	count    int
	arriving [bits.UintSize]map[*Message]struct{}
}

// sizeClass returns the index of a message of a size among those of its source.
func sizeClass(bytes int64) int { return bits.Len64(uint64(bytes)) }

func (s *source) add(m *Message) {
	class := &s.arriving[sizeClass(m.bytes)]
	if *class == nil {
		*class = make(map[*Message]struct{})
	}
	(*class)[m] = struct{}{}
}

func (s *source) remove(m *Message) {
	delete(s.arriving[sizeClass(m.bytes)], m)
}

// largest returns one of the largest messages that may make room, above a size class, or nil.
func (s *source) largest(above int) *Message {
	for class := len(s.arriving) - 1; class > above; class-- {
		for m := range s.arriving[class] {
			return m
		}
	}
	return nil
}

// HeldByMessages returns the bytes that messages hold.
func (a *Account) HeldByMessages() int64 { return a.messages.held }

// HeldBySource returns the bytes that the messages of a source hold.
func (a *Account) HeldBySource(from Source) int64 {
	if s := a.messages.sources[from]; s != nil {
		return s.held
	}
	return 0
}

// GrowMessage reserves more bytes for a message that is arriving. What was evicted to make
// room is no longer held, also if it was not enough. It fails with *ExhaustedError, or with
// *EvictedError if the message itself had to make room.
func (a *Account) GrowMessage(m *Message, bytes int64) (evicted []*Message, err error) {
	if m.state == stateEnded {
		return nil, &EvictedError{}
	}
	if evicted, err = a.makeMessageRoom(m, bytes); err != nil {
		return evicted, err
	}
	s := a.messages.sources[m.source]
	if s == nil {
		s = new(source)
		a.messages.sources[m.source] = s
	}
	if m.bytes == 0 {
		s.count++
	}
	a.changeMessage(m, s, bytes)
	return evicted, nil
}

// ShrinkMessage gives back a part of what a message holds, or all of it.
func (a *Account) ShrinkMessage(m *Message, bytes int64) {
	if bytes < m.bytes {
		a.changeMessage(m, a.messages.sources[m.source], -bytes)
		return
	}
	before := m.state
	a.ReleaseMessage(m)
	m.state = before
}

// MessageReceived records that a message has arrived whole; it is not evicted from now on. It
// fails with *EvictedError if it was before.
func (a *Account) MessageReceived(m *Message) error {
	if m.state == stateEnded {
		return &EvictedError{}
	}
	if m.bytes > 0 {
		a.messages.sources[m.source].remove(m)
	}
	m.state = stateReceived
	return nil
}

// ReleaseMessage gives back what a message holds. The next message of the connection may use
// it, unless it was evicted.
func (a *Account) ReleaseMessage(m *Message) {
	if m.bytes > 0 {
		s := a.messages.sources[m.source]
		a.changeMessage(m, s, -m.bytes)
		s.remove(m)
		if s.count--; s.count == 0 {
			delete(a.messages.sources, m.source)
		}
	}
	if m.state == stateReceived {
		m.state = stateReceiving
	}
}

func (a *Account) changeMessage(m *Message, s *source, bytes int64) {
	a.Hold(m.kind, bytes)
	a.messages.held += bytes
	s.held += bytes
	if m.state == stateReceiving {
		s.remove(m)
	}
	m.bytes += bytes
	if m.state == stateReceiving {
		s.add(m)
	}
}

// makeMessageRoom decides whether a message may hold more bytes, and evicts others for it.
func (a *Account) makeMessageRoom(m *Message, bytes int64) (evicted []*Message, err error) {
	if a.isUnlimited() {
		return nil, nil
	}
	for {
		missing := max(a.messages.held+bytes-a.messages.limit, a.held+bytes-(a.limit-a.reserve))
		if missing <= 0 {
			return evicted, nil
		}
		victim := a.messageToEvict(m, bytes)
		if victim == nil {
			return evicted, &ExhaustedError{Needed: bytes, Free: max(bytes-missing, 0), RetryAfter: minRetryAfter}
		}
		a.ReleaseMessage(victim)
		victim.state = stateEnded
		evicted = append(evicted, victim)
	}
}

// messageToEvict returns one of the largest messages of the source that holds most, if that is
// more than the source of m would, or a larger one than m would be of the same source. It returns
// nil if there is none.
func (a *Account) messageToEvict(m *Message, bytes int64) (victim *Message) {
	most := a.HeldBySource(m.source) + bytes
	if s := a.messages.sources[m.source]; s != nil {
		victim = s.largest(sizeClass(m.bytes + bytes))
	}
	for id, s := range a.messages.sources {
		if id == m.source || s.held <= most {
			continue
		}
		if largest := s.largest(0); largest != nil {
			victim, most = largest, s.held
		}
	}
	return victim
}
