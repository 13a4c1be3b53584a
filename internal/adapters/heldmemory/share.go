package heldmemory

import (
	"io"
	"sync"

	"hawthornstream/internal/core/memory"
)

// firstBufferBytes is the size of the first buffer of ReadAll.
const firstBufferBytes = 16 << 10

// Share is a part of the memory that one source may use, however much others hold: what it
// sends is needed to serve any call. It counts for the account.
type Share struct {
	account *Account
	kind    memory.Kind
	source  memory.Source
	limit   int64

	mu   sync.Mutex
	held int64
}

// NewShare returns a share of a fraction of the account's limit, and of maxBytes at most.
func (a *Account) NewShare(kind memory.Kind, from memory.Source, fraction float64, maxBytes int64) *Share {
	s := &Share{account: a, kind: kind, source: from, limit: maxBytes}
	if a.limit > 0 {
		s.limit = min(maxBytes, int64(fraction*float64(a.limit)))
	}
	return s
}

// Limit returns what the source may use.
func (s *Share) Limit() int64 { return s.limit }

// NewPart returns a part of the share that holds nothing yet.
func (s *Share) NewPart() *Part { return &Part{share: s} }

// change holds more bytes, or less. It returns false if the limit doesn't allow it.
func (s *Share) change(bytes int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bytes > 0 && s.held+bytes > s.limit {
		return false
	}
	s.held += bytes
	s.account.Update(func(a *memory.Account) { a.Hold(s.kind, bytes) }, s.kind)
	return true
}

// Part is what one reader holds of a share. It is for one goroutine.
type Part struct {
	share *Share
	bytes int64
}

// Grow holds more bytes before they are used. It fails with *MessageRefusedError.
func (p *Part) Grow(bytes int64) error {
	if !p.share.change(bytes) {
		refused := &MessageRefusedError{Kind: p.share.kind, Source: p.share.source, Bytes: p.bytes + bytes}
		p.share.account.report(refused)
		return refused
	}
	p.bytes += bytes
	return nil
}

// Bytes returns what is held.
func (p *Part) Bytes() int64 { return p.bytes }

// ShrinkTo gives back what exceeds the given bytes.
func (p *Part) ShrinkTo(bytes int64) {
	if less := p.bytes - bytes; less > 0 {
		p.share.change(-less)
		p.bytes -= less
	}
}

// Release gives back all.
func (p *Part) Release() { p.ShrinkTo(0) }

// ReadAll returns all that the reader has, which p holds from now on. It fails with
// *MessageRefusedError if that is too much for the share.
func (p *Part) ReadAll(reader io.Reader) ([]byte, error) {
	if err := p.Grow(firstBufferBytes); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, firstBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			larger := 2 * cap(buffer)
			if err := p.Grow(int64(larger)); err != nil {
				return nil, err
			}
			smaller := cap(buffer)
			buffer = append(make([]byte, 0, larger), buffer...)
			p.ShrinkTo(p.bytes - int64(smaller))
		}
		n, err := reader.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err == io.EOF {
			return buffer, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
