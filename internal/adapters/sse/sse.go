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

// Reader splits a stream into events. It is not safe for concurrent use.
type Reader struct {
	input *bufio.Reader
	// raw is the event that is being read.
	raw []byte
}

// NewReader returns a reader of the events in the stream r.
func NewReader(r io.Reader) *Reader {
	return &Reader{input: bufio.NewReader(r)}
}

// Next returns the next event that has data. It fails with io.EOF at the end of
// the stream, with *TruncatedEventError when the stream ends inside an event,
// with *InvalidEventError when an event can't be parsed, or with the error of
// the underlying reader. Bytes without an event, such as comments, are limited like an
// event.
func (r *Reader) Next() (Event, error) {
	var event Event
	hasData := false
	r.raw = r.raw[:0]
	// blockStart is where the lines since the last blank one begin.
	blockStart := 0
	for {
		line, err := r.input.ReadSlice('\n')
		r.raw = append(r.raw, line...)
		if len(r.raw) > maxEventBytes {
			return Event{}, &InvalidEventError{Cause: "event too long"}
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
