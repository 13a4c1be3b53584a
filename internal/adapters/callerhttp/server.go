// Package callerhttp serves callers over HTTP/1.1: it checks each request, passes
// it to the executor as a call, and relays the answer or sends a typed refusal.
// Only packages that compose the daemon or define a dialect import it.
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
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

const (
	// idleGrace is how much longer an idle connection stays open than callers are
	// told.
	idleGrace = 2 * time.Second
	// callerFilesFraction is the fraction of the process's file descriptors that
	// callers' connections may use. The rest is for backend servers, peers and
	// files.
	callerFilesFraction = 0.6
	// callerMemoryFraction is the fraction of the process's memory that callers'
	// connections may use, at bytesPerConnection each for buffers and stacks.
	callerMemoryFraction = 0.4
	bytesPerConnection   = 24 << 10
	// stoppingRetryAfter is the time after which a caller should retry when the
	// daemon is stopping. It is short, since the load balancer selects another
	// daemon.
	stoppingRetryAfter = 50 * time.Millisecond
	// headerSlackBytes is how much a header may exceed its limit and still get a
	// typed refusal.
	headerSlackBytes = 64 << 10
	// drainCheckInterval is the time between two checks for open connections during
	// Stop.
	drainCheckInterval = 10 * time.Millisecond
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
	logLimiter    *logging.Limiter
	scope         tally.Scope
	connections   *connectionLimiter
	// keepAliveHeader is the value of the Keep-Alive header field. It tells callers
	// how long an idle connection is kept open.
	keepAliveHeader string
	openCalls       *openCalls
	shedder         *loadShedder
	stopAnnounced   atomic.Bool
	refusingCalls   atomic.Bool
	stopOnce        sync.Once
	httpServer      *http.Server
	// listener is that of Run, nil before. served is closed once it accepts no more.
	listener net.Listener
	served   chan struct{}
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
		address:         s.Listen.Callers,
		keyPair:         s.TLS.Callers,
		limits:          s.Limits,
		configuration:   configuration,
		executor:        executor,
		dialect:         dialect,
		refusals:        metrics.NewCounterVec(scope, "refusals", "reason", "run"),
		logger:          logger,
		logLimiter:      logging.NewLimiter(logger),
		scope:           scope,
		openCalls:       newOpenCalls(),
		shedder:         newLoadShedder(s.Limits.MaxProcessorWait.Value(), scope, logger),
		connections:     newConnectionLimiter(maxConnections(s.Limits), scope.Gauge("connections")),
		keepAliveHeader: fmt.Sprintf("timeout=%d", int(s.Limits.IdleTimeout.Value().Seconds())),
	}
	server.httpServer = &http.Server{
		Handler:           dialect.Handler(server.newHandler),
		MaxHeaderBytes:    int(s.Limits.MaxHeaderSize.Bytes()) + headerSlackBytes,
		ReadHeaderTimeout: s.Limits.ReceiveTimeout.Value(),
		IdleTimeout:       s.Limits.IdleTimeout.Value() + idleGrace,
		ConnContext:       server.connections.connContext,
		ConnState:         server.connections.connState,
		ErrorLog:          stdlog.New(&httpErrorLog{logLimiter: server.logLimiter, logger: logger}, "", 0),
	}
	return server
}

// maxConnections returns the maximum number of callers' connections that the
// process's limits allow.
func maxConnections(limits settings.Limits) int {
	limit := limits.MaxConnections
	if limits.MaxOpenFiles > 0 {
		limit = min(limit, int(callerFilesFraction*float64(limits.MaxOpenFiles)))
	}
	if limits.Memory > 0 {
		limit = min(limit, int(callerMemoryFraction*float64(limits.Memory.Bytes())/bytesPerConnection))
	}
	return limit
}

// Run starts listening and serves in the background. It fails if it can't listen
// on the address, or with *tlsfiles.KeyPairError.
func (s *Server) Run() error {
	// sheddingListener enables keep-alive for the connections that it accepts.
	config := net.ListenConfig{KeepAlive: -1}
	tcpListener, err := config.Listen(context.Background(), "tcp", s.address)
	if err != nil {
		return eris.Wrapf(err, "listen for callers on %s", s.address)
	}
	listener, err := tlsfiles.WrapListener(newSheddingListener(tcpListener, s, s.scope), s.keyPair, s.logger)
	if err != nil {
		return err
	}
	go s.shedder.run()
	s.serve(listener)
	return nil
}

// serve accepts connections in the background until Stop closes the listener.
func (s *Server) serve(listener net.Listener) {
	s.listener, s.served = listener, make(chan struct{})
	go func() {
		defer close(s.served)
		err := s.httpServer.Serve(listener)
		if !eris.Is(err, http.ErrServerClosed) && !eris.Is(err, net.ErrClosed) {
			s.logger.Error().Str("event", "callers-serve-failed").Err(err).Msg("")
		}
	}()
}

// AnnounceStop announces a stop: each further answer asks its caller to close the
// connection. Idle connections stay open until Stop, since a caller may be sending
// on one.
func (s *Server) AnnounceStop() {
	s.stopAnnounced.Store(true)
}

// RefuseCalls makes the server refuse each further call with a time to retry after.
func (s *Server) RefuseCalls() {
	s.refusingCalls.Store(true)
}

// NotReadyReason returns why the load balancer should route no new connections to
// this daemon, or "".
func (s *Server) NotReadyReason() string {
	if s.shedder.outOfRotation.Load() {
		return "more requests than processor time"
	}
	return ""
}

// HasConnections reports whether callers have connections open.
func (s *Server) HasConnections() bool {
	return s.connections.open.Load() > 0
}

// stoppingRefusal returns a refusal once further calls are refused, and nil
// before. Such a call arrives over a connection that the stop has not closed yet,
// and might not end in time.
func (s *Server) stoppingRefusal() *outcome.Refusal {
	if !s.refusingCalls.Load() {
		return nil
	}
	refusal := notRunRefusal(outcome.ReasonStopping, "the daemon is stopping")
	refusal.RetryAfter = stoppingRetryAfter
	return refusal
}

// Stop accepts no new connections and waits until each call in progress has ended
// or the context is done. It then logs the calls still in progress, closes their
// connections and returns an error.
func (s *Server) Stop(ctx context.Context) error {
	s.refusingCalls.Store(true)
	defer s.stopOnce.Do(func() { close(s.shedder.stop) })
	s.closeListener()
	s.drainConnections(ctx)
	err := s.httpServer.Shutdown(ctx)
	if err == nil {
		return nil
	}
	for _, call := range s.openCalls.list() {
		s.logger.Error().
			Str("event", "call-cut").
			Str("request", string(call.ID)).
			Str("workspace", string(call.Workspace)).
			Str("service", string(call.Service)).
			Msg("")
	}
	if closeErr := s.httpServer.Close(); closeErr != nil {
		s.logger.Warn().Str("event", "callers-close-failed").Err(closeErr).Msg("")
	}
	return eris.Wrap(err, "stop serving callers")
}

// closeListener stops accepting connections and waits until those in the kernel's queue
// are accepted. It has no effect if the server does not listen.
func (s *Server) closeListener() {
	if s.listener == nil {
		return
	}
	if err := s.listener.Close(); err != nil {
		s.logger.Warn().Str("event", "callers-close-failed").Err(err).Msg("")
	}
	<-s.served
}

// drainConnections closes idle connections and waits until the others have been answered
// and closed, or until the context is done. http.Server.Shutdown alone would close a
// connection unanswered whose request it reads during the shutdown.
func (s *Server) drainConnections(ctx context.Context) {
	for {
		s.httpServer.SetKeepAlivesEnabled(false)
		if !s.HasConnections() || !pause.For(ctx, drainCheckInterval) {
			return
		}
	}
}
