package objectstore

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"hawthornstream/testbench/standin"
)

const (
	prefix       = "/v1/objects/"
	maxValue     = 1 << 20
	maxWatch     = 60 * time.Second
	defaultWatch = 30 * time.Second
)

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.Path, prefix)
	if !ok || name == "" {
		http.NotFound(w, r)
		return
	}
	s.count(r)
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil {
		return
	}
	if !s.available(w, r) {
		return
	}
	switch r.Method {
	case http.MethodGet:
		s.serveGet(w, r, name)
	case http.MethodPut:
		s.servePut(w, r, name, value)
	case http.MethodDelete:
		s.serveDelete(w, r, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Store) count(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method != http.MethodGet:
		s.counts.Writes++
	case r.URL.Query().Get("watch") == "true":
		s.counts.Watches++
	default:
		s.counts.Reads++
	}
}

// available waits for the latency and answers for a store that is down.
func (s *Store) available(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	latency, down, silent := s.latency, s.down, s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return false
	}
	if latency > 0 {
		select {
		case <-time.After(latency):
		case <-r.Context().Done():
			return false
		}
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, name string) {
	if r.URL.Query().Get("watch") == "true" {
		s.serveWatch(w, r, name)
		return
	}
	value, version := s.Get(name)
	if version == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeObject(w, object{version: version, value: value})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, name string) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil && query.Get("after") != "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout, err := time.ParseDuration(query.Get("timeout"))
	if err != nil || timeout <= 0 {
		timeout = defaultWatch
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(timeout, maxWatch))
	defer cancel()
	found, ok := s.await(ctx, name, after)
	if ok {
		writeObject(w, found)
		return
	}
	if !s.available(w, r) {
		return
	}
	w.WriteHeader(http.StatusNotModified)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, name string, value []byte) {
	if len(value) > maxValue {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expected, ok := condition(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.objects[name].version != expected {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	version := s.set(name, value)
	lost := s.takeLost()
	s.mu.Unlock()
	if lost {
		standin.ResetConnection(w)
		return
	}
	w.Header().Set("ETag", entityTag(version))
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, name string) {
	expected, ok := condition(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := s.remove(name, expected)
	lost := status == http.StatusNoContent && s.takeLost()
	s.mu.Unlock()
	if lost {
		standin.ResetConnection(w)
		return
	}
	w.WriteHeader(status)
}

func (s *Store) remove(name string, expected uint64) int {
	found := s.objects[name].version
	if found == 0 {
		return http.StatusNotFound
	}
	if found != expected {
		return http.StatusPreconditionFailed
	}
	delete(s.objects, name)
	s.wake()
	return http.StatusNoContent
}

func (s *Store) takeLost() bool {
	if s.lose == 0 {
		return false
	}
	s.lose--
	return true
}

// condition returns the version that a write expects; zero: none.
func condition(r *http.Request) (uint64, bool) {
	if r.Method == http.MethodPut && r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	return version, err == nil && version > 0
}

func writeObject(w http.ResponseWriter, found object) {
	w.Header().Set("ETag", entityTag(found.version))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(found.value)))
	_, _ = w.Write(found.value)
}

func entityTag(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}
