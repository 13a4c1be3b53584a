// Package engine is a stand-in of a model engine that batches continuously and
// admits requests as they arrive. Only packages of the testbench import it.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hawthornstream/testbench/standin"
)

// Config describes one engine.
type Config struct {
	// Name is the VM's name.
	Name string
	// Service is the model that it serves.
	Service string
	// Batch is the number of requests that run at once. Default: 8.
	Batch int
	// TokensPerSecond is the speed of each running request. Default: 100.
	TokensPerSecond float64
	// FirstTokenAfter is the time from admission to the first token.
	FirstTokenAfter time.Duration
	// ResumeWindow is how long a streamed run goes on without a reader, and how
	// long a run can be resumed after its end. Default: 5s.
	ResumeWindow time.Duration
	// LoadLag is the age of the load report. Default: 500ms.
	LoadLag time.Duration
	// Log records the runs.
	Log *standin.RunLog
}

const (
	defaultBatch        = 8
	defaultTokenRate    = 100
	defaultResumeWindow = 5 * time.Second
	defaultLoadLag      = 500 * time.Millisecond
)

// Engine is the stand-in.
type Engine struct {
	*standin.Server
	standin.Faults

	config Config
	places *standin.Slots
	ctx    context.Context
	cancel context.CancelFunc

	mu        sync.Mutex
	runs      map[string]*run
	rate      float64
	resumable bool
	answered  string
}

// Start serves an engine.
func Start(config Config) (*Engine, error) {
	config.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	engine := &Engine{
		config:    config,
		places:    standin.NewSlots(config.Batch),
		ctx:       ctx,
		cancel:    cancel,
		runs:      make(map[string]*run),
		rate:      config.TokensPerSecond,
		resumable: true,
	}
	server, err := standin.Start(engine.handler())
	if err != nil {
		cancel()
		return nil, err
	}
	engine.Server = server
	go engine.places.RefreshReportEvery(ctx, config.LoadLag)
	return engine, nil
}

func (c *Config) setDefaults() {
	if c.Batch == 0 {
		c.Batch = defaultBatch
	}
	if c.TokensPerSecond == 0 {
		c.TokensPerSecond = defaultTokenRate
	}
	if c.ResumeWindow == 0 {
		c.ResumeWindow = defaultResumeWindow
	}
	if c.LoadLag == 0 {
		c.LoadLag = defaultLoadLag
	}
	if c.Log == nil {
		c.Log = &standin.RunLog{}
	}
}

// SetTokensPerSecond changes the speed of each running request.
func (e *Engine) SetTokensPerSecond(rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rate = rate
}

// SetLeaving sets the leaving flag of the load report. The engine goes on
// taking requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.places.SetLeaving(leaving)
}

// SetResumable makes the engine answer 404 to every resumption.
func (e *Engine) SetResumable(resumable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumable = resumable
}

// Log returns the log that records the engine's runs.
func (e *Engine) Log() *standin.RunLog {
	return e.config.Log
}

// Close ends the engine, its runs and its connections.
func (e *Engine) Close() {
	e.cancel()
	e.Server.Close()
}

func (e *Engine) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /v1/load", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, e.places.Report())
	})
	return mux
}

func (e *Engine) tokenRate() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rate
}

func (e *Engine) find(id string) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, ok := e.runs[id]
	return found, ok && e.resumable
}

// crossedID returns the id of an earlier request than id, and remembers id.
func (e *Engine) crossedID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := e.answered
	if other == "" || other == id {
		other = "another-request"
	}
	e.answered = id
	return other
}
