// Package sse splits a stream of server-sent events into complete events. It is
// used by the adapters of model engines.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// maxEventBytes limits the size of one server-sent event, with the comments and empty
// lines before it.
const maxEventBytes = 1 << 20

const (
	// minBufferBytes is the size of the first buffer of an event.
	minBufferBytes = 512
	// usualBufferBytes is the size up to which a buffer is kept for the next event, and is
	// part of what each call holds. Larger ones are reserved.
	usualBufferBytes = 8 << 10
	// maxUsualEventBytes is far above the size of the events that model engines send.
	maxUsualEventBytes = 12 << 10
)

// DoneData is the data of the last event of a complete stream.
const DoneData = "[DONE]"

// Event is one server-sent event.
type Event struct {
	// ID is zero when the event has none.
	ID int
	// HasID reports whether the event has an ID. The first one may be zero.
	HasID bool
	// Done reports whether the event ends a complete stream: its data is
	// "[DONE]".
	Done bool
	// Raw is the event as received, including the blank line at its end, and what
	// came before it without data, such as comments. It is valid until the next event
	// is read.
	Raw []byte
}

// Memory is the memory that the event which is being read holds beyond a usual one.
type Memory interface {
	// Grow reserves bytes before they are used, and Shrink gives a part of them back.
	Grow(bytes int64) error
	Shrink(bytes int64)
	// Received records that the event is whole. It fails if the event had to make room for
	// another one before.
	Received() error
	// Release gives back what the event holds.
	Release()
}

// Reader splits a stream into events. It is not safe for concurrent use, and must be closed.
type Reader struct {
	input  *bufio.Reader
	memory Memory
	// raw is the event that is being read.
	raw []byte
}

// NewReader returns a reader of the events in the stream r. A large event is reserved in
// memory. If it must make room there, r must fail.
func NewReader(r io.Reader, memory Memory) *Reader {
	return &Reader{input: bufio.NewReader(r), memory: memory}
}

// Close gives back the memory of the last event.
func (r *Reader) Close() {
	if r.isReserved() {
		r.memory.Release()
		r.raw = nil
	}
}

// Next returns the next event that has data. It fails with io.EOF at the end of
// the stream, with *TruncatedEventError when the stream ends inside an event,
// with *InvalidEventError when an event can't be parsed, with *NoMemoryError when there is no
// memory for an event, or with the error of the underlying reader. Bytes without an event, such as comments, are limited like an
// event.
func (r *Reader) Next() (Event, error) {
	r.Close()
	r.raw = r.raw[:0]
	event, err := r.read()
	if !r.isReserved() {
		return event, err
	}
	if refused := r.memory.Received(); refused != nil {
		// The failed read is a consequence.
		return Event{}, r.noMemory(refused)
	}
	return event, err
}

// read reads the next event into raw.
func (r *Reader) read() (Event, error) {
	var event Event
	hasData := false
	// blockStart is where the lines since the last blank one begin.
	blockStart := 0
	for {
		line, err := r.input.ReadSlice('\n')
		if failure := r.append(line); failure != nil {
			return Event{}, failure
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(r.raw[blockStart:])) > 0 {
			return Event{}, &TruncatedEventError{}
		}
		if err != nil {
			return Event{}, err
		}
		line = lastLine(r.raw)
		if len(line) == 0 {
			blockStart = len(r.raw)
			if !hasData {
				continue
			}
			event.Raw = r.raw
			return event, nil
		}
		isData, ok := event.parseField(line)
		if !ok {
			return Event{}, &InvalidEventError{Cause: "event ID is not a number from 0 on"}
		}
		hasData = hasData || isData
	}
}

// append adds a part of the event to raw.
func (r *Reader) append(part []byte) error {
	size := len(r.raw) + len(part)
	if size > maxEventBytes {
		return &InvalidEventError{Cause: "event too long"}
	}
	if size > cap(r.raw) {
		if err := r.grow(size); err != nil {
			return err
		}
	}
	r.raw = append(r.raw, part...)
	return nil
}

// grow replaces the buffer by one that has room for size bytes. Both are in memory meanwhile.
func (r *Reader) grow(size int) error {
	capacity := max(2*cap(r.raw), minBufferBytes)
	for capacity < size {
		capacity *= 2
	}
	wasReserved := r.isReserved()
	if capacity > usualBufferBytes {
		if err := r.memory.Grow(int64(capacity)); err != nil {
			return r.noMemory(err)
		}
	}
	replaced := r.raw
	r.raw = append(make([]byte, 0, capacity), replaced...)
	if wasReserved {
		r.memory.Shrink(int64(cap(replaced)))
	}
	return nil
}

// isReserved reports whether the event's buffer is reserved.
func (r *Reader) isReserved() bool { return cap(r.raw) > usualBufferBytes }

func (r *Reader) noMemory(cause error) error {
	return &NoMemoryError{EventBytes: len(r.raw), Cause: cause}
}

// Rest returns what came without data after the last event, once Next has failed with
// io.EOF.
func (r *Reader) Rest() []byte {
	return r.raw
}

// lastLine returns the last line of raw, which ends with a newline, without its
// line ending.
func lastLine(raw []byte) []byte {
	body := raw[:len(raw)-1]
	body = bytes.TrimSuffix(body, []byte{'\r'})
	return body[bytes.LastIndexByte(body, '\n')+1:]
}

// parseField sets the event's field from a line. It reports whether the line is
// a data field; ok is false when the value is invalid.
func (e *Event) parseField(line []byte) (isData, ok bool) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		id, err := strconv.Atoi(string(value))
		if err != nil || id < 0 {
			return false, false
		}
		e.ID, e.HasID = id, true
	case "data":
		e.Done = string(value) == DoneData
		return true, true
	}
	return false, true
}

// TruncatedEventError reports that a stream ended inside an event.
type TruncatedEventError struct{}

// Error implements error.
func (*TruncatedEventError) Error() string {
	return "the stream ended inside an event"
}

// InvalidEventError reports an event that can't be parsed.
type InvalidEventError struct {
	Cause string
}

// Error implements error.
func (e *InvalidEventError) Error() string {
	return "invalid event: " + e.Cause
}

// NoMemoryError reports that there is no memory for an event, or that it had to make room for
// others before it was whole.
type NoMemoryError struct {
	// EventBytes is what had arrived of the event.
	EventBytes int
	Cause      error
}

// Error implements error.
func (e *NoMemoryError) Error() string {
	return "no memory for an event after " + strconv.Itoa(e.EventBytes) + " bytes: " + e.Cause.Error()
}

// Unwrap returns Cause.
func (e *NoMemoryError) Unwrap() error { return e.Cause }

// IsUnusual reports whether the event is far larger than those that model engines send.
func (e *NoMemoryError) IsUnusual() bool { return e.EventBytes >= maxUsualEventBytes }
