package objectapi

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/httpanswer"
	"hawthornstream/internal/adapters/metrics"
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
	// maxHeadBytes is the largest head of an answer, whose parsed form takes many times
	// its size.
	maxHeadBytes = 32 << 10
	// tcpUserTimeoutOption is the Linux socket option TCP_USER_TIMEOUT, which
	// package syscall lacks on some architectures.
	tcpUserTimeoutOption = 0x12
)

// NewHTTPClient returns an HTTP client for any form of the platform's API. It
// detects dead connections with keep-alive probes and TCP_USER_TIMEOUT, closes the idle
// ones after a request that got no answer, and returns redirects to the caller instead of
// following them. It counts such requests in the scope as platform_requests_unanswered, and the
// answers that break off or don't follow the protocol as platform_answers_rejected by reason.
func NewHTTPClient(scope tally.Scope) *http.Client {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: setTCPUserTimeout,
	}
	return &http.Client{
		Transport: &transport{
			Transport: httpanswer.NewTransport(&http.Transport{
				DialContext:            dialer.DialContext,
				MaxIdleConns:           maxIdleConns,
				MaxIdleConnsPerHost:    maxIdleConns,
				IdleConnTimeout:        idleTimeout,
				DisableCompression:     true,
				MaxResponseHeaderBytes: maxHeadBytes,
			}, metrics.NewCounterVec(scope, "platform_answers_rejected", "reason")),
			unanswered: scope.Counter("platform_requests_unanswered"),
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// transport is an HTTP transport that takes the connections to be lost on which no request
// is running when another one gets no answer. What lies between loses track of all
// connections at once; each of them would take the next request up to its timeout.
type transport struct {
	*httpanswer.Transport
	unanswered tally.Counter
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request)
	if err != nil && !errors.Is(err, context.Canceled) {
		t.unanswered.Inc(1)
		t.CloseIdleConnections()
	}
	return response, err
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
