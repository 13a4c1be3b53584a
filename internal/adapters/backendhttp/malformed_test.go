package backendhttp

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
)

// rejectedAs returns the reasons for which answers are counted as rejected.
func rejectedAs(scope tally.TestScope) string {
	var reasons []string
	for _, counter := range scope.Snapshot().Counters() {
		if counter.Name() == "backend.answers_rejected" {
			reasons = append(reasons, counter.Tags()["reason"])
		}
	}
	return strings.Join(reasons, " ")
}

// Bytes that are no answer looked like the end of the server that sent them. Only a connection
// that the server has closed or reset is a broken one.
func TestMalformedAnswerIsNoBrokenConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	chunks := head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	cases := map[string]struct {
		answer string
		closes bool
		reason outcome.Reason
		// rejected is the reason for which the answer is counted as rejected; "" for none.
		rejected string
	}{
		"no HTTP":                   {"x\r\n\r\n", false, outcome.ReasonAnswerMalformed, "malformed"},
		"no field":                  {head + "no field\r\n\r\n", false, outcome.ReasonAnswerMalformed, "malformed"},
		"a status of no answer":     {"HTTP/1.1 101 Switching Protocols\r\n\r\n", false, outcome.ReasonAnswerMalformed, "status"},
		"status 000":                {"HTTP/1.1 000 None\r\n\r\nok", true, outcome.ReasonAnswerMalformed, "status"},
		"blank in a name":           {head + "X A: b\r\n\r\nok", true, outcome.ReasonAnswerMalformed, "field"},
		"control byte in a name":    {head + "X\x01A: b\r\n\r\nok", true, outcome.ReasonAnswerMalformed, "malformed"},
		"blank before a colon":      {head + "Content-Length : 1\r\n\r\nok", true, outcome.ReasonAnswerMalformed, "field"},
		"name of a trailer":         {chunks + "0\r\nX A: b\r\n\r\n", true, outcome.ReasonAnswerMalformed, "trailer"},
		"name of an interim field":  {"HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + head + "\r\nok", true, outcome.ReasonAnswerMalformed, "interim-field"},
		"chunk extension":           {chunks + "2;" + strings.Repeat("x", 8<<10), false, outcome.ReasonAnswerMalformed, "malformed"},
		"trailers":                  {chunks + "0\r\n" + manyLines(2000), false, outcome.ReasonAnswerMalformed, "malformed"},
		"end within a head":         {head + "a: b\r\n", true, outcome.ReasonConnectionBroken, ""},
		"end within a chunk":        {chunks + "5\r\nok", true, outcome.ReasonConnectionBroken, ""},
		"end of a body of a length": {head + "Content-Length: 5\r\n\r\nok", true, outcome.ReasonConnectionBroken, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startRawServer(t, func(_ int64, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				readRequest(conn)
				if _, err := io.WriteString(conn, c.answer); err == nil && !c.closes {
					_, _ = io.Copy(io.Discard, conn)
				}
			})
			ctx := testContext(t)
			scope := tally.NewTestScope("", nil)
			client := NewClient(scope, nil)
			defer client.Close()
			exchange, err := client.Do(ctx, newPostRequest(address))
			if err == nil {
				defer exchange.Abort()
				_, err = exchange.ReadAll(1 << 20)
			}
			if err == nil {
				t.Fatal("the answer is whole")
			}
			result := FailureResult(ctx, err)
			if result.Reason != c.reason || result.End != outcome.Unknown || result.Report.Fault != ports.ServerFaultBroken {
				t.Errorf("got %+v for %v", result, err)
			}
			if got := rejectedAs(scope); got != c.rejected {
				t.Errorf("counted as %q, want %q", got, c.rejected)
			}
		})
	}
}
