package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type change struct {
	kind      string
	revision  uint64
	tombstone bool
	object    object
}

// store is a stand-in of the platform's metadata store: objects by kind and name, one
// revision counter, lists, watches and conditional writes.
type store struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	changes  []change
	changed  chan struct{}
}

func startStore(host string) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), revision: 1,
		objects: make(map[string]map[string]object), changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go s.server.Serve(listener)
	return s, nil
}

func (s *store) close() { s.server.Close() }

// set creates or replaces an object.
func (s *store) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(kind, name, data)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLocked(kind, name)
}

func (s *store) removeLocked(kind, name string) {
	found, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	found.Metadata.Revision = s.revision
	s.recordLocked(change{kind: kind, revision: s.revision, tombstone: true, object: found})
}

func (s *store) writeLocked(kind, name string, spec json.RawMessage) object {
	found, ok := s.objects[kind][name]
	if ok && bytes.Equal(found.Spec, spec) {
		return found
	}
	s.revision++
	if !ok {
		found = object{Metadata: metadata{Name: name, Created: s.revision, Finalizers: []string{}}}
	}
	found.Metadata.Revision, found.Spec = s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	s.objects[kind][name] = found
	s.recordLocked(change{kind: kind, revision: s.revision, object: found})
	return found
}

func (s *store) recordLocked(c change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, r.URL.Query().Get("after"))
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.put(w, r, kind, name)
	case r.Method == http.MethodDelete:
		s.mu.Lock()
		s.removeLocked(kind, name)
		s.mu.Unlock()
		reply(w, http.StatusOK, struct{}{})
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// pageSize is the number of entries of one page of a list.
const pageSize = 500

func (s *store) list(w http.ResponseWriter, kind, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > pageSize
	entries := []object{}
	for _, name := range names[:min(len(names), pageSize)] {
		entries = append(entries, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": more, "currentRev": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.objects[kind][name]
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		changed, revision := s.changed, s.revision
		events := []map[string]any{}
		for _, c := range s.changes {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"object": c.object, "tombstone": c.tombstone})
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	data, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(data, &body) != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	found, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists,
		exists && body.Metadata.Revision != 0 && body.Metadata.Revision != found.Metadata.Revision:
		reply(w, http.StatusConflict, found)
	case r.Method == http.MethodPut && !exists:
		reply(w, http.StatusNotFound, struct{}{})
	default:
		reply(w, http.StatusOK, s.writeLocked(kind, name, body.Spec))
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprint("reply: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
