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
	objectPathPrefix    = "/v1/objects/"
	maxValueBytes       = 1 << 20
	maxWatchTimeout     = 60 * time.Second
	defaultWatchTimeout = 30 * time.Second
)

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, ok := strings.CutPrefix(r.URL.Path, objectPathPrefix)
	if !ok || name == "" {
		http.NotFound(w, r)
		return
	}
	s.countRequest(r)
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	if !s.checkAvailable(w, r) {
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

func (s *Store) countRequest(r *http.Request) {
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

// checkAvailable delays the request by the latency and reports whether the store
// is up. If it is down, it answers 503; if it is silent, it waits until the caller
// disconnects.
func (s *Store) checkAvailable(w http.ResponseWriter, r *http.Request) bool {
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
		timeout = defaultWatchTimeout
	}
	ctx, cancel := context.WithTimeout(r.Context(), min(timeout, maxWatchTimeout))
	defer cancel()
	found, ok := s.waitForVersion(ctx, name, after)
	if ok {
		writeObject(w, found)
		return
	}
	if !s.checkAvailable(w, r) {
		return
	}
	w.WriteHeader(http.StatusNotModified)
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, name string, value []byte) {
	if len(value) > maxValueBytes {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	expectedVersion, ok := parseCondition(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.objects[name].version != expectedVersion {
		s.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	version := s.set(name, value)
	loseAnswer := s.consumeLostAnswer()
	s.mu.Unlock()
	if loseAnswer {
		standin.ResetConnection(w)
		return
	}
	w.Header().Set("ETag", entityTag(version))
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, name string) {
	expectedVersion, ok := parseCondition(r)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	status := s.deleteIfVersion(name, expectedVersion)
	loseAnswer := status == http.StatusNoContent && s.consumeLostAnswer()
	s.mu.Unlock()
	if loseAnswer {
		standin.ResetConnection(w)
		return
	}
	w.WriteHeader(status)
}

// deleteIfVersion deletes the object if it has the expected version, and returns
// the HTTP status of the answer. The caller holds s.mu.
func (s *Store) deleteIfVersion(name string, expectedVersion uint64) int {
	found := s.objects[name].version
	if found == 0 {
		return http.StatusNotFound
	}
	if found != expectedVersion {
		return http.StatusPreconditionFailed
	}
	delete(s.objects, name)
	s.notifyWatches()
	return http.StatusNoContent
}

// consumeLostAnswer reports whether the answer to a write must be lost, and counts
// it. The caller holds s.mu.
func (s *Store) consumeLostAnswer() bool {
	if s.writeAnswersToLose == 0 {
		return false
	}
	s.writeAnswersToLose--
	return true
}

// parseCondition returns the version that the headers of a write require; zero: the
// object must not exist. It returns false without a valid condition.
func parseCondition(r *http.Request) (uint64, bool) {
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
