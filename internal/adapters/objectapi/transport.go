package objectapi

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// connectTimeout bounds the opening of a connection.
	connectTimeout = time.Second
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged
	// before the system closes the connection.
	unacknowledgedTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveEvery and keepAliveCount find a connection that
	// went silent while a watch waits on it.
	keepAliveIdle  = time.Second
	keepAliveEvery = time.Second
	keepAliveCount = 2
	// idleTimeout is how long an unused connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdle is the most unused connections that are kept.
	maxIdle = 8
	// tcpUserTimeout is the number of the TCP_USER_TIMEOUT socket option.
	tcpUserTimeout = 0x12
)

// NewHTTPClient returns a client for the platform's API, whichever form that
// has. A connection that went silent is found by keep-alive probes.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: connectTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount,
		},
		Control: limitUnacknowledged,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdle,
			MaxIdleConnsPerHost: maxIdle,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// limitUnacknowledged makes the system close a connection whose other end no
// longer acknowledges.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(socket uintptr) {
		milliseconds := int(unacknowledgedTimeout / time.Millisecond)
		failure = syscall.SetsockoptInt(int(socket), syscall.IPPROTO_TCP, tcpUserTimeout, milliseconds)
	})
	if err != nil {
		return err
	}
	return failure
}
