package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"time"

	"hawthornstream/internal/adapters/httpanswer"
	"hawthornstream/internal/ports"
)

const (
	// attemptTimeout is the time limit of one request to one server.
	attemptTimeout = 8 * time.Second
	// maxAnswerBytes and maxHeadBytes bound the body and the head of an answer.
	maxAnswerBytes = 16 << 20
	maxHeadBytes   = 64 << 10
)

// client sends requests to the operators' API of the servers.
type client struct {
	servers    []string
	key        string
	httpClient *http.Client
}

// newClient returns a client of the servers that trusts the given certificate
// authorities, or the system's for nil.
func newClient(servers []string, key string, authorities *x509.CertPool) *client {
	transport := &http.Transport{
		Proxy:                  http.ProxyFromEnvironment,
		MaxResponseHeaderBytes: maxHeadBytes,
		TLSClientConfig:        &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: authorities},
	}
	return &client{
		servers:    servers,
		key:        key,
		httpClient: &http.Client{Timeout: attemptTimeout, Transport: httpanswer.NewTransport(transport, nil)},
	}
}

// request is one request of the operators' API.
type request struct {
	method string
	path   string
	header map[string]string
	body   []byte
}

// withHeader returns a copy of the request with one more header field. A field
// that the request already has is kept.
func (r request) withHeader(name, value string) request {
	header := map[string]string{name: value}
	maps.Copy(header, r.header)
	r.header = header
	return r
}

// unreachableError reports that a server gave no answer.
type unreachableError struct {
	Server string
	// MayHaveBeenSent is true when the server may have received the request.
	MayHaveBeenSent bool
	Cause           error
}

// Error implements error.
func (e *unreachableError) Error() string {
	return fmt.Sprintf("no answer from %s: %v", e.Server, e.Cause)
}

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error {
	return e.Cause
}

// problemError is a refusal of the request by a server.
type problemError struct {
	Server  string
	Problem ports.OperatorProblem
}

// Error implements error.
func (e *problemError) Error() string {
	return fmt.Sprintf("%s: %s", e.Problem.Reason, e.Problem.Detail)
}

// unreadableAnswerError reports an answer that can't be decoded.
type unreadableAnswerError struct {
	Server string
	Status int
	Cause  error
}

// Error implements error.
func (e *unreadableAnswerError) Error() string {
	return fmt.Sprintf("%s answered %d in a form that can't be read: %v", e.Server, e.Status, e.Cause)
}

// Unwrap returns the cause.
func (e *unreadableAnswerError) Unwrap() error {
	return e.Cause
}

// answerTooLargeError reports an answer with more than maxAnswerBytes.
type answerTooLargeError struct{}

// Error implements error.
func (*answerTooLargeError) Error() string {
	return fmt.Sprintf("more than %d bytes", maxAnswerBytes)
}

// sendToAny sends a request to the servers in turn until one answers, and decodes
// its answer. It returns the last error when none does.
func (c *client) sendToAny(ctx context.Context, r request, into any) error {
	var lastErr error
	for _, server := range c.servers {
		lastErr = c.send(ctx, server, r, into)
		if lastErr == nil || !shouldTryNextServer(lastErr) {
			return lastErr
		}
	}
	return lastErr
}

// shouldTryNextServer reports whether another server may answer a request that
// failed with the error.
func shouldTryNextServer(err error) bool {
	var problem *problemError
	if !errors.As(err, &problem) {
		return true
	}
	switch problem.Problem.Reason {
	case ports.OperatorReasonUnavailable, ports.OperatorReasonUnknownOutcome,
		ports.OperatorReasonNoConfiguration, ports.OperatorReasonUnknownRequest:
		return true
	default:
		return false
	}
}

// send sends a request to one server and decodes the answer. It fails with
// *usageError for an invalid URL, *unreachableError, *problemError or
// *unreadableAnswerError.
func (c *client) send(ctx context.Context, server string, r request, into any) error {
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, server+r.path, bytes.NewReader(r.body))
	if err != nil {
		return &usageError{Problem: err.Error()}
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.key)
	for name, value := range r.header {
		httpRequest.Header.Set(name, value)
	}
	response, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return &unreachableError{Server: server, MayHaveBeenSent: mayHaveBeenSent(err), Cause: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return &unreachableError{Server: server, MayHaveBeenSent: true, Cause: err}
	}
	if len(body) > maxAnswerBytes {
		return &unreadableAnswerError{Server: server, Status: response.StatusCode, Cause: &answerTooLargeError{}}
	}
	return decodeAnswer(server, response.StatusCode, body, into)
}

func decodeAnswer(server string, status int, body []byte, into any) error {
	if status == http.StatusOK {
		if err := json.Unmarshal(body, into); err != nil {
			return &unreadableAnswerError{Server: server, Status: status, Cause: err}
		}
		return nil
	}
	problem := &problemError{Server: server}
	if err := json.Unmarshal(body, &problem.Problem); err != nil {
		return &unreadableAnswerError{Server: server, Status: status, Cause: err}
	}
	return problem
}

// mayHaveBeenSent reports whether a failed request may have reached the server.
// It can't have when no connection was opened.
func mayHaveBeenSent(err error) bool {
	var operation *net.OpError
	return !errors.As(err, &operation) || operation.Op != "dial"
}
