package ctl

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"hawthornstream/internal/adapters/httpanswer/answertest"
)

// An answer that was cut at the limit of its size passed as whole if only spaces followed, and
// heads of 10 MiB were read.
func TestTooLargeAnswerIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		handler http.HandlerFunc
		want    func(error) bool
	}{
		"body": {
			func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, "{}"+strings.Repeat(" ", maxAnswerBytes))
			},
			func(err error) bool {
				var tooLarge *answerTooLargeError
				return errors.As(err, &tooLarge)
			},
		},
		"head": {
			func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Large", strings.Repeat("x", 2*maxHeadBytes))
				_, _ = io.WriteString(w, "{}")
			},
			func(err error) bool {
				var unreachable *unreachableError
				return errors.As(err, &unreachable)
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			daemon := newFakeDaemon(t, test.handler)
			var answer struct{}
			err := newClient([]string{daemon.URL}, "key", nil).sendToAny(t.Context(), request{method: http.MethodGet, path: "/"}, &answer)
			if !test.want(err) {
				t.Errorf("got error %v", err)
			}
		})
	}
}

// An answer that isn't HTTP leaves the outcome of a change unknown.
func TestInvalidAnswerIsNoAnswer(t *testing.T) {
	for name, handler := range answertest.Handlers() {
		t.Run(name, func(t *testing.T) {
			daemon := newFakeDaemon(t, handler)
			var answer struct{}
			err := newClient([]string{daemon.URL}, "key", nil).sendToAny(t.Context(), request{method: http.MethodPost, path: "/"}, &answer)
			var unreachable *unreachableError
			if !errors.As(err, &unreachable) || !unreachable.MayHaveBeenSent {
				t.Errorf("got error %v", err)
			}
		})
	}
}
