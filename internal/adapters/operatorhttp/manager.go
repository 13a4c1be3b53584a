// Package operatorhttp serves operators, health checks and metrics over HTTP.
// Only wiring imports it.
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

	"hawthornstream/internal/adapters/tlsfiles"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

const (
	// headerTimeout bounds the arrival of a request's header.
	headerTimeout = 5 * time.Second
	// requestTimeout bounds the arrival of a whole request.
	requestTimeout = 15 * time.Second
	// answerTimeout bounds a request and its answer.
	answerTimeout = 30 * time.Second
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = time.Minute
	// maxHeader is the largest request header, in bytes.
	maxHeader = 16 << 10
	// stopTimeout bounds the wait for requests in progress at the stop.
	stopTimeout = 2 * time.Second
)

// Params are what the manager needs.
type Params struct {
	fx.In

	Settings  *settings.Settings
	Logger    *log.Logger
	Scope     tally.Scope
	Directory ports.Directory
	Source    ports.ConfigurationSource
	// Editor is missing where operators write to the platform themselves.
	Editor    ports.ConfigurationEditor `optional:"true"`
	Readiness []ports.ReadinessCheck    `group:"readiness"`
	Metrics   http.Handler              `name:"metrics" optional:"true"`
	Sharing   ports.SharingView         `optional:"true"`
	History   ports.CallHistory         `optional:"true"`
}

// Manager serves the operators' address. It holds no mutex.
type Manager struct {
	params Params
	access *access
	server *http.Server
	done   chan struct{}
}

// New returns a manager that does not listen yet.
func New(params Params) *Manager {
	m := &Manager{
		params: params,
		access: newAccess(params.Settings.Operators.KeyDigests),
		done:   make(chan struct{}),
	}
	m.server = &http.Server{
		Handler:           m.routes(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       requestTimeout,
		WriteTimeout:      answerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}
	return m
}

// Run listens and starts to serve. It fails when the address can't be listened
// on, or with *tlsfiles.KeyPairError.
func (m *Manager) Run() error {
	listener, err := net.Listen("tcp", m.params.Settings.Listen.Operators)
	if err != nil {
		return eris.Wrap(err, "operators' address")
	}
	listener, err = tlsfiles.Secure(listener, m.params.Settings.TLS.Operators, m.params.Logger)
	if err != nil {
		return err
	}
	m.params.Logger.Info().Str("event", "operators-listening").Str("address", listener.Addr().String()).Msg("")
	go func() {
		defer close(m.done)
		if err := m.server.Serve(listener); err != http.ErrServerClosed {
			m.params.Logger.Error().Str("event", "operators-server-failed").Err(err).Msg("")
		}
	}()
	return nil
}

// Stop waits a short time for requests in progress and closes the rest.
func (m *Manager) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := m.server.Shutdown(ctx); err != nil {
		m.server.Close()
	}
	<-m.done
}

func (m *Manager) routes() http.Handler {
	router := mux.NewRouter()
	router.HandleFunc("/healthz", m.health).Methods(http.MethodGet)
	router.HandleFunc("/readyz", m.ready).Methods(http.MethodGet)
	if m.params.Metrics != nil {
		router.Handle("/metrics", m.params.Metrics).Methods(http.MethodGet)
	}
	api := func(method, path string, handler http.HandlerFunc) {
		router.Handle("/v1"+path, m.authenticate(handler)).Methods(method)
	}
	api(http.MethodGet, "/configuration", m.getConfiguration)
	if m.params.Editor != nil {
		api(http.MethodPut, "/configuration", m.putConfiguration)
		api(http.MethodGet, "/configuration/history", m.getHistory)
		api(http.MethodGet, "/configuration/revisions/{number}", m.getRevision)
		api(http.MethodPost, "/configuration/diff", m.postDiff)
		api(http.MethodGet, "/planned-stops", m.getStops)
		api(http.MethodPost, "/planned-stops", m.postStop)
		api(http.MethodDelete, "/planned-stops/{vm}", m.deleteStop)
	}
	api(http.MethodGet, "/status", m.getStatus)
	api(http.MethodGet, "/explain/{request}", m.getExplanation)
	router.NotFoundHandler = http.HandlerFunc(m.unknownPath)
	router.MethodNotAllowedHandler = http.HandlerFunc(m.wrongMethod)
	return router
}
