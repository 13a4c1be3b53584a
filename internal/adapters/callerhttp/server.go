// Package callerhttp serves callers over HTTP/1.1: it checks each request,
// hands it to the executor as a call, and answers with the relayed answer or a
// typed refusal. It is imported by wiring alone.
package callerhttp

import (
	"context"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/adapters/tlsfiles"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

const (
	// idleSlack is how much longer a connection without a request stays open
	// than callers are told.
	idleSlack = 2 * time.Second
	// filesForCallers is the part of the process's descriptors that callers'
	// connections may take; the rest is for backend servers, peers and files.
	filesForCallers = 0.6
	// memoryForCallers is the part of the process's memory that their connections
	// may take, at connectionMemory bytes each for buffers and stacks.
	memoryForCallers = 0.4
	connectionMemory = 24 << 10
	// stoppingRetryAfter is when a caller that met a stop should come back: the
	// balancer has another daemon for it.
	stoppingRetryAfter = 50 * time.Millisecond
	// headerSlack is how much a header may exceed its limit and still get a
	// typed refusal, in bytes.
	headerSlack = 64 << 10
)

// Server serves callers.
type Server struct {
	address       string
	keyPair       *settings.KeyPair
	limits        settings.Limits
	configuration ports.ConfigurationSource
	executor      ports.Executor
	dialect       Dialect
	refusals      *metrics.CounterVec
	logger        *log.Logger
	lines         *logging.Limiter
	scope         tally.Scope
	connections   *connectionGauge
	// keepAlive tells callers how long a connection without a request is kept.
	keepAlive string
	open      *openCalls
	pressure  *pressure
	announced atomic.Bool
	closing   atomic.Bool
	stopOnce  sync.Once
	http      *http.Server
}

// New returns a server that does not listen yet.
func New(
	s *settings.Settings,
	configuration ports.ConfigurationSource,
	executor ports.Executor,
	dialect Dialect,
	scope tally.Scope,
	logger *log.Logger,
) *Server {
	scope = scope.SubScope("callers")
	server := &Server{
		address:       s.Listen.Callers,
		keyPair:       s.TLS.Callers,
		limits:        s.Limits,
		configuration: configuration,
		executor:      executor,
		dialect:       dialect,
		refusals:      metrics.NewCounterVec(scope, "refusals", "reason", "run"),
		logger:        logger,
		lines:         logging.NewLimiter(logger),
		scope:         scope,
		open:          newOpenCalls(),
		pressure:      newPressure(s.Limits.ProcessorWait.Value(), scope, logger),
		connections:   newConnectionGauge(maxConnections(s.Limits), scope.Gauge("connections")),
		keepAlive:     fmt.Sprintf("timeout=%d", int(s.Limits.Idle.Value().Seconds())),
	}
	server.http = &http.Server{
		Handler:           dialect.Handler(server.handle),
		MaxHeaderBytes:    int(s.Limits.Header.Bytes()) + headerSlack,
		ReadHeaderTimeout: s.Limits.ReceiveWithin.Value(),
		IdleTimeout:       s.Limits.Idle.Value() + idleSlack,
		ConnContext:       server.connections.connContext,
		ConnState:         server.connections.connState,
		ErrorLog:          stdlog.New(&httpErrors{lines: server.lines, logger: logger}, "", 0),
	}
	return server
}

// maxConnections is the most connections of callers that the process has room
// for.
func maxConnections(limits settings.Limits) int {
	most := limits.Connections
	if limits.Files > 0 {
		most = min(most, int(filesForCallers*float64(limits.Files)))
	}
	if limits.Memory > 0 {
		most = min(most, int(memoryForCallers*float64(limits.Memory.Bytes())/connectionMemory))
	}
	return most
}

// Run starts to listen and serves in the background. It fails when the address
// can't be listened on, or with *tlsfiles.KeyPairError.
func (s *Server) Run() error {
	// The doorkeeper sets the probes of those connections that it keeps.
	config := net.ListenConfig{KeepAlive: -1}
	inner, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", s.address)
	}
	listener, err := tlsfiles.WrapListener(newDoorkeeper(inner, s, s.scope), s.keyPair, s.logger)
	if err != nil {
		return err
	}
	go s.pressure.run()
	go func() {
		if err := s.http.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
			s.logger.Error().Str("event", "callers-serve-failed").Err(err).Msg("")
		}
	}()
	return nil
}

// Announce makes each further answer ask its caller to close the connection,
// ahead of a stop. Idle connections stay open until Stop: a caller may be
// sending on one.
func (s *Server) Announce() {
	s.announced.Store(true)
}

// Refuse makes each further call get a refusal that says when to come back.
func (s *Server) Refuse() {
	s.closing.Store(true)
}

// NotReady returns why callers should get no new connection to this daemon, or
// "".
func (s *Server) NotReady() string {
	if s.pressure.out.Load() {
		return "more requests than processor time"
	}
	return ""
}

// Connected says whether callers have connections open.
func (s *Server) Connected() bool {
	return s.connections.open.Load() > 0
}

// stopping refuses a call that comes over a connection which the stop has not
// closed yet: it might not end in time.
func (s *Server) stopping() *outcome.Refusal {
	if !s.closing.Load() {
		return nil
	}
	refusal := notRun(outcome.ReasonStopping, "the daemon is stopping")
	refusal.RetryAfter = stoppingRetryAfter
	return refusal
}

// Stop takes no new connection and waits until each call in progress has ended
// or the context is done. Calls that are still open then are named in the log
// and cut off.
func (s *Server) Stop(ctx context.Context) error {
	s.closing.Store(true)
	defer s.stopOnce.Do(func() { close(s.pressure.stop) })
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	for _, call := range s.open.list() {
		s.logger.Error().
			Str("event", "call-cut").
			Str("request", string(call.ID)).
			Str("workspace", string(call.Workspace)).
			Str("service", string(call.Service)).
			Msg("")
	}
	if closeErr := s.http.Close(); closeErr != nil {
		s.logger.Warn().Str("event", "callers-close-failed").Err(closeErr).Msg("")
	}
	return eris.Wrap(err, "stop serving callers")
}
