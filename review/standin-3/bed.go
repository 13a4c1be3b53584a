package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	engineService = "engines"
	plainService  = "registry"
	routeHost     = "site.example"
	apiKey        = "key-of-tenant-1"
	tenant        = "tenant-1"
)

// record is what was sent, answered and run. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// lines limits the file; further lines are counted.
	lines, dropped int
	// runsOf has the workers that ran each request.
	runsOf map[string][]string
}

const maxRecordLines = 4000

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now(), runsOf: make(map[string][]string)}, nil
}

func (r *record) write(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked(format, arguments...)
}

func (r *record) writeLocked(format string, arguments ...any) {
	if r.lines >= maxRecordLines {
		r.dropped++
		return
	}
	r.lines++
	_, _ = fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// say writes a line whatever the limit, also to the standard output.
func (r *record) say(format string, arguments ...any) {
	line := fmt.Sprintf("%9.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, arguments...))
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprint(r.file, line)
	fmt.Print(line)
}

func (r *record) ran(worker, id string, request *http.Request, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runsOf[id] = append(r.runsOf[id], worker)
	r.writeLocked("run     %s at %s: %s %s, %d bytes", id, worker, request.Method, request.RequestURI, len(body))
}

// ranAt returns the workers that ran a request.
func (r *record) ranAt(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runsOf[id]
}

func (r *record) close() {
	if r.dropped > 0 {
		_, _ = fmt.Fprintf(r.file, "%d further lines were left out\n", r.dropped)
	}
	_ = r.file.Close()
}

// bed is a small deployment.
type bed struct {
	record  *record
	folder  string
	store   *store
	workers []*worker
	daemons []*daemon
	// trouble is false for the run without the disruption.
	trouble bool
}

func newBed(recordFolder string) (*bed, error) {
	rec, err := newRecord(filepath.Join(recordFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	if err != nil {
		return nil, err
	}
	return &bed{record: rec, folder: folder, store: s, trouble: os.Getenv("TROUBLE") != "0"}, nil
}

// close ends all processes that the test started.
func (b *bed) close() {
	for _, d := range b.daemons {
		d.kill()
	}
	for _, w := range b.workers {
		w.close()
	}
	b.store.close()
	b.record.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.folder)
	} else {
		fmt.Println(b.folder)
	}
}

func (b *bed) addWorker(name, service, zone string) (*worker, error) {
	w, err := startWorker(name, service, zone, b.record)
	if err != nil {
		return nil, err
	}
	b.workers = append(b.workers, w)
	b.store.set("servers", name, w.entry("ready"))
	return w, nil
}

// startDaemons starts one daemon in each of the given zones and waits until they are ready.
func (b *bed) startDaemons(inZones ...string) error {
	for i, zone := range inZones {
		d, err := newDaemon(b.folder, fmt.Sprintf("front-%s-%d", zone, i+1), zone, b.store)
		if err != nil {
			return err
		}
		b.daemons = append(b.daemons, d)
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range b.daemons {
		if err := d.waitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

// route is a route of the configuration with the figures of the users' sheets.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": routeHost, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": 15000,
		"targetLatencyMs": 500, "priority": 1, "maxAttempts": 2, "public": false,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// configuration has a resumable and another stream route, and a route of each other kind.
func configuration(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-draft", "/draft/", "stream", engineService, map[string]any{
				"resumable": true, "sticky": true, "targetGapMs": 300, "timeoutMs": 15000,
			}),
			route("r-query", "/query/", "stream", engineService, map[string]any{
				"resumable": false, "sticky": true, "targetGapMs": 300, "maxAttempts": 1,
			}),
			route("r-register", "/register/", "non_idempotent", plainService, map[string]any{"maxAttempts": 1, "timeoutMs": 1500, "targetLatencyMs": 300}),
			route("r-lookup", "/lookup/", "idempotent", plainService, map[string]any{"timeoutMs": 1500, "targetLatencyMs": 300}),
		},
		"services": []any{
			map[string]any{
				"name": engineService, "healthPath": "/health", "maxConns": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kvCapacity": 708276, "kvTokenBytes": 18432, "linkMbps": 280000.0, "moves": true, "backups": true,
					"stride": 5, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": plainService, "healthPath": "/health", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{
			"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 380000,
		},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}, "priority": 1}},
	}
}
