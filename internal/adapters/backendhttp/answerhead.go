package backendhttp

import (
	"bytes"
	"fmt"
	"sync"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/core/memory"
)

// uncountedHeadBytes is the memory that a head may need without asking the account, which counts
// the buffers toward the server for each call.
const uncountedHeadBytes = 16 << 10

// answerHead limits the head of the answer that a connection is receiving, with the interim
// answers before it. It is counted as it arrives, before net/http parses it.
type answerHead struct {
	// newMessage returns the memory of the connection's heads; nil if it has no limit.
	newMessage func(kind memory.Kind, uncounted int64) *heldmemory.Message

	mu sync.Mutex
	// isArriving is true from the beginning of a request until its head is whole or given up.
	isArriving  bool
	text, lines int64
	end         headEnd
	// needed is what message has reserved; message is nil while no head has needed more than
	// uncountedHeadBytes.
	needed  int64
	message *heldmemory.Message
	// failure is why the head was given up.
	failure error
}

// begin prepares for the head of the next answer.
func (h *answerHead) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isArriving = true
	h.text, h.lines, h.needed, h.failure, h.end = 0, 0, 0, nil, headEnd{}
}

// receive counts a part that was read. If the head must be given up, it fails with
// *HeadTooLargeError or *heldmemory.MessageRefusedError.
func (h *answerHead) receive(part []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.isArriving {
		return nil
	}
	part, isWhole := h.end.cut(part)
	h.isArriving = !isWhole
	h.text += int64(len(part))
	h.lines += int64(bytes.Count(part, []byte{'\n'}))
	if h.text > maxAnswerHeaderBytes {
		h.failure = &HeadTooLargeError{Limit: maxAnswerHeaderBytes}
		return h.failure
	}
	needed := memory.HeadBytes(h.text, h.lines)
	if needed <= uncountedHeadBytes {
		return nil
	}
	if h.message == nil && h.newMessage != nil {
		h.message = h.newMessage(memory.KindHead, uncountedHeadBytes)
	}
	if err := h.message.Grow(needed - h.needed); err != nil {
		h.failure = err
		return err
	}
	h.needed = needed
	return nil
}

// finish records that the head is whole, or that no more of it will come. It fails with the
// reason if it was given up.
func (h *answerHead) finish() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isArriving = false
	if h.failure == nil && h.message != nil {
		h.failure = h.message.Received()
	}
	return h.failure
}

// release gives back the memory of the head.
func (h *answerHead) release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.isArriving = false
	h.message.Release()
}

// isOversized reports whether what has arrived of the head needs more memory than the heads of
// sound servers.
func (h *answerHead) isOversized() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return memory.IsOversized(memory.KindHead, memory.HeadBytes(h.text, h.lines))
}

// statusSeparator is what separates the version of a status line from the status.
const statusSeparator = ' '

// headEnd finds the end of a final head, after any number of interim ones.
type headEnd struct {
	// start is the beginning of the status line, up to the first digit of the status.
	start      [len("HTTP/1.1 1")]byte
	startBytes int
	// lineBytes is the length of the current line so far.
	lineBytes int
}

// cut returns the bytes of a part that belong to heads, and whether the final one ends with them.
func (e *headEnd) cut(part []byte) (heads []byte, isWhole bool) {
	for i, b := range part {
		// net/http skips further separators before the status.
		isSkipped := b == statusSeparator && e.startBytes == len(e.start)-1
		if e.startBytes < len(e.start) && !isSkipped {
			e.start[e.startBytes] = b
			e.startBytes++
		}
		switch {
		case b == '\r':
		case b != '\n':
			e.lineBytes++
		case e.lineBytes > 0:
			e.lineBytes = 0
		case e.start[len(e.start)-1] == '1':
			*e = headEnd{}
		default:
			return part[:i+1], true
		}
	}
	return part, false
}

// HeadTooLargeError reports that the head of an answer, or the interim answers before it, are
// larger than any head may be.
type HeadTooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

// Error implements error.
func (e *HeadTooLargeError) Error() string {
	return fmt.Sprintf("the head of the answer has more than %d bytes", e.Limit)
}
