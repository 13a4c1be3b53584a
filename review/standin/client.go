package main

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
	"sync"
	"time"
)

// request is one attempt of a consumer.
type request struct {
	ID, Method, Target, Key string
	Body                    []byte
	Deadline                time.Duration
	// UploadFor is the time over which the body is sent.
	UploadFor time.Duration
	Extra     map[string]string
}

// answer is what a consumer saw of one attempt.
type answer struct {
	ID     string
	SentAt time.Time
	// WholeAt is when the last byte of the request was sent; zero if it was not.
	WholeAt time.Time
	EndedAt time.Time
	// Status is zero if the connection ended without the header of an answer.
	Status int
	Seal   string
	Body   string
	// Whole reports whether the answer was read to its end.
	Whole bool
	// Kept reports whether the connection had carried an answer before.
	Kept  bool
	Error string
	// Close reports whether the answer asked to close the connection.
	Close bool
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// consumer is a connection of a consumer to one daemon.
type consumer struct {
	conn   net.Conn
	reader *bufio.Reader
	kept   bool
	// stream is the body of the answer that begin has opened.
	stream io.Reader
}

func dial(address string) (*consumer, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &consumer{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *consumer) close() { c.conn.Close() }

// do sends one request and reads its answer.
func (c *consumer) do(r request) answer {
	a := answer{ID: r.ID, SentAt: time.Now(), Kept: c.kept}
	c.conn.SetDeadline(a.SentAt.Add(r.Deadline))
	err := c.send(head(r), r)
	if err == nil {
		a.WholeAt = time.Now()
	}
	// An answer may have come before the whole request was sent.
	response, readErr := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if readErr != nil {
		a.Error = readErr.Error()
		if err != nil {
			a.Error = err.Error()
		}
		a.EndedAt = time.Now()
		return a
	}
	a.Status, a.Seal, a.Close = response.StatusCode, response.Header.Get("Response-Seal"), response.Close
	data, bodyErr := io.ReadAll(response.Body)
	a.Body, a.EndedAt = string(data), time.Now()
	if bodyErr != nil {
		a.Error = bodyErr.Error()
		return a
	}
	a.Whole, c.kept = true, true
	return a
}

// head returns the request line and header of a request.
func head(r request) []byte {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Target, host, r.ID, r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&text, "Api-Key: %s\r\n", r.Key)
	}
	for name, value := range r.Extra {
		fmt.Fprintf(&text, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&text, "Content-Length: %d\r\n\r\n", len(r.Body))
	return text.Bytes()
}

func (c *consumer) send(head []byte, r request) error {
	if _, err := c.conn.Write(head); err != nil {
		return err
	}
	if r.UploadFor == 0 {
		_, err := c.conn.Write(r.Body)
		return err
	}
	const parts = 40
	started := time.Now()
	for i := range parts {
		part := r.Body[i*len(r.Body)/parts : (i+1)*len(r.Body)/parts]
		if _, err := c.conn.Write(part); err != nil {
			return err
		}
		time.Sleep(time.Until(started.Add(r.UploadFor * time.Duration(i+1) / parts)))
	}
	return nil
}

func (a *answer) String() string {
	status := strconv.Itoa(a.Status)
	if a.Status == 0 {
		status = "no answer"
	}
	text := fmt.Sprintf("%s: %s, whole %t, after %d ms", a.ID, status, a.Whole, a.EndedAt.Sub(a.SentAt).Milliseconds())
	if a.Seal != "" {
		text += ", seal " + a.Seal
	}
	if a.Error != "" {
		text += ", " + a.Error
	}
	return text
}

// answers collects the answers of many consumers.
type answers struct {
	mu  sync.Mutex
	all []answer
}

func (a *answers) add(one answer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.all = append(a.all, one)
}

// begin sends one request and reads the header of its answer, and the body of a refusal.
func (c *consumer) begin(r request) answer {
	a := answer{ID: r.ID, SentAt: time.Now()}
	c.conn.SetDeadline(a.SentAt.Add(r.Deadline))
	if err := c.send(head(r), r); err != nil {
		a.Error = err.Error()
		return a
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		a.Error = err.Error()
		return a
	}
	a.Status, a.Seal = response.StatusCode, response.Header.Get("Response-Seal")
	if a.Status != http.StatusOK {
		data, _ := io.ReadAll(response.Body)
		a.Body = string(data)
		return a
	}
	c.stream = response.Body
	return a
}

// events reads the stream that begin has opened. It returns the id of the last whole event
// and whether the stream ended as complete.
func (c *consumer) events(last int) (int, bool) {
	lines := bufio.NewScanner(c.stream)
	id := 0
	for lines.Scan() {
		text := lines.Text()
		if value, ok := strings.CutPrefix(text, "id: "); ok {
			id, _ = strconv.Atoi(value)
		}
		if text == "" && id > 0 {
			last = id
		}
	}
	return last, lines.Err() == nil
}
