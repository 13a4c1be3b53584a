// Package service is a stand-in for a backend server of a plain service, that is,
// one without model engines. Only packages of the testbench import it.
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

// Config holds the settings of one backend server of a plain service.
type Config struct {
	// Name is the VM's name.
	Name string
	// Service is the name of the service that the server belongs to.
	Service string
	// Workers is the number of requests that run at once. Default: 4.
	Workers int
	// NoLoadReport makes the server answer 404 to requests for the load report.
	NoLoadReport bool
	// LoadReportInterval is the time between two updates of the load report, and
	// so its greatest age. Default: 500ms.
	LoadReportInterval time.Duration
	// Log records the runs. Default: a log of its own.
	Log *standin.RunLog
}

const (
	defaultWorkers            = 4
	defaultLoadReportInterval = 500 * time.Millisecond
	maxBodyBytes              = 64 << 20
)

// Service is one running backend server. A request's query gives its run time in
// milliseconds as "ms" (default: 1) and may give the test's workspace and operation
// as "workspace" and "operation".
type Service struct {
	*standin.Server
	standin.Faults

	config Config
	slots  *standin.Slots
	ctx    context.Context
	cancel context.CancelFunc

	mu             sync.Mutex
	slowdownFactor float64
	lastAnsweredID string
}

// Answer is the JSON body of an answer. It describes the request that was run.
type Answer struct {
	Operation string `json:"operation"`
	RequestID string `json:"requestID"`
	Server    string `json:"server"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	BodyBytes int    `json:"bodyBytes"`
}

// Start starts a backend server on a free loopback port.
func Start(config Config) (*Service, error) {
	config.setDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	service := &Service{
		config:         config,
		slots:          standin.NewSlots(config.Workers),
		ctx:            ctx,
		cancel:         cancel,
		slowdownFactor: 1,
	}
	server, err := standin.Start(http.HandlerFunc(service.serve))
	if err != nil {
		cancel()
		return nil, err
	}
	service.Server = server
	go service.slots.RefreshReportEvery(ctx, config.LoadReportInterval)
	return service, nil
}

func (c *Config) setDefaults() {
	if c.Workers == 0 {
		c.Workers = defaultWorkers
	}
	if c.LoadReportInterval == 0 {
		c.LoadReportInterval = defaultLoadReportInterval
	}
	if c.Log == nil {
		c.Log = &standin.RunLog{}
	}
}

// SetSlowdown sets the factor by which the run times of later requests are
// multiplied.
func (s *Service) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdownFactor = factor
}

// SetLeaving sets the leaving flag of the load report. The server still accepts
// requests.
func (s *Service) SetLeaving(leaving bool) {
	s.slots.SetLeaving(leaving)
}

// Log returns the log of the server's runs.
func (s *Service) Log() *standin.RunLog {
	return s.config.Log
}

// Close stops the server, cancels its runs and closes its connections.
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	if fault.Kind == standin.FaultSilent {
		<-r.Context().Done()
		return
	}
	s.runRequest(w, r, body, fault)
}

func (s *Service) serveLoad(w http.ResponseWriter) {
	if s.config.NoLoadReport {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	standin.WriteJSON(w, s.slots.Report())
}

// runRequest runs the request and answers it. The run goes on to its end even if
// the connection breaks.
func (s *Service) runRequest(w http.ResponseWriter, r *http.Request, body []byte, fault standin.Fault) {
	runRecord := runRecord(r, body, s.config)
	recorder := s.config.Log.RecordArrival(runRecord)
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.execute(recorder, s.runTime(r))
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
	w.Header().Set(standin.HeaderRequestID, s.responseRequestID(runRecord.RequestID, fault))
	answer, _ := json.Marshal(Answer{
		Operation: runRecord.Operation,
		RequestID: runRecord.RequestID,
		Server:    s.config.Name,
		Method:    r.Method,
		Path:      r.URL.Path,
		BodyBytes: len(body),
	})
	standin.WriteBodyWithFault(r.Context(), w, answer, fault)
}

// execute waits for a slot, holds it for runTime and records the run.
func (s *Service) execute(recorder *standin.RunRecorder, runTime time.Duration) {
	if err := s.slots.Acquire(s.ctx); err != nil {
		recorder.RecordEnd(time.Now(), standin.RunCancelled, 0)
		return
	}
	defer s.slots.Release()
	start := time.Now()
	recorder.RecordStart(start)
	timer := time.NewTimer(runTime)
	defer timer.Stop()
	outcome := standin.RunCompleted
	select {
	case <-timer.C:
	case <-s.ctx.Done():
		outcome = standin.RunCancelled
	}
	now := time.Now()
	recorder.RecordEnd(now, outcome, float64(now.Sub(start))/float64(time.Millisecond))
}

func (s *Service) runTime(r *http.Request) time.Duration {
	milliseconds, err := strconv.ParseFloat(r.URL.Query().Get("ms"), 64)
	if err != nil {
		milliseconds = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(milliseconds * s.slowdownFactor * float64(time.Millisecond))
}

// responseRequestID returns the request ID that the answer names: id, or another
// one for FaultWrongRequestID. It stores id as the last answered one.
func (s *Service) responseRequestID(id string, fault standin.Fault) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	previousID := s.lastAnsweredID
	s.lastAnsweredID = id
	if fault.Kind != standin.FaultWrongRequestID {
		return id
	}
	if previousID == "" || previousID == id {
		return "another-request"
	}
	return previousID
}

func runRecord(r *http.Request, body []byte, config Config) standin.Run {
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
