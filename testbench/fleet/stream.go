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
	dataField = []byte("data: ")
	doneData  = []byte("[DONE]")
)

// readStream takes the events of an answer and checks that each token is the
// call's, in order, without loss or repeat. A line that a broken connection has
// cut is not judged.
func (o *Outcome) readStream(body io.Reader) {
	reader := bufio.NewReader(body)
	done := false
	for {
		line, err := reader.ReadBytes('\n')
		if o.FirstByte.IsZero() && len(line) > 0 {
			o.FirstByte = time.Now()
		}
		if err == io.EOF {
			o.endStream(done, len(line))
			return
		}
		if err != nil {
			o.Err = err
			return
		}
		if data, ok := bytes.CutPrefix(bytes.TrimSpace(line), dataField); ok {
			if done && o.Wrong == "" {
				o.Wrong = "an event came after the end"
			}
			done = bytes.Equal(data, doneData) || done
			o.takeEvent(data)
		}
	}
}

// endStream judges a stream that ended as whole.
func (o *Outcome) endStream(done bool, left int) {
	o.Whole = true
	if o.Wrong == "" && (!done || left > 0 || o.Tokens != o.Call.Tokens) {
		o.Wrong = fmt.Sprintf("the stream ended as whole after %d of %d tokens and %d bytes, last event: %v",
			o.Tokens, o.Call.Tokens, left, done)
	}
}

func (o *Outcome) takeEvent(data []byte) {
	if bytes.Equal(data, doneData) || o.Wrong != "" {
		return
	}
	next := engine.TokenText(o.Call.Operation, o.Tokens+1)
	if !bytes.Contains(data, []byte(`"`+next+`"`)) {
		o.Wrong = fmt.Sprintf("event %d is not the call's: %s", o.Tokens+1, data)
		return
	}
	o.Tokens++
}
