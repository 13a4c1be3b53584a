package fleet

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"time"

	"hawthornstream/testbench/standin/engine"
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// readStream reads the events of an answer and checks that their tokens are those
// of the call, in order, none lost or repeated. A line that a connection error
// has truncated is not checked.
func (o *Outcome) readStream(body io.Reader) {
	reader := bufio.NewReader(body)
	done := false
	for {
		line, err := reader.ReadBytes('\n')
		if o.FirstByteAt.IsZero() && len(line) > 0 {
			o.FirstByteAt = time.Now()
		}
		if err == io.EOF {
			o.checkStreamEnd(done, len(line))
			return
		}
		if err != nil {
			o.Err = err
			return
		}
		if data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataPrefix); ok {
			if done && o.Mismatch == "" {
				o.Mismatch = "an event followed [DONE]"
			}
			done = bytes.Equal(data, doneMarker) || done
			o.checkEvent(data)
		}
	}
}

// checkStreamEnd checks a stream that ended without a connection error.
// partialBytes is the length of its last line if that was not terminated.
func (o *Outcome) checkStreamEnd(done bool, partialBytes int) {
	o.Complete = true
	if o.Mismatch == "" && (!done || partialBytes > 0 || o.Tokens != o.Call.Tokens) {
		o.Mismatch = fmt.Sprintf("the stream ended without an error after %d of %d tokens and %d bytes of a partial line, [DONE] received: %v",
			o.Tokens, o.Call.Tokens, partialBytes, done)
	}
}

func (o *Outcome) checkEvent(data []byte) {
	if bytes.Equal(data, doneMarker) || o.Mismatch != "" {
		return
	}
	expected := engine.TokenText(o.Call.Operation, o.Tokens+1)
	if !bytes.Contains(data, []byte(`"`+expected+`"`)) {
		o.Mismatch = fmt.Sprintf("event %d does not hold the token expected for the call: %s", o.Tokens+1, data)
		return
	}
	o.Tokens++
}
