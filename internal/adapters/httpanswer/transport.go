package httpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/adapters/tcpstate"
)

// maxInterimAnswers limits the interim answers before one answer. net/http limits their size only
// together with a function that doesn't look at them.
const maxInterimAnswers = 20

// Transport is an HTTP transport that fails with *InvalidError for an answer that doesn't follow
// the protocol, and with *tcpstate.WriteFailedError for one that ends with its connection when
// that has not taken the whole request. So does reading the body. Create it with NewTransport.
type Transport struct {
	*http.Transport
	// rejected counts the answers by RejectReason; nil if they aren't counted.
	rejected *metrics.CounterVec
}

// NewTransport returns a transport that sends requests over base, whose connections it wraps, and
// counts the answers that it rejects, unless rejected is nil.
func NewTransport(base *http.Transport, rejected *metrics.CounterVec) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return tcpstate.NewDuplex(conn), nil
	}
	return &Transport{Transport: base, rejected: rejected}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.Transport.RoundTrip(request.WithContext(checkInterims(request.Context())))
	if err != nil {
		// A connection that breaks before the head is whole has brought no answer.
		if reason := RejectReason(err); reason != ReasonCutOff {
			t.countRejected(reason)
		}
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		// The connection of an answer without a body may be idle already.
		t.CloseIdleConnections()
		t.countRejected(RejectReason(err))
		return nil, err
	}
	response.Body = &checkedBody{ReadCloser: response.Body, response: response, transport: t}
	return response, nil
}

// countRejected counts an answer that was rejected for the reason, unless that is empty.
func (t *Transport) countRejected(reason string) {
	if reason != "" && t.rejected != nil {
		t.rejected.Inc(reason)
	}
}

// checkInterims returns a context for a request whose interim answers are checked and limited.
func checkInterims(ctx context.Context) context.Context {
	interims := 0
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(status int, header textproto.MIMEHeader) error {
			if interims++; interims > maxInterimAnswers {
				return &TooManyInterimsError{}
			}
			return CheckInterim(status, header)
		},
	})
}

// checkedBody is the body of an answer whose trailer is checked.
type checkedBody struct {
	io.ReadCloser
	response  *http.Response
	transport *Transport
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if invalid := CheckTrailer(b.response); invalid != nil {
			err = invalid
		}
	}
	b.transport.countRejected(RejectReason(err))
	return n, err
}
