package soak

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hawthornstream/platform/platformtest"
)

// clientErrors are the statuses with which a server in the mode clientError answers.
var clientErrors = []int{
	http.StatusBadRequest, http.StatusNotFound, http.StatusConflict, http.StatusGone, http.StatusUnprocessableEntity,
}

// keptConnectionTimeout is how long a server waits for the next request on a connection on
// which it has declined one.
const keptConnectionTimeout = 2 * time.Second

// errorBody returns the body of an error answer.
func errorBody(id string, status int) string {
	return fmt.Sprintf("error %d of %s", status, id)
}

// sendError answers that the request, which ran, has failed.
func (s *backendServer) sendError(w http.ResponseWriter, id string, status int) {
	s.checker.recordServerStatus(id, status)
	body := errorBody(id, status)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// breakWithinHead sends a random part of the head of an answer and closes the connection.
func (s *backendServer) breakWithinHead(w http.ResponseWriter, id string) {
	if s.service == "llm" {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(plainBody(id))))
	head := rawHead(w, http.StatusOK)
	conn, _ := hijack(w)
	_, _ = io.WriteString(conn, head[:rand.IntN(len(head))])
	_ = conn.Close()
}

// invalidHeads replace parts of sound heads by others that aren't HTTP.
var invalidHeads = [][2]string{
	{"HTTP/1.1 200 OK", "HTTP/1.1 000 None"},
	{"Content-Length: ", "Content-Length : "},
	{"\r\n\r\n", "\r\nX Field: v\r\n\r\n"},
	{"\r\n\r\n", "\r\nX\x01Field: v\r\n\r\n"},
}

// sendInvalidHead sends an answer whose head isn't HTTP and closes the connection. Its body shows
// the checker that it was passed on.
func (s *backendServer) sendInvalidHead(w http.ResponseWriter, id string) {
	body := "no " + plainBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	head, invalid := rawHead(w, http.StatusOK), invalidHeads[rand.IntN(len(invalidHeads))]
	conn, _ := hijack(w)
	_, _ = io.WriteString(conn, strings.Replace(head, invalid[0], invalid[1], 1)+body)
	_ = conn.Close()
}

// declineTwice declines the request r, and runs the next one on its connection but sends the
// same refusal once more.
func (s *backendServer) declineTwice(w http.ResponseWriter, r *http.Request) {
	platformtest.SetDeclined(w.Header())
	w.Header().Set("Content-Length", "0")
	refusal := rawHead(w, http.StatusServiceUnavailable)
	conn, input := hijack(w)
	defer func() { _ = conn.Close() }()
	if _, err := io.WriteString(conn, refusal); err != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(keptConnectionTimeout))
	next, err := http.ReadRequest(input)
	if err != nil || platformtest.IsForOther(next, s.Name) {
		return
	}
	s.recordRun(next)
	_, _ = io.WriteString(conn, refusal)
	_, _ = io.Copy(io.Discard, conn)
}

// rawHead returns the head of an answer with the header that was set so far.
func rawHead(w http.ResponseWriter, status int) string {
	var head bytes.Buffer
	_, _ = fmt.Fprintf(&head, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = w.Header().Write(&head)
	return head.String() + "\r\n"
}

// hijack takes the connection of a request over.
func hijack(w http.ResponseWriter) (net.Conn, *bufio.Reader) {
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	return conn, buffered.Reader
}
