package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hawthornstream/platform/platformtest"
)

// streamEvents is the length of a whole stream.
const streamEvents = 8

// wantBody is the whole answer of a kind of call.
func wantBody(k kind, id string) string {
	if !k.stream {
		return "answer to " + id
	}
	body := ""
	for event := 1; event <= streamEvents; event++ {
		body += streamEvent(id, event)
	}
	return body
}

func streamEvent(id string, event int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", event, id, event)
}

// trouble is how a backend server behaves.
type trouble int32

// The ways of a backend server.
const (
	sound trouble = iota
	// losing runs requests and breaks the connection before the answer.
	losing
	// failing answers with an error of its own.
	failing
	// cutting breaks off its answers, also inside an event.
	cutting
	// full declines requests.
	full
	// hanging answers nothing.
	hanging
	troubles
)

// backendServer is a backend server that tells the ledger what it runs.
type backendServer struct {
	*platformtest.Server
	service, zone string
	ledger        *ledger
	ways          atomic.Int32
	stop          chan struct{}
}

func newBackendServer(name, service, zone string, l *ledger) *backendServer {
	s := &backendServer{
		Server: platformtest.NewServer(name), service: service, zone: zone, ledger: l, stop: make(chan struct{}),
	}
	s.SetHandler(s.answer)
	return s
}

// Close ends the server and what hangs in it.
func (s *backendServer) Close() {
	close(s.stop)
	s.CloseClientConnections()
	s.Server.Close()
}

// behave changes the server's ways; half of the requests meet them.
func (s *backendServer) behave(ways trouble) {
	s.ways.Store(int32(ways))
}

func (s *backendServer) answer(w http.ResponseWriter, r *http.Request) {
	ways := trouble(s.ways.Load())
	if rand.IntN(2) == 0 {
		ways = sound
	}
	if ways == full {
		platformtest.Decline(w)
		return
	}
	id, last := platformtest.AttemptID(r), platformtest.LastEventID(r)
	s.ledger.ran(s.Name, s.service, id, platformtest.Workspace(r), last > 0)
	time.Sleep(time.Duration(rand.IntN(20)) * time.Millisecond)
	switch ways {
	case losing:
		panic(http.ErrAbortHandler)
	case failing:
		w.WriteHeader(http.StatusInternalServerError)
		return
	case hanging:
		select {
		case <-r.Context().Done():
		case <-s.stop:
		}
		panic(http.ErrAbortHandler)
	}
	if s.service == "llm" {
		s.stream(w, id, last, ways == cutting)
		return
	}
	body := "answer to " + id
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if ways == cutting {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

func (s *backendServer) stream(w http.ResponseWriter, id string, from int, cut bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	end := streamEvents
	if cut {
		end = from + rand.IntN(streamEvents-from+1)
	}
	for event := from + 1; event <= end; event++ {
		_, _ = io.WriteString(w, streamEvent(id, event))
		w.(http.Flusher).Flush()
		time.Sleep(10 * time.Millisecond)
	}
	if cut {
		_, _ = io.WriteString(w, "id: 99\nda")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}
