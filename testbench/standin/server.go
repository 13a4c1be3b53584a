package standin

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// Server is an HTTP server on a free loopback port.
type Server struct {
	listener   *resettingListener
	httpServer *http.Server
	cancel     context.CancelFunc
}

// Start serves handler on a free port of 127.0.0.1 until Close is called.
func Start(handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &Server{
		listener: &resettingListener{Listener: listener},
		httpServer: &http.Server{
			Handler:     handler,
			BaseContext: func(net.Listener) context.Context { return ctx },
		},
		cancel: cancel,
	}
	go func() { _ = server.httpServer.Serve(server.listener) }()
	return server, nil
}

// Address returns "ip:port".
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// URL returns the base URL without a trailing slash.
func (s *Server) URL() string {
	return "http://" + s.Address()
}

// SetResetNewConnections sets whether the server resets each new connection
// before reading from it.
func (s *Server) SetResetNewConnections(enabled bool) {
	s.listener.resetNew.Store(enabled)
}

// Close stops the server and closes all its connections.
func (s *Server) Close() {
	s.cancel()
	_ = s.httpServer.Close()
}

// resettingListener resets accepted connections while resetNew is set.
type resettingListener struct {
	net.Listener
	resetNew atomic.Bool
}

// Accept implements net.Listener.
func (l *resettingListener) Accept() (net.Conn, error) {
	for {
		connection, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.resetNew.Load() {
			return connection, nil
		}
		closeWithReset(connection)
	}
}

// ResetConnection closes the connection of a request with a TCP reset. It panics
// with http.ErrAbortHandler if the connection can't be hijacked.
func ResetConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	closeWithReset(connection)
}

// closeWithReset makes the kernel send a TCP reset: a linger time of zero
// discards unsent data.
func closeWithReset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
