// Package operatorhttp serves the operator API, health checks and metrics over
// HTTP. It is imported by internal/app only.
package operatorhttp

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"
	"go.uber.org/fx"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/requesthead"
	"hawthornstream/internal/adapters/tlsfiles"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

const (
	// readHeaderTimeout bounds the time to read a request's header.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time to read a whole request.
	readTimeout = 15 * time.Second
	// writeTimeout bounds the time from the end of a request's header to the end
	// of the answer.
	writeTimeout = 30 * time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = time.Minute
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 16 << 10
	// shutdownTimeout bounds the wait of Stop for requests in progress.
	shutdownTimeout = 2 * time.Second
)

// Params are the dependencies of a Server.
type Params struct {
	fx.In

	Settings      *settings.Settings
	Logger        *log.Logger
	Scope         tally.Scope
	Directory     ports.Directory
	Configuration ports.ConfigurationSource
	// Editor is nil if operators write the configuration to the platform
	// themselves; requests that need it are then refused with unknown-path.
	Editor          ports.ConfigurationEditor `optional:"true"`
	ReadinessChecks []ports.ReadinessCheck    `group:"readiness"`
	MetricsHandler  http.Handler              `name:"metrics" optional:"true"`
	Sharing         ports.SharingView         `optional:"true"`
	Evacuations     ports.EvacuationView      `optional:"true"`
	CallHistory     ports.CallHistory         `optional:"true"`
	Handover        ports.HandoverView        `optional:"true"`
	Account         *heldmemory.Account       `optional:"true"`
}

// Server serves the operators' address. Its fields don't change after New, so it
// needs no mutex.
type Server struct {
	params        Params
	authenticator *authenticator
	httpServer    *http.Server
	done          chan struct{}
}

// New returns a server that does not listen yet.
func New(params Params) *Server {
	s := &Server{
		params:        params,
		authenticator: newAuthenticator(params.Settings.Operators.KeyDigests),
		done:          make(chan struct{}),
	}
	s.httpServer = &http.Server{
		Handler:           s.newRouter(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return s
}

// Start listens and serves in the background until Stop. It fails with the error
// of net.Listen or with *tlsfiles.KeyPairError.
func (s *Server) Start() error {
	listener, err := net.Listen("tcp", s.params.Settings.Listen.Operators)
	if err != nil {
		return eris.Wrap(err, "listen on the operators' address")
	}
	listener, err = tlsfiles.WrapListener(listener, s.params.Settings.TLS.Operators, s.params.Logger)
	if err != nil {
		return err
	}
	s.params.Logger.Info().Str("event", "operators-listening").Str("address", listener.Addr().String()).Msg("")
	limited := requesthead.LimitServer(s.httpServer, listener, s.params.Account, s.params.Scope.SubScope("operators"), s.params.Logger)
	go func() {
		defer close(s.done)
		if err := s.httpServer.Serve(limited); err != http.ErrServerClosed {
			s.params.Logger.Error().Str("event", "operators-server-failed").Err(err).Msg("")
		}
	}()
	return nil
}

// Stop takes no new requests, waits up to shutdownTimeout for those in progress
// and then closes their connections.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := s.httpServer.Shutdown(ctx); err != nil {
		s.httpServer.Close()
	}
	<-s.done
}

func (s *Server) newRouter() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", s.getHealth).Methods(http.MethodGet)
	router.HandleFunc("/readyz", s.getReadiness).Methods(http.MethodGet)
	if s.params.MetricsHandler != nil {
		router.Handle("/metrics", s.params.MetricsHandler).Methods(http.MethodGet)
	}
	api := func(method, path string, handler http.HandlerFunc) {
		router.Handle("/v1"+path, s.requireOperator(handler)).Methods(method)
	}
	api(http.MethodGet, "/configuration", s.getConfiguration)
	if s.params.Editor != nil {
		api(http.MethodPut, "/configuration", s.putConfiguration)
		api(http.MethodGet, "/configuration/history", s.getHistory)
		api(http.MethodGet, "/configuration/revisions/{number}", s.getRevision)
		api(http.MethodPost, "/configuration/diff", s.postDiff)
		api(http.MethodGet, "/planned-stops", s.getPlannedStops)
		api(http.MethodPost, "/planned-stops", s.postPlannedStop)
		api(http.MethodDelete, "/planned-stops/{vm}", s.deletePlannedStop)
	}
	api(http.MethodGet, "/status", s.getStatus)
	api(http.MethodGet, "/explain/{request}", s.getExplanation)
	router.NotFoundHandler = http.HandlerFunc(s.handleUnknownPath)
	router.MethodNotAllowedHandler = http.HandlerFunc(s.handleWrongMethod)
	return router
}
