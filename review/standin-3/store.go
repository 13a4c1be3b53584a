package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// metadata, object and event are the store's messages.
type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision,omitempty"`
	Created    int64    `json:"created,omitempty"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type event struct {
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
	kind      string
	revision  uint64
}

// store is a sound store of the platform. It keeps its whole history.
type store struct {
	address string
	http    *http.Server

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

func startStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), revision: 1,
		objects: make(map[string]map[string]object), changed: make(chan struct{}),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

func (s *store) close() { _ = s.http.Close() }

// set creates or replaces an object.
func (s *store) set(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, encoded)
}

func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(kind, name)
}

func (s *store) write(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	known, exists := s.objects[kind][name]
	if exists && string(known.Spec) == string(spec) {
		return known
	}
	s.revision++
	written := object{
		Metadata: metadata{Name: name, Revision: s.revision, Created: 1, Finalizers: []string{}}, Spec: spec, Status: json.RawMessage("null"),
	}
	s.objects[kind][name] = written
	s.record(event{Object: written, kind: kind, revision: s.revision})
	return written
}

func (s *store) drop(kind, name string) {
	known, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	delete(s.objects[kind], name)
	s.record(event{Object: known, Tombstone: true, kind: kind, revision: s.revision})
}

func (s *store) record(e event) {
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	name = strings.TrimSuffix(name, "/status")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.mu.Lock()
		found, exists := s.objects[kind][name]
		s.mu.Unlock()
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, http.StatusOK, found)
	case r.Method == http.MethodGet:
		s.list(w, r, kind)
	default:
		s.change(w, r, kind, name)
	}
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	s.mu.Lock()
	entries := []object{}
	for name, o := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			entries = append(entries, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"entries": entries, "hasMore": false, "currentRev": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events, revision, changed := []event{}, s.revision, s.changed
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": events, "currentRev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// change serves POST, PUT and DELETE.
func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	var sent object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&sent); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = sent.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists, sent.Metadata.Revision != 0 && exists && sent.Metadata.Revision != known.Metadata.Revision:
		reply(w, http.StatusConflict, known)
	case r.Method == http.MethodPost, r.Method == http.MethodPut && exists:
		reply(w, http.StatusOK, s.write(kind, name, sent.Spec))
	case r.Method == http.MethodDelete && exists:
		s.drop(kind, name)
		reply(w, http.StatusOK, known)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprint("a reply can't be encoded: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
