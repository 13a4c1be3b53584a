package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is what a worker saw of one request.
type run struct {
	At time.Time
	// Target is the request line's, and Path the path and query that the worker runs.
	Worker, ID, Method, Target, Path, Body string
	Tenant                                 string
	Bytes                                  int
	// Ended is true once the worker has written its whole answer.
	Ended bool
}

// worker is a stand-in of a worker of a plain or an engine service. It answers after
// work, or with a stream of events if the path contains "/stream/".
type worker struct {
	name, service, zone, address string
	server                       *http.Server
	born                         time.Time
	work, pause                  time.Duration
	events                       int
	slots                        chan struct{}

	mu   sync.Mutex
	runs []*run
	// intercept may answer a request in place of the worker; it reports whether it did.
	intercept func(w http.ResponseWriter, r *http.Request, body []byte) bool
}

func startWorker(host, name, service, zone string, slots int, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{
		name: name, service: service, zone: zone, address: listener.Addr().String(), born: time.Now(),
		work: work, slots: make(chan struct{}, slots),
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go w.server.Serve(listener)
	return w, nil
}

func (w *worker) close() { w.server.Close() }

// spec is what the worker writes to the store.
func (w *worker) spec(state string) map[string]any {
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": cap(w.slots),
		"state": state, "coldLeftMs": 0, "sequence": 1, "born": w.born.UnixMilli(),
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Attempt-Id")
	rw.Header().Set("Attempt-Id", id)
	if r.URL.Path == "/health" {
		rw.Header().Set("Instance-Id", w.name)
		return
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.name {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	intercept := w.intercept
	w.mu.Unlock()
	if intercept != nil && intercept(rw, r, body) {
		return
	}
	select {
	case w.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-w.slots }()
	digest := sha256.Sum256(body)
	seen := &run{
		At: time.Now(), Worker: w.name, ID: id, Method: r.Method, Target: r.RequestURI, Path: r.URL.RequestURI(),
		Body: hex.EncodeToString(digest[:8]), Tenant: r.Header.Get("Tenant"), Bytes: len(body),
	}
	w.mu.Lock()
	w.runs = append(w.runs, seen)
	w.mu.Unlock()
	rw.Header().Set("Response-Seal", "seal."+w.name+"."+id)
	if w.events > 0 {
		w.stream(rw, r, seen)
		return
	}
	select {
	case <-time.After(w.work):
	case <-r.Context().Done():
		return
	}
	answer := "answer of " + w.name + " to " + id
	rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if _, err := io.WriteString(rw, answer); err == nil {
		w.mu.Lock()
		seen.Ended = true
		w.mu.Unlock()
	}
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, seen *run) {
	rw.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for id := last + 1; id <= w.events; id++ {
		select {
		case <-time.After(w.pause):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: piece %d of %s\n\n", id, id, seen.ID); err != nil {
			return
		}
		rw.(http.Flusher).Flush()
	}
	w.mu.Lock()
	seen.Ended = true
	w.mu.Unlock()
}

// allRuns returns a copy of the runs of the workers.
func allRuns(workers []*worker) []run {
	var runs []run
	for _, w := range workers {
		w.mu.Lock()
		for _, r := range w.runs {
			runs = append(runs, *r)
		}
		w.mu.Unlock()
	}
	return runs
}
