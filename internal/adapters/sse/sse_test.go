package sse

import (
	"errors"
	"strings"
	"testing"
)

// A server sends lines that belong to no event, without end.
func TestEndlessBytesBetweenEventsAreInvalid(t *testing.T) {
	for _, text := range []string{"\n", ":\n\n", "id: 1\n\n"} {
		_, err := NewReader(strings.NewReader(strings.Repeat(text, 2*maxEventBytes/len(text)))).Next()
		var invalid *InvalidEventError
		if !errors.As(err, &invalid) {
			t.Errorf("%q repeated: got %v", text, err)
		}
	}
}
