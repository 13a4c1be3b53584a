package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a back end. Unless handle is set, it is a sound one.
type worker struct {
	name, service, zone, address string
	born                         time.Time
	http                         *http.Server
	record                       *record
	// events and gap describe the streams, work the time that any other request takes.
	events int
	gap    time.Duration
	work   time.Duration
	// tokensPerMs is how fast an engine reads prompts, one after the other; zero for at once.
	tokensPerMs float64
	reading     sync.Mutex
	// handle answers a request in place of the worker if it returns true.
	handle func(w http.ResponseWriter, r *http.Request, body []byte) bool
	runs   atomic.Int64
}

func startWorker(name, service, zone string, rec *record) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		name: name, service: service, zone: zone, address: listener.Addr().String(), born: time.Now(), record: rec,
		events: 10, gap: 20 * time.Millisecond, work: 20 * time.Millisecond,
	}
	w.http = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.http.Serve(listener) }()
	return w, nil
}

// entry is the worker's entry in the store.
func (w *worker) entry(state string) map[string]any {
	entry := map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 64, "state": state,
		"coldLeftMs": 0, "sequence": 1, "born": w.born.UnixMilli(),
	}
	if w.service == engineService {
		entry["stage"] = "both"
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return entry
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/report":
		out.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(out, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,`+
			`"queued":0,"active":0,"kvUsed":0,"kvTotal":700000,"handles":0,"born":%d}`, w.born.UnixMilli())
		return
	case "/health":
		out.Header().Set("Instance-Id", w.name)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get("Attempt-Id")
	out.Header().Set("Attempt-Id", id)
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.name {
		out.Header().Set("Instance-Id", w.name)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.runs.Add(1)
	w.record.ran(w.name, id, r, body)
	if w.handle != nil && w.handle(out, r, body) {
		return
	}
	out.Header().Set("Response-Seal", w.seal(id))
	if r.Header.Get("Token-Count") != "" {
		w.stream(out, r)
		return
	}
	time.Sleep(w.work)
	_, _ = io.WriteString(out, "answer of "+id)
}

func (w *worker) seal(id string) string { return w.name + "." + id }

// stream sends the events after Last-Event-Id.
func (w *worker) stream(out http.ResponseWriter, r *http.Request) {
	out.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.read(r)
	for id := last + 1; id <= w.events; id++ {
		select {
		case <-time.After(w.gap):
		case <-r.Context().Done():
			return
		}
		_, _ = fmt.Fprintf(out, "id: %d\ndata: piece %d of %s\n\n", id, id, r.Header.Get("Attempt-Id"))
		out.(http.Flusher).Flush()
	}
}

// read takes the time that the engine needs for the prompt.
func (w *worker) read(r *http.Request) {
	if w.tokensPerMs == 0 {
		return
	}
	input, _, _ := strings.Cut(r.Header.Get("Token-Count"), ",")
	tokens, _ := strconv.ParseFloat(input, 64)
	w.reading.Lock()
	defer w.reading.Unlock()
	if r.Context().Err() == nil {
		time.Sleep(time.Duration(tokens / w.tokensPerMs * float64(time.Millisecond)))
	}
}

func (w *worker) close() { _ = w.http.Close() }
