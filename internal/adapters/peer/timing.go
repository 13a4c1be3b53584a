package peer

import "time"

// Timing holds the timeouts and intervals of sessions.
type Timing struct {
	// DialTimeout limits opening a TCP connection.
	DialTimeout time.Duration
	// WriteTimeout limits one write to a connection.
	WriteTimeout time.Duration
	// HelloTimeout limits the TLS handshake of both sides and, on an accepted
	// connection, each read before a valid hello and after the session.
	HelloTimeout time.Duration
	// AckInterval is the minimum time between two requests for acknowledgement.
	AckInterval time.Duration
	// AckTimeout is the time without an answer to a request for acknowledgement
	// after which a connection counts as silent. A silent connection is detected
	// AckInterval plus AckTimeout after the first lost message.
	AckTimeout time.Duration
	// IdleTimeout is the time after which the dialling side closes a session
	// without messages.
	IdleTimeout time.Duration
	// ReceiveTimeout is the time without received bytes after which the accepting
	// side closes a session. It must be longer than IdleTimeout.
	ReceiveTimeout time.Duration
	// KeepAliveInterval is the interval of TCP keep-alive probes on an idle
	// connection.
	KeepAliveInterval time.Duration
	// InitialBackoff and MaxBackoff limit the delay between two attempts to
	// connect, which grows exponentially with jitter.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// DefaultTiming returns the timeouts and intervals of a daemon in production.
func DefaultTiming() Timing {
	return Timing{
		DialTimeout:       time.Second,
		WriteTimeout:      2 * time.Second,
		HelloTimeout:      2 * time.Second,
		AckInterval:       500 * time.Millisecond,
		AckTimeout:        2 * time.Second,
		IdleTimeout:       time.Minute,
		ReceiveTimeout:    90 * time.Second,
		KeepAliveInterval: 15 * time.Second,
		InitialBackoff:    50 * time.Millisecond,
		MaxBackoff:        2 * time.Second,
	}
}
