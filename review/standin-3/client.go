package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path string
	// tokens is the value of Token-Count for a stream, "" for a plain request, and prefix that
	// of Prompt-Prefix.
	tokens, prefix string
	deadline       time.Duration
	body           []byte
	lastEvent      string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// head returns the head of the request.
func (r *request) head() []byte {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: %d\r\n",
		r.method, r.path, routeHost, r.id, r.deadline.Milliseconds(), apiKey, len(r.body))
	if r.tokens != "" {
		fmt.Fprintf(&head, "Model: m\r\nToken-Count: %s\r\nPrompt-Prefix: %s\r\n", r.tokens, r.prefix)
	}
	if r.lastEvent != "" {
		fmt.Fprintf(&head, "Last-Event-Id: %s\r\n", r.lastEvent)
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// answer is what a client got.
type answer struct {
	status int
	header http.Header
	body   []byte
	// closes says that the daemon closes the connection after the answer.
	closes bool
	// err is nil for a whole answer. status is zero if not even a head came.
	err error
}

// isClosed reports whether the connection ended without a byte of an answer.
func (a *answer) isClosed() bool {
	var timeout net.Error
	return a.status == 0 && a.err != nil && !(errors.As(a.err, &timeout) && timeout.Timeout())
}

func (a *answer) String() string {
	switch {
	case a.status == 0:
		return fmt.Sprintf("no answer (%v)", a.err)
	case a.err != nil:
		return fmt.Sprintf("%d, cut off after %d bytes (%v)", a.status, len(a.body), a.err)
	default:
		return fmt.Sprintf("%d, %d bytes", a.status, len(a.body))
	}
}

// connection is a client's connection, which it keeps for several requests.
type connection struct {
	conn   net.Conn
	reader *bufio.Reader
	// used is the number of requests sent before.
	used int
}

func dial(address string) (*connection, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends a request and reads its answer.
func (c *connection) do(r *request) *answer {
	c.used++
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline))
	if _, err := c.conn.Write(append(r.head(), r.body...)); err != nil {
		return &answer{err: err}
	}
	return c.read(r.method)
}

func (c *connection) read(method string) *answer {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return &answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return &answer{status: response.StatusCode, header: response.Header, body: body, closes: response.Close, err: err}
}

// canKeep reports whether the connection may carry another request after the answer.
func (a *answer) canKeep() bool {
	return a.err == nil && !a.closes
}

func (c *connection) close() { _ = c.conn.Close() }
