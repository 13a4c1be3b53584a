// Package callerhttp serves callers over HTTP/1.1: it checks each request, passes
// it to the executor as a call, and relays the answer or sends a typed refusal.
// Only packages that compose the daemon or define a dialect import it.
package callerhttp

import (
	"context"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/adapters/requesthead"
	"hawthornstream/internal/adapters/tlsfiles"
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
	memory        *callerMemory
	connections   *connectionLimiter
	heads         *requesthead.Limiter
	// keepAliveHeader is the value of the Keep-Alive header field. It tells callers
	// how long an idle connection is kept open.
	keepAliveHeader string
	openCalls       *openCalls
	shedder         *loadShedder
	stopAnnounced   atomic.Bool
	refusingCalls   atomic.Bool
	// cutAt is when this daemon's stop cuts calls off.
	cutAt        cutTime
	watchingCuts atomic.Bool
	callsCut     *metrics.CounterVec
	// answersCut counts the answers that ended early, and callPanics the calls that a fault
	// of the program ended.
	answersCut *metrics.CounterVec
	callPanics tally.Counter
	// writeTimeout is the constant of that name, except in tests.
	writeTimeout time.Duration
	// stopped is closed when Stop has returned.
	stopped    chan struct{}
	stopOnce   sync.Once
	httpServer *http.Server
	listen     settings.Listen
	// closedUnread counts the new connections that were closed unread.
	closedUnread atomic.Int64
	// handover is nil if no connections are handed over.
	handover *handover
	// listener is that of Run, nil before. served is closed once it accepts no more.
	listener net.Listener
	served   chan struct{}
}

// New returns a server that does not listen yet. Without a table it hands no connections
// over.
func New(
	s *settings.Settings,
	configuration ports.ConfigurationSource,
	executor ports.Executor,
	dialect Dialect,
	table *HandoverTable,
	account *heldmemory.Account,
	scope tally.Scope,
	logger *log.Logger,
) *Server {
	scope = scope.SubScope("callers")
	logLimiter := logging.NewLimiter(logger)
	held := newCallerMemory(account, scope, logger, logLimiter)
	server := &Server{
		address:         s.Listen.Callers,
		keyPair:         s.TLS.Callers,
		limits:          s.Limits,
		configuration:   configuration,
		executor:        executor,
		dialect:         dialect,
		refusals:        metrics.NewCounterVec(scope, "refusals", "reason", "run"),
		logger:          logger,
		logLimiter:      logLimiter,
		scope:           scope,
		openCalls:       newOpenCalls(),
		callsCut:        metrics.NewCounterVec(scope, "calls_cut", "taken", "state"),
		answersCut:      metrics.NewCounterVec(scope, "answers_cut", "reason", "sent"),
		callPanics:      scope.Counter("call_panics"),
		writeTimeout:    writeTimeout,
		stopped:         make(chan struct{}),
		shedder:         newLoadShedder(s.Limits.MaxProcessorWait.Value(), scope, logger),
		memory:          held,
		connections:     newConnectionLimiter(maxConnections(s.Limits), scope.Gauge("connections"), held),
		keepAliveHeader: keepAliveValue(s.Limits.IdleTimeout.Value()),
		listen:          s.Listen,
	}
	server.heads = requesthead.NewLimiter(account, server.refuseHead, server.logFailedHandshake)
	server.httpServer = server.newHTTPServer(s.Limits.IdleTimeout.Value(), server.connections.connContext)
	if server.handover = newHandover(s, server, table, scope); server.handover != nil {
		server.shedder.observeLoad = server.handover.observeLoad
	}
	return server
}

// newHTTPServer returns an HTTP server that serves callers and keeps idle connections
// open for the given time.
func (s *Server) newHTTPServer(
	idleTimeout time.Duration,
	connContext func(context.Context, net.Conn) context.Context,
) *http.Server {
	return &http.Server{
		Handler: s.dialect.Handler(s.newHandler),
		// The dialect answers "OPTIONS *" like any other request.
		DisableGeneralOptionsHandler: true,
		MaxHeaderBytes:               int(s.limits.MaxHeaderSize.Bytes()) + headerSlackBytes,
		ReadHeaderTimeout:            s.limits.ReceiveTimeout.Value(),
		IdleTimeout:                  idleTimeout + idleGrace,
		ConnContext:                  connContext,
		ConnState:                    s.connections.connState,
		ErrorLog:                     stdlog.New(&httpErrorLog{logLimiter: s.logLimiter, logger: s.logger}, "", 0),
	}
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
	if s.handover != nil {
		if err := s.handover.run(s.listen, s.keyPair, s.serve); err != nil {
			return err
		}
	}
	go s.shedder.run()
	s.startServing(listener)
	return nil
}

// startServing accepts callers' connections in the background until Stop closes the
// listener.
func (s *Server) startServing(listener net.Listener) {
	s.listener, s.served = listener, make(chan struct{})
	go func() {
		defer close(s.served)
		s.serve(s.httpServer, listener)
	}()
}

// serve serves the connections of a listener until the server is stopped.
func (s *Server) serve(server *http.Server, listener net.Listener) {
	err := server.Serve(s.heads.Listener(listener))
	if !eris.Is(err, http.ErrServerClosed) && !eris.Is(err, net.ErrClosed) {
		s.logger.Error().Str("event", "callers-serve-failed").Err(err).Msg("")
	}
}

// AnnounceStop announces a stop: each further answer asks its caller to close the
// connection. Idle connections stay open until Stop, since a caller may be sending
// on one. Calls are taken only if they can end before cutAt, when calls in progress are cut
// off; zero for never. It may be called again with an earlier time.
func (s *Server) AnnounceStop(cutAt time.Time) {
	s.cutAt.advance(cutAt)
	s.stopAnnounced.Store(true)
	s.watchCuts()
	if s.handover != nil {
		s.handover.announceStop()
	}
}

// RefuseCalls makes the server refuse each further call with a time to retry after.
func (s *Server) RefuseCalls() {
	s.refusingCalls.Store(true)
	if s.handover != nil {
		s.handover.reportNow()
	}
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

// Stop accepts no new connections and waits until each call in progress has ended
// or the context is done. It then logs and ends the calls still in progress, closes their
// connections and returns an error.
func (s *Server) Stop(ctx context.Context) error {
	cutAt, _ := ctx.Deadline()
	s.AnnounceStop(cutAt)
	s.RefuseCalls()
	defer s.stopOnce.Do(func() {
		close(s.shedder.stop)
		close(s.stopped)
	})
	s.closeListener()
	s.drainConnections(ctx)
	err := s.httpServer.Shutdown(ctx)
	if s.handover != nil {
		if stopErr := s.handover.stop(ctx); err == nil {
			err = stopErr
		}
	}
	if err == nil {
		return nil
	}
	s.cutCalls()
	if s.handover != nil {
		s.handover.close()
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
