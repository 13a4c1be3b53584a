package httpanswer

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/metrics"
)

// serve answers each connection's first request with the text, and then resets or closes it.
func serve(t *testing.T, answer string, reset bool) (url string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			request, err := http.ReadRequest(bufio.NewReader(conn))
			if err == nil && !reset {
				_, _ = io.Copy(io.Discard, request.Body)
			}
			_, _ = io.WriteString(conn, answer)
			if reset {
				_ = conn.(*net.TCPConn).SetLinger(0)
			}
			_ = conn.Close()
		}
	}()
	return "http://" + listener.Addr().String()
}

func TestInvalidAnswersAreRejected(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\n"
	const chunks = sound + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
	interims := func(count int) string { return strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", count) }
	for name, c := range map[string]struct {
		answer string
		reset  bool
		// reason is that of the rejection, "" for a sound answer.
		reason string
	}{
		"sound":                    {answer: sound + "X-A: \tb \xc3\xa9\r\nx!#$%&'*+-.^_`|~9: c\r\nContent-Length: 2\r\n\r\nok"},
		"no reason phrase":         {answer: "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok"},
		"end of connection":        {answer: sound + "\r\nok"},
		"trailer":                  {answer: chunks + "A: b\r\n\r\n"},
		"interim answers":          {answer: interims(maxInterimAnswers) + sound + "\r\nok"},
		"status 000":               {answer: "HTTP/1.1 000 None\r\n\r\nok", reason: "status"},
		"status 101":               {answer: "HTTP/1.1 101 Switching Protocols\r\n\r\nok", reason: "status"},
		"status 600":               {answer: "HTTP/1.1 600 High\r\n\r\nok", reason: "status"},
		"control byte in reason":   {answer: "HTTP/1.1 200 O\x01K\r\n\r\nok", reason: "reason-phrase"},
		"blank in name":            {answer: sound + "X A: b\r\n\r\nok", reason: "field"},
		"blank after name":         {answer: sound + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", reason: "field"},
		"blank, no body":           {answer: sound + "X A: b\r\nContent-Length: 0\r\n\r\n", reason: "field"},
		"blank in interim answer":  {answer: "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" + sound + "\r\nok", reason: "interim-field"},
		"too many interim answers": {answer: interims(maxInterimAnswers+1) + sound + "\r\nok", reason: "interim-answers"},
		"blank in trailer":         {answer: chunks + "X A: b\r\n\r\n", reason: "trailer"},
		"reset during the upload":  {answer: sound + "\r\nok", reset: true, reason: ReasonCutOff},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scope := tally.NewTestScope("", nil)
			client := &http.Client{Transport: NewTransport(new(http.Transport), metrics.NewCounterVec(scope, "rejected", "reason"))}
			defer client.CloseIdleConnections()
			var upload string
			if c.reset {
				upload = strings.Repeat("u", 16<<20)
			}
			response, err := client.Post(serve(t, c.answer, c.reset), "text/plain", strings.NewReader(upload))
			var body []byte
			if err == nil {
				body, err = io.ReadAll(response.Body)
				_ = response.Body.Close()
			}
			if isSound := c.reason == ""; (err == nil) != isSound || isSound && string(body) != "ok" {
				t.Errorf("got %q, %v", body, err)
			}
			var counted []string
			for _, counter := range scope.Snapshot().Counters() {
				counted = append(counted, counter.Tags()["reason"])
			}
			// Whether the end of an upload or of its answer is noticed first is a race.
			if got := strings.Join(counted, " "); got != c.reason && !(c.reset && got == "") {
				t.Errorf("counted as %q, want %q", got, c.reason)
			}
		})
	}
}

func TestRejectionSaysWhatIsInvalid(t *testing.T) {
	err := CheckHead(&http.Response{StatusCode: http.StatusOK, Status: "200 OK", Header: http.Header{"X\x01\nA": {"b"}}})
	var invalid *InvalidError
	if !errors.As(err, &invalid) || invalid.Error() != `the answer has an invalid field: "X\x01\nA"` {
		t.Errorf("got %v", err)
	}
}
