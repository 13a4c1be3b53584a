package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hawthornstream/platform/platformtest"
)

// streamEventCount is the number of events of a complete stream.
const streamEventCount = 8

// softwareVersions is the number of software versions that serve side by side in a
// service.
const softwareVersions = 2

// expectedBody returns the body of the complete answer to a call, without the software
// versions in the events of a stream.
func expectedBody(c call) string {
	if !c.kind.stream {
		return "answer to " + c.id
	}
	body := ""
	for event := c.lastEvent + 1; event <= streamEventCount; event++ {
		body += streamEvent(c.streamID(), event, "")
	}
	return body
}

// streamEvent returns an event of a stream. It tells the software version of the server
// that sends it, unless that is empty.
func streamEvent(streamID string, event int, version string) string {
	if version != "" {
		version = " of " + version
	}
	return fmt.Sprintf("id: %d\ndata: %s piece %d%s\n\n", event, streamID, event, version)
}

var eventVersion = regexp.MustCompile(` of (v[0-9]+)\n`)

// splitVersions returns the body of a stream without the software versions in its
// events, and these versions.
func splitVersions(body string) (text string, versions []string) {
	for _, match := range eventVersion.FindAllStringSubmatch(body, -1) {
		versions = append(versions, match[1])
	}
	return eventVersion.ReplaceAllString(body, "\n"), versions
}

// failureMode is the way in which a backend server fails.
type failureMode int32

const (
	noFailure failureMode = iota
	// abortAfterRun runs the request and closes the connection before the answer.
	abortAfterRun
	// internalError runs the request and answers with status 500.
	internalError
	// truncateAnswer closes the connection during the answer, also within an event
	// of a stream, or sends bytes without end in place of the rest.
	truncateAnswer
	// declineRequest declines the request as a full server does, without running it.
	declineRequest
	// neverAnswer runs the request and sends nothing until the client cancels it or
	// the server closes.
	neverAnswer
	failureModeCount
)

// serverState is the state in the object of a backend server.
type serverState string

const (
	stateReady    serverState = "ready"
	stateDraining serverState = "draining"
	// stateRemoved means that the server has no object.
	stateRemoved serverState = ""
)

// backendServer is a fake backend server that reports the requests it runs to the
// checker.
type backendServer struct {
	*platformtest.Server
	service, zone string
	version       string
	// listedAddress is the address in the server's object: that of a proxied link to
	// it, or its own if there is none.
	listedAddress string
	state         serverState
	checker       *checker
	failureMode   atomic.Int32
	// pausedUntil is the Unix time in nanoseconds until which the server sends nothing.
	pausedUntil atomic.Int64
	limit       namedLimit
	cold        coldArrivals
	closed      chan struct{}
}

func newBackendServer(name, service, zone, version string, c *checker) *backendServer {
	s := &backendServer{
		Server: platformtest.NewServer(name), service: service, zone: zone, version: version, checker: c,
		closed: make(chan struct{}), cold: coldArrivals{coldTill: time.Now().Add(coldTime)},
	}
	s.SetVersion(version)
	s.SetHandler(s.handle)
	return s
}

// Close stops the server and ends its requests, also those that hang.
func (s *backendServer) Close() {
	close(s.closed)
	s.CloseClientConnections()
	s.Server.Close()
}

// setFailureMode changes the failure mode. It applies to a random half of the
// requests.
func (s *backendServer) setFailureMode(mode failureMode) {
	s.failureMode.Store(int32(mode))
}

// pauseFor makes the server send nothing for the duration.
func (s *backendServer) pauseFor(duration time.Duration) {
	s.pausedUntil.Store(time.Now().Add(duration).UnixNano())
}

// waitWhilePaused returns once the server may send.
func (s *backendServer) waitWhilePaused() {
	time.Sleep(time.Until(time.Unix(0, s.pausedUntil.Load())))
}

func (s *backendServer) handle(w http.ResponseWriter, r *http.Request) {
	s.limit.receive(w)
	s.cold.receive(time.Now())
	mode := failureMode(s.failureMode.Load())
	if rand.IntN(2) == 0 {
		mode = noFailure
	}
	if mode == declineRequest {
		platformtest.Decline(w)
		return
	}
	id, lastEvent := platformtest.AttemptID(r), platformtest.LastEventID(r)
	s.checker.recordRun(s.Name, s.service, id, platformtest.Workspace(r), lastEvent > 0)
	time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	switch mode {
	case abortAfterRun:
		panic(http.ErrAbortHandler)
	case internalError:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case neverAnswer:
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
		panic(http.ErrAbortHandler)
	}
	s.waitWhilePaused()
	if mode == noFailure && rand.IntN(unframedEvery) == 0 {
		s.sendUnframed(w, platformtest.StreamID(r), id, lastEvent)
		return
	}
	if s.service == "llm" {
		s.sendStream(w, platformtest.StreamID(r), lastEvent, mode == truncateAnswer)
		return
	}
	body := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if mode == truncateAnswer {
		if rand.IntN(2) == 0 {
			w.Header().Del("Content-Length")
			writeWithoutEnd(w)
		}
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// sendStream sends the events that follow lastEvent. If truncate is set, it closes the
// connection after a random number of them, within the next event.
func (s *backendServer) sendStream(w http.ResponseWriter, id string, lastEvent int, truncate bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	end := streamEventCount
	if truncate {
		end = lastEvent + rand.IntN(streamEventCount-lastEvent+1)
	}
	for event := lastEvent + 1; event <= end; event++ {
		s.waitWhilePaused()
		_, _ = io.WriteString(w, streamEvent(id, event, s.version))
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
	if truncate {
		if rand.IntN(4) == 0 {
			writeWithoutEnd(w)
		}
		_, _ = io.WriteString(w, "id: 99\nda")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// unframedEvery is the number of answers of which one has neither a length nor chunks and
// ends with its connection.
const unframedEvery = 12

// sendUnframed sends a whole answer without a length or chunks and closes the connection.
func (s *backendServer) sendUnframed(w http.ResponseWriter, streamID, id string, lastEvent int) {
	body, contentType := "answer to "+id, "text/plain"
	if s.service == "llm" {
		body, contentType = "", "text/event-stream"
		for event := lastEvent + 1; event <= streamEventCount; event++ {
			body += streamEvent(streamID, event, s.version)
		}
	}
	header := w.Header().Clone()
	header.Set("Content-Type", contentType)
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	// A failed write means that the daemon has closed the connection.
	_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\n")
	_ = header.Write(buffered)
	_, _ = buffered.WriteString("\r\n" + body)
	_ = buffered.Flush()
}

// writeWithoutEnd writes bytes that are no answer until the daemon closes the connection,
// and aborts the handler.
func writeWithoutEnd(w io.Writer) {
	for {
		if _, err := io.WriteString(w, strings.Repeat("x", 4096)); err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
