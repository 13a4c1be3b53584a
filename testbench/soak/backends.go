package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"hawthornstream/platform/platformtest"
)

const (
	// streamEventCount is the number of events of a complete stream, and maxEventInterval
	// the exclusive upper bound of the pause after each of them. It is the same for all
	// events of an answer.
	streamEventCount = 24
	maxEventInterval = 80 * time.Millisecond
)

// softwareVersions is the number of software versions that serve side by side in a
// service.
const softwareVersions = 2

// plainBody returns the body of the answer of a plain service.
func plainBody(id string) string {
	return "answer to " + id
}

// streamEvent returns an event of a stream. It tells the software version of the server
// that sends it, unless that is empty.
func streamEvent(streamID string, event int, version string) string {
	if version != "" {
		version = " of " + version
	}
	return fmt.Sprintf("id: %d\ndata: %s piece %d%s\n\n", event, streamID, event, version)
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
	// clientError runs the request and answers with an error of the client.
	clientError
	// breakWithinHead runs the request and closes the connection within the head of the
	// answer.
	breakWithinHead
	// declineTwice declines the request, runs the next one on the connection, and answers
	// that with the same refusal.
	declineTwice
	// invalidHead runs the request and answers with a head that isn't HTTP.
	invalidHead
	failureModeCount
	// anyFailure fails each request in another of the ways above.
	anyFailure
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
	// versionNumber is the number of the software version.
	versionNumber atomic.Int32
	// listedAddress is the address in the server's object: that of a proxied link to
	// it, or its own if there is none.
	listedAddress string
	state         serverState
	checker       *checker
	cuts          *stopCuts
	failureMode   atomic.Int32
	// endless is what the server sends in place of answers; nil for nothing.
	endless atomic.Pointer[endlessMessage]
	// pausedUntil is the Unix time in nanoseconds until which the server sends nothing.
	pausedUntil atomic.Int64
	limit       namedLimit
	cold        coldArrivals
	closed      chan struct{}
}

func newBackendServer(name, service, zone string, versionNumber int, c *checker, cuts *stopCuts) *backendServer {
	s := &backendServer{
		Server: platformtest.NewServer(name), service: service, zone: zone, checker: c, cuts: cuts,
		closed: make(chan struct{}), cold: coldArrivals{coldTill: time.Now().Add(coldTime)},
	}
	s.versionNumber.Store(int32(versionNumber))
	s.SetVersion(s.version())
	s.SetHandler(s.handle)
	return s
}

// version returns the software version of the server.
func (s *backendServer) version() string {
	return fmt.Sprintf("v%d", s.versionNumber.Load())
}

// restart ends all requests and goes on with the next software version.
func (s *backendServer) restart() {
	next := s.versionNumber.Load()%softwareVersions + 1
	// The report tells the start before any answer is of the next version.
	s.Restart(fmt.Sprintf("v%d", next))
	s.versionNumber.Store(next)
	s.CloseClientConnections()
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

// recordRun records that the server runs a request.
func (s *backendServer) recordRun(r *http.Request) {
	s.checker.recordRun(s.Name, s.service, platformtest.AttemptID(r), platformtest.Workspace(r), platformtest.LastEventID(r) > 0)
}

func (s *backendServer) handle(w http.ResponseWriter, r *http.Request) {
	s.limit.receive(w)
	s.cold.receive(time.Now())
	if message := s.endless.Load(); message != nil && rand.IntN(2) == 0 {
		s.answerWithoutEnd(w, r, message)
		return
	}
	mode := failureMode(s.failureMode.Load())
	if rand.IntN(2) == 0 {
		mode = noFailure
	}
	if mode == anyFailure {
		mode = failureMode(1 + rand.IntN(int(failureModeCount)-1))
	}
	switch mode {
	case declineRequest:
		platformtest.Decline(w)
		return
	case declineTwice:
		s.declineTwice(w, r)
		return
	}
	id, lastEvent := platformtest.AttemptID(r), platformtest.LastEventID(r)
	s.recordRun(r)
	received, _ := io.ReadAll(r.Body)
	s.checker.recordBody(s.Name, id, string(received))
	version := s.version()
	time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	switch mode {
	case abortAfterRun:
		panic(http.ErrAbortHandler)
	case internalError:
		s.sendError(w, id, http.StatusInternalServerError)
		return
	case clientError:
		s.sendError(w, id, clientErrors[rand.IntN(len(clientErrors))])
		return
	case breakWithinHead:
		s.breakWithinHead(w, id)
		return
	case invalidHead:
		s.sendInvalidHead(w, id)
		return
	case neverAnswer:
		select {
		case <-r.Context().Done():
		case <-s.closed:
		}
		panic(http.ErrAbortHandler)
	}
	s.waitWhilePaused()
	isLong := s.cuts.isLong(id)
	if mode == noFailure && !isLong && rand.IntN(unframedEvery) == 0 {
		s.sendUnframed(w, platformtest.StreamID(r), id, version, lastEvent)
		return
	}
	defer s.cuts.recordRun(id)()
	if s.service == "llm" {
		interval := time.Duration(rand.Int64N(int64(maxEventInterval)))
		events := time.Duration(streamEventCount - lastEvent)
		if isLong {
			interval = longCall / max(events, 1)
		}
		s.sendStream(w, platformtest.StreamID(r), lastEvent, version, interval, mode == truncateAnswer)
		return
	}
	body := plainBody(id)
	if isLong && mode == noFailure {
		sendSlowly(w, r, body)
		return
	}
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

// sendSlowly sends the body of a plain service's answer within longCall: in pieces, or all of it
// at the end if the request may not be repeated.
func sendSlowly(w http.ResponseWriter, r *http.Request, body string) {
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	pause := longCall
	if platformtest.IsRepeatable(r) || rand.IntN(2) == 0 {
		pause /= time.Duration(len(body))
		for ; len(body) > 1; body = body[1:] {
			_, _ = io.WriteString(w, body[:1])
			w.(http.Flusher).Flush()
			time.Sleep(pause)
		}
	}
	time.Sleep(pause)
	_, _ = io.WriteString(w, body)
}

// sendStream sends the events that follow lastEvent, with a pause of interval after each. If
// truncate is set, it closes the connection after a random number of them, within the next
// event.
func (s *backendServer) sendStream(w http.ResponseWriter, id string, lastEvent int, version string, interval time.Duration, truncate bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	end := streamEventCount
	if truncate {
		end = lastEvent + rand.IntN(streamEventCount-lastEvent+1)
	}
	for event := lastEvent + 1; event <= end; event++ {
		s.waitWhilePaused()
		_, _ = io.WriteString(w, streamEvent(id, event, version))
		w.(http.Flusher).Flush()
		time.Sleep(interval)
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
func (s *backendServer) sendUnframed(w http.ResponseWriter, streamID, id, version string, lastEvent int) {
	body, contentType := plainBody(id), "text/plain"
	if s.service == "llm" {
		body, contentType = "", "text/event-stream"
		for event := lastEvent + 1; event <= streamEventCount; event++ {
			body += streamEvent(streamID, event, version)
		}
	}
	w.Header().Set("Content-Type", contentType)
	head := rawHead(w, http.StatusOK)
	conn, _ := hijack(w)
	defer func() { _ = conn.Close() }()
	// A failed write means that the daemon has closed the connection.
	_, _ = io.WriteString(conn, head+body)
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
