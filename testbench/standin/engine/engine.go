// Package engine is a stand-in for a model engine with continuous batching, which
// admits requests in the order of arrival. Only packages of the testbench import
// it.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hawthornstream/testbench/standin"
)

// Config holds the settings of one engine.
type Config struct {
	// Name is the VM's name.
	Name string
	// Service is the name of the service, that is, the model that it serves.
	Service string
	// BatchSize is the number of requests that run at once. Default: 8.
	BatchSize int
	// TokensPerSecond is the generation rate of each running request.
	// Default: 100.
	TokensPerSecond float64
	// FirstTokenDelay is the time from getting a slot to the first token.
	FirstTokenDelay time.Duration
	// ResumeWindow is how long a run goes on after its last reader has left
	// before it is cancelled, and how long a run can be resumed after its end.
	// Default: 5s.
	ResumeWindow time.Duration
	// LoadReportInterval is the time between two updates of the load report, and
	// so its greatest age. Default: 500ms.
	LoadReportInterval time.Duration
	// Log records the runs. Default: a log of its own.
	Log *standin.RunLog
}

const (
	defaultBatchSize          = 8
	defaultTokensPerSecond    = 100
	defaultResumeWindow       = 5 * time.Second
	defaultLoadReportInterval = 500 * time.Millisecond
)

// Engine is one running engine.
type Engine struct {
	*standin.Server
	standin.Faults

	config Config
	slots  *standin.Slots
	ctx    context.Context
	cancel context.CancelFunc

	mu              sync.Mutex
	runs            map[string]*run
	tokensPerSecond float64
	resumable       bool
	lastAnsweredID  string
}

// Start starts an engine on a free loopback port.
func Start(config Config) (*Engine, error) {
	config.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	engine := &Engine{
		config:          config,
		slots:           standin.NewSlots(config.BatchSize),
		ctx:             ctx,
		cancel:          cancel,
		runs:            make(map[string]*run),
		tokensPerSecond: config.TokensPerSecond,
		resumable:       true,
	}
	server, err := standin.Start(engine.handler())
	if err != nil {
		cancel()
		return nil, err
	}
	engine.Server = server
	go engine.slots.RefreshReportEvery(ctx, config.LoadReportInterval)
	return engine, nil
}

func (c *Config) setDefaults() {
	if c.BatchSize == 0 {
		c.BatchSize = defaultBatchSize
	}
	if c.TokensPerSecond == 0 {
		c.TokensPerSecond = defaultTokensPerSecond
	}
	if c.ResumeWindow == 0 {
		c.ResumeWindow = defaultResumeWindow
	}
	if c.LoadReportInterval == 0 {
		c.LoadReportInterval = defaultLoadReportInterval
	}
	if c.Log == nil {
		c.Log = &standin.RunLog{}
	}
}

// SetTokensPerSecond sets the generation rate of each running request, also of
// those that have started.
func (e *Engine) SetTokensPerSecond(rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokensPerSecond = rate
}

// SetLeaving sets the leaving flag of the load report. The engine still accepts
// requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.slots.SetLeaving(leaving)
}

// SetResumable sets whether streams can be resumed. If not, the engine answers
// 404 to every request to resume one.
func (e *Engine) SetResumable(resumable bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resumable = resumable
}

// Log returns the log of the engine's runs.
func (e *Engine) Log() *standin.RunLog {
	return e.config.Log
}

// Close stops the engine, cancels its runs and closes its connections.
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
		standin.WriteJSON(w, e.slots.Report())
	})
	return mux
}

func (e *Engine) currentTokensPerSecond() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokensPerSecond
}

func (e *Engine) findResumable(id string) (*run, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, ok := e.runs[id]
	return found, ok && e.resumable
}

// previousAnsweredID returns the ID of the request answered before id, or a
// made-up one if there is none that differs, and stores id as the last one.
func (e *Engine) previousAnsweredID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	other := e.lastAnsweredID
	if other == "" || other == id {
		other = "another-request"
	}
	e.lastAnsweredID = id
	return other
}
