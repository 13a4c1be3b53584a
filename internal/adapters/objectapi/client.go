// Package objectapi is the HTTP client of the platform's object API. It is imported
// by internal/app and, for its HTTP transport, by platform; other packages use
// ports.ObjectAPI.
package objectapi

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/ports"
)

const (
	// requestTimeout bounds one request that is not a watch.
	requestTimeout = 2 * time.Second
	// watchTimeout is how long the platform may delay its answer to a watch. A
	// watch on a dead connection fails after watchTimeout + watchGrace at the
	// latest.
	watchTimeout = 4 * time.Second
	// watchGrace is the additional time for the answer to arrive.
	watchGrace = time.Second
	// maxValueBytes is the maximum size of a value that is read.
	maxValueBytes = 1 << 20
)

// Client implements ports.ObjectAPI over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL    string
	httpClient *http.Client
	scope      tally.Scope
}

var _ ports.ObjectAPI = (*Client)(nil)

// New returns a client for the object API at the base URL. Its requests are
// counted as platform_calls, tagged by operation and result.
func New(baseURL string, scope tally.Scope) *Client {
	return &Client{
		baseURL:    strings.TrimSuffix(baseURL, "/") + "/v1/objects/",
		httpClient: NewHTTPClient(scope),
		scope:      scope,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.httpClient.CloseIdleConnections()
}

// Get implements ports.ObjectAPI.
func (c *Client) Get(ctx context.Context, name string) (ports.Object, error) {
	answer, err := c.send(ctx, request{operation: operationGet, method: http.MethodGet, name: name, timeout: requestTimeout})
	if err != nil {
		return ports.Object{}, err
	}
	return answer.object(name)
}

// Put implements ports.ObjectAPI.
func (c *Client) Put(ctx context.Context, name string, value []byte, expected ports.ObjectVersion) (ports.ObjectVersion, error) {
	answer, err := c.send(ctx, request{
		operation: operationPut,
		method:    http.MethodPut,
		name:      name,
		value:     value,
		expected:  &expected,
		timeout:   requestTimeout,
	})
	if err != nil {
		return 0, err
	}
	return answer.version()
}

// Delete implements ports.ObjectAPI.
func (c *Client) Delete(ctx context.Context, name string, expected ports.ObjectVersion) error {
	_, err := c.send(ctx, request{
		operation: operationDelete,
		method:    http.MethodDelete,
		name:      name,
		expected:  &expected,
		timeout:   requestTimeout,
	})
	return err
}

// Watch implements ports.ObjectAPI.
func (c *Client) Watch(ctx context.Context, name string, after ports.ObjectVersion) (ports.Object, error) {
	query := url.Values{}
	query.Set("watch", "true")
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("timeout", watchTimeout.String())
	answer, err := c.send(ctx, request{
		operation: operationWatch,
		method:    http.MethodGet,
		name:      name,
		query:     query,
		timeout:   watchTimeout + watchGrace,
	})
	if err != nil {
		return ports.Object{}, err
	}
	if answer.status == http.StatusNotModified {
		return ports.Object{Name: name, Version: after}, nil
	}
	return answer.object(name)
}

// request is one request to the platform.
type request struct {
	operation operation
	method    string
	name      string
	query     url.Values
	value     []byte
	// expected is the version that the object must still have, zero if it must not
	// exist; nil for an unconditional request.
	expected *ports.ObjectVersion
	timeout  time.Duration
}

// answer is the platform's answer to a request, with any status.
type answer struct {
	operation operation
	status    int
	etag      string
	value     []byte
}

// send sends a request and counts it. It fails with *ports.PlatformUnavailableError
// if there is no complete answer, or with the errors of statusError.
func (c *Client) send(ctx context.Context, request request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, request.timeout)
	defer cancel()
	result, err := c.roundTrip(ctx, request)
	c.countRequest(request.operation, resultTag(result, err))
	if err != nil {
		// The next request must not reuse the same dead connection.
		c.httpClient.CloseIdleConnections()
		return answer{}, &ports.PlatformUnavailableError{Operation: string(request.operation), Cause: err}
	}
	return result, statusError(request, result)
}

func (c *Client) roundTrip(ctx context.Context, request request) (answer, error) {
	httpRequest, err := c.newHTTPRequest(ctx, request)
	if err != nil {
		return answer{}, err
	}
	httpResponse, err := c.httpClient.Do(httpRequest)
	if err != nil {
		return answer{}, eris.Wrap(err, "object API")
	}
	defer httpResponse.Body.Close()
	value, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxValueBytes+1))
	if err != nil {
		return answer{}, eris.Wrap(err, "object API answer")
	}
	if len(value) > maxValueBytes {
		return answer{}, &unusableAnswerError{Status: httpResponse.StatusCode, Reason: "a value above 1 MiB"}
	}
	return answer{
		operation: request.operation,
		status:    httpResponse.StatusCode,
		etag:      httpResponse.Header.Get("ETag"),
		value:     value,
	}, nil
}

func (c *Client) newHTTPRequest(ctx context.Context, request request) (*http.Request, error) {
	target := c.baseURL + escapePath(request.name)
	if request.query != nil {
		target += "?" + request.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(request.value))
	if err != nil {
		return nil, eris.Wrap(err, "object API request")
	}
	// Without GetBody the transport can't send a write a second time by itself.
	httpRequest.GetBody = nil
	if request.expected != nil {
		setPrecondition(httpRequest.Header, *request.expected)
	}
	return httpRequest, nil
}

// escapePath escapes an object name for a URL path, except for its slashes.
func escapePath(name string) string {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return strings.Join(segments, "/")
}

// setPrecondition makes the request conditional on the object's version.
func setPrecondition(header http.Header, expected ports.ObjectVersion) {
	if expected == 0 {
		header.Set("If-None-Match", "*")
		return
	}
	header.Set("If-Match", formatETag(expected))
}
