package fleet

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"hawthornstream/testbench/standin/engine"
)

func event(operation string, n int) string {
	return `data: {"choices":[{"delta":{"content":"` + engine.TokenText(operation, n) + `"}}]}` + "\n\n"
}

func TestStreamsAreJudged(t *testing.T) {
	two := event("op", 1) + event("op", 2)
	broken := errors.New("broken")
	cases := []struct {
		name         string
		body         io.Reader
		whole, wrong bool
	}{
		{"whole", strings.NewReader(two + "data: [DONE]\n\n"), true, false},
		{"no end", strings.NewReader(two), true, true},
		{"lost event", strings.NewReader(event("op", 2) + "data: [DONE]\n\n"), true, true},
		{"repeated event", strings.NewReader(event("op", 1) + two + "data: [DONE]\n\n"), true, true},
		{"event after the end", strings.NewReader(two + "data: [DONE]\n\n" + event("op", 3)), true, true},
		{"another's event", strings.NewReader(event("op", 1) + event("other", 2) + "data: [DONE]\n\n"), true, true},
		{"ended within an event", strings.NewReader(two + "data: [DONE]\n\ndata: {"), true, true},
		{"broken within an event", io.MultiReader(strings.NewReader(two[:len(two)-20]), iotest.ErrReader(broken)), false, false},
	}
	for _, c := range cases {
		outcome := Outcome{Call: Call{Operation: "op", Tokens: 2}}
		outcome.readStream(c.body)
		if outcome.Whole != c.whole || (outcome.Wrong != "") != c.wrong {
			t.Errorf("%s: whole %v, wrong %q", c.name, outcome.Whole, outcome.Wrong)
		}
	}
}
