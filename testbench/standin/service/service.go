// Package service is a stand-in of a plain service. Only packages of the
// testbench import it.
package service

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hawthornstream/testbench/standin"
)

// Config describes one backend server of a plain service.
type Config struct {
	// Name is the VM's name.
	Name string
	// Service is the service that it belongs to.
	Service string
	// Workers is the number of requests that run at once. Default: 4.
	Workers int
	// NoLoadReport makes the server answer 404 to the load report.
	NoLoadReport bool
	// LoadLag is the age of the load report. Default: 500ms.
	LoadLag time.Duration
	// Log records the runs.
	Log *standin.RunLog
}

const (
	defaultWorkers = 4
	defaultLoadLag = 500 * time.Millisecond
	maxBody        = 64 << 20
)

// Service is the stand-in. A request's query says its run time in "ms", and may
// carry the tests' marks in "workspace" and "operation".
type Service struct {
	*standin.Server
	standin.Faults

	config Config
	places *standin.Slots
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	factor   float64
	answered string
}

// Answer is the body of a whole answer.
type Answer struct {
	Operation string `json:"operation"`
	RequestID string `json:"requestID"`
	Server    string `json:"server"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int    `json:"bodyBytes"`
}

// Start serves one backend server.
func Start(config Config) (*Service, error) {
	config.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	service := &Service{
		config: config,
		places: standin.NewSlots(config.Workers),
		ctx:    ctx,
		cancel: cancel,
		factor: 1,
	}
	server, err := standin.Start(http.HandlerFunc(service.serve))
	if err != nil {
		cancel()
		return nil, err
	}
	service.Server = server
	go service.places.RefreshReportEvery(ctx, config.LoadLag)
	return service, nil
}

func (c *Config) setDefaults() {
	if c.Workers == 0 {
		c.Workers = defaultWorkers
	}
	if c.LoadLag == 0 {
		c.LoadLag = defaultLoadLag
	}
	if c.Log == nil {
		c.Log = &standin.RunLog{}
	}
}

// SetSlowdown multiplies the run times of later requests.
func (s *Service) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.factor = factor
}

// SetLeaving sets the leaving flag of the load report. The server goes on
// taking requests.
func (s *Service) SetLeaving(leaving bool) {
	s.places.SetLeaving(leaving)
}

// Log returns the log that records the server's runs.
func (s *Service) Log() *standin.RunLog {
	return s.config.Log
}

// Close ends the server, its runs and its connections.
func (s *Service) Close() {
	s.cancel()
	s.Server.Close()
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" && r.Method == http.MethodGet {
		s.serveLoad(w)
		return
	}
	fault := s.NextFault()
	if standin.InjectFaultBeforeRun(w, r, fault) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	if fault.Kind == standin.FaultSilent {
		<-r.Context().Done()
		return
	}
	s.run(w, r, body, fault)
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	if s.config.NoLoadReport {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, s.places.Report())
}

// run carries the request out to its end, also when the connection breaks.
func (s *Service) run(w http.ResponseWriter, r *http.Request, body []byte, fault standin.Fault) {
	record := record(r, body, s.config)
	entry := s.config.Log.RecordArrival(record)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.work(entry, s.runTime(r))
	}()
	switch fault.Kind {
	case standin.FaultResetAfter:
		standin.ResetConnection(w)
		return
	case standin.FaultSilentRan:
		<-r.Context().Done()
		return
	}
	select {
	case <-done:
	case <-r.Context().Done():
		return
	}
	w.Header().Set(standin.HeaderRequestID, s.answerID(record.RequestID, fault))
	answer, _ := json.Marshal(Answer{
		Operation: record.Operation,
		RequestID: record.RequestID,
		Server:    s.config.Name,
		Method:    r.Method,
		Path:      r.URL.Path,
		BodyBytes: len(body),
	})
	standin.WriteBodyWithFault(r.Context(), w, answer, fault)
}

func (s *Service) work(entry *standin.RunRecorder, runTime time.Duration) {
	if err := s.places.Acquire(s.ctx); err != nil {
		entry.RecordEnd(time.Now(), standin.RunCancelled, 0)
		return
	}
	defer s.places.Release()
	start := time.Now()
	entry.RecordStart(start)
	timer := time.NewTimer(runTime)
	defer timer.Stop()
	end := standin.RunCompleted
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		end = standin.RunCancelled
	}
	now := time.Now()
	entry.RecordEnd(now, end, float64(now.Sub(start))/float64(time.Millisecond))
}

func (s *Service) runTime(r *http.Request) time.Duration {
	milliseconds, err := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
	if err != nil {
		milliseconds = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(milliseconds * s.factor * float64(time.Millisecond))
}

// answerID returns the request id that the answer names, and remembers id.
func (s *Service) answerID(id string, fault standin.Fault) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	other := s.answered
	s.answered = id
	if fault.Kind != standin.FaultWrongRequestID {
		return id
	}
	if other == "" || other == id {
		return "another-request"
	}
	return other
}

func record(r *http.Request, body []byte, config Config) standin.Run {
	digest := sha256.Sum256(body)
	query := r.URL.Query()
	return standin.Run{
		Server:         config.Name,
		Service:        config.Service,
		RequestID:      r.Header.Get(standin.HeaderRequestID),
		Workspace:      query.Get("workspace"),
		Operation:      query.Get("operation"),
		IdempotencyKey: r.Header.Get(standin.HeaderIdempotencyKey),
		BodyDigest:     hex.EncodeToString(digest[:]),
		ArrivedAt:      time.Now(),
	}
}
