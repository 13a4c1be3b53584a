package requesthead

import (
	"net"
	"net/http"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/heldmemory"
)

// maxPlainConnections is the maximum number of connections of a server that serves no callers.
const maxPlainConnections = 256

// plainRefusal answers a head for which there is no memory.
const plainRefusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain\r\nRetry-After: 1\r\n" +
	"Connection: close\r\nContent-Length: 10\r\n\r\nno memory\n"

// LimitServer bounds the heads and the number of connections of a server that serves no callers,
// and returns the listener for it to serve. A nil account limits no heads.
func LimitServer(
	server *http.Server, inner net.Listener, account *heldmemory.Account, scope tally.Scope, logger *log.Logger,
) net.Listener {
	server.ConnState = ConnState
	limiter := NewLimiter(account, func() []byte { return []byte(plainRefusal) }, func(conn net.Conn, err error) {
		logger.Warn().Str("event", "tls-handshake-failed").Stringer("caller", conn.RemoteAddr()).Err(err).Msg("")
	})
	limiter.maxConnections, limiter.closedUnread = maxPlainConnections, scope.Counter("connections_over_limit")
	return limiter.Listener(inner)
}
