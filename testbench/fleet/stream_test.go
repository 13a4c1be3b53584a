package fleet

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"hawthornstream/testbench/standin/engine"
)

func tokenEvent(operation string, n int) string {
	return `data: {"choices":[{"delta":{"content":"` + engine.TokenText(operation, n) + `"}}]}` + "\n\n"
}

func TestReadStreamDetectsDamagedStreams(t *testing.T) {
	twoEvents := tokenEvent("op", 1) + tokenEvent("op", 2)
	errBroken := errors.New("broken")
	cases := []struct {
		name               string
		body               io.Reader
		complete, mismatch bool
	}{
		{"whole", strings.NewReader(twoEvents + "data: [DONE]\n\n"), true, false},
		{"no [DONE]", strings.NewReader(twoEvents), true, true},
		{"event lost", strings.NewReader(tokenEvent("op", 2) + "data: [DONE]\n\n"), true, true},
		{"repeated event", strings.NewReader(tokenEvent("op", 1) + twoEvents + "data: [DONE]\n\n"), true, true},
		{"event after [DONE]", strings.NewReader(twoEvents + "data: [DONE]\n\n" + tokenEvent("op", 3)), true, true},
		{"event of another call", strings.NewReader(tokenEvent("op", 1) + tokenEvent("other", 2) + "data: [DONE]\n\n"), true, true},
		{"ended within an event", strings.NewReader(twoEvents + "data: [DONE]\n\ndata: {"), true, true},
		{"broken within an event", io.MultiReader(strings.NewReader(twoEvents[:len(twoEvents)-20]), iotest.ErrReader(errBroken)), false, false},
	}
	for _, c := range cases {
		outcome := Outcome{Call: Call{Operation: "op", Tokens: 2}}
		outcome.readStream(c.body)
		if outcome.Complete != c.complete || (outcome.Mismatch != "") != c.mismatch {
			t.Errorf("%s: complete %v, mismatch %q", c.name, outcome.Complete, outcome.Mismatch)
		}
	}
}
