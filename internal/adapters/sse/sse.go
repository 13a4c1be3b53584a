// Package sse cuts a stream of server-sent events into whole events. It is
// imported by the adapters of model engines.
package sse

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// maxEvent is the most bytes of one server-sent event.
const maxEvent = 1 << 20

// DoneData is the data of the last event of a whole stream.
const DoneData = "[DONE]"

// Event is one server-sent event.
type Event struct {
	// ID is zero when the event names none.
	ID int
	// Done says that the event marks the end of a whole stream, by its data
	// "[DONE]".
	Done bool
	// Raw is the event as it came, with the blank line at its end. It is valid
	// until the next event is read.
	Raw []byte
}

// Reader cuts a stream into events. It is used by one goroutine.
type Reader struct {
	lines *bufio.Reader
	raw   []byte
}

// NewReader returns a reader of the events of a stream.
func NewReader(r io.Reader) *Reader {
	return &Reader{lines: bufio.NewReader(r)}
}

// Next returns the next whole event. It fails with io.EOF at the end of the
// stream, with *BrokenEventError when the stream ends inside an event, with the
// reader's error, or with *InvalidEventError.
func (r *Reader) Next() (Event, error) {
	var found Event
	hasData := false
	r.raw = r.raw[:0]
	for {
		line, err := r.lines.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > maxEvent {
			return Event{}, &InvalidEventError{Cause: "event too long"}
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err == io.EOF && len(bytes.TrimSpace(r.raw)) > 0 {
			return Event{}, &BrokenEventError{}
		}
		if err != nil {
			return Event{}, err
		}
		line = lastLine(r.raw)
		if len(line) == 0 {
			if !hasData {
				r.raw = r.raw[:0]
				continue
			}
			found.Raw = r.raw
			return found, nil
		}
		data, ok := found.take(line)
		if !ok {
			return Event{}, &InvalidEventError{Cause: "event id is no number"}
		}
		hasData = hasData || data
	}
}

// lastLine returns the last line of raw without its line end.
func lastLine(raw []byte) []byte {
	body := raw[:len(raw)-1]
	body = bytes.TrimSuffix(body, []byte{'\r'})
	return body[bytes.LastIndexByte(body, '\n')+1:]
}

// take reads one field. It reports whether the field is data, and false when
// it can't be read.
func (e *Event) take(line []byte) (data, ok bool) {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		id, err := strconv.Atoi(string(value))
		if err != nil || id < 1 {
			return false, false
		}
		e.ID = id
	case "data":
		e.Done = string(value) == DoneData
		return true, true
	}
	return false, true
}

// BrokenEventError says that a stream ended inside an event.
type BrokenEventError struct{}

// Error implements error.
func (*BrokenEventError) Error() string {
	return "the stream ended inside an event"
}

// InvalidEventError says that a stream can't be cut into events.
type InvalidEventError struct {
	Cause string
}

// Error implements error.
func (e *InvalidEventError) Error() string {
	return "invalid event: " + e.Cause
}
