package objectapi

import (
	"net"
	"net/http"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the time to open a connection.
	dialTimeout = time.Second
	// tcpUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection.
	tcpUserTimeout = 3 * time.Second
	// keepAliveIdle, keepAliveInterval and keepAliveProbes let the kernel detect a
	// dead connection while a watch waits for its answer and nothing is sent.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 30 * time.Second
	// maxIdleConns is the maximum number of idle connections.
	maxIdleConns = 8
	// tcpUserTimeoutOption is the Linux socket option TCP_USER_TIMEOUT, which
	// package syscall lacks on some architectures.
	tcpUserTimeoutOption = 0x12
)

// NewHTTPClient returns an HTTP client for any form of the platform's API. It
// detects dead connections with keep-alive probes and TCP_USER_TIMEOUT, and
// returns redirects to the caller instead of following them.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: setTCPUserTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        maxIdleConns,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT, so that the kernel closes a connection
// whose other end no longer acknowledges.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		milliseconds := int(tcpUserTimeout / time.Millisecond)
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, milliseconds)
	})
	if err != nil {
		return err
	}
	return optionErr
}
