// Package objectapi speaks with the platform's object API over HTTP. Wiring
// imports it; everything else uses ports.ObjectAPI.
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
	// callTimeout bounds one call that is not a watch.
	callTimeout = 2 * time.Second
	// watchTimeout is how long the platform may hold a watch open. A connection
	// that went silent during a watch is found after watchTimeout + watchGrace.
	watchTimeout = 4 * time.Second
	// watchGrace is the time that the answer to an ended watch may take.
	watchGrace = time.Second
	// maxValue is the largest value that is read, in bytes.
	maxValue = 1 << 20
)

// Client is a ports.ObjectAPI over HTTP. It is safe for concurrent use.
type Client struct {
	base  string
	http  *http.Client
	scope tally.Scope
}

var _ ports.ObjectAPI = (*Client)(nil)

// New returns a client for the object API at the base URL. Calls are counted
// as platform_calls, tagged by operation and result.
func New(base string, scope tally.Scope) *Client {
	return &Client{
		base:  strings.TrimSuffix(base, "/") + "/v1/objects/",
		http:  NewHTTPClient(),
		scope: scope,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Get implements ports.ObjectAPI.
func (c *Client) Get(ctx context.Context, name string) (ports.Object, error) {
	answer, err := c.call(ctx, call{operation: operationGet, method: http.MethodGet, name: name, timeout: callTimeout})
	if err != nil {
		return ports.Object{}, err
	}
	return answer.object(name)
}

// Put implements ports.ObjectAPI.
func (c *Client) Put(ctx context.Context, name string, value []byte, expected ports.ObjectVersion) (ports.ObjectVersion, error) {
	answer, err := c.call(ctx, call{
		operation: operationPut,
		method:    http.MethodPut,
		name:      name,
		value:     value,
		expected:  &expected,
		timeout:   callTimeout,
	})
	if err != nil {
		return 0, err
	}
	return answer.version()
}

// Delete implements ports.ObjectAPI.
func (c *Client) Delete(ctx context.Context, name string, expected ports.ObjectVersion) error {
	_, err := c.call(ctx, call{
		operation: operationDelete,
		method:    http.MethodDelete,
		name:      name,
		expected:  &expected,
		timeout:   callTimeout,
	})
	return err
}

// Watch implements ports.ObjectAPI.
func (c *Client) Watch(ctx context.Context, name string, after ports.ObjectVersion) (ports.Object, error) {
	query := url.Values{}
	query.Set("watch", "true")
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("timeout", watchTimeout.String())
	answer, err := c.call(ctx, call{
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

// call is one request to the platform.
type call struct {
	operation operation
	method    string
	name      string
	query     url.Values
	value     []byte
	expected  *ports.ObjectVersion
	timeout   time.Duration
}

// answer is a usable answer of the platform.
type answer struct {
	operation operation
	status    int
	etag      string
	value     []byte
}

func (c *Client) call(ctx context.Context, call call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.timeout)
	defer cancel()
	result, err := c.exchange(ctx, call)
	c.count(call.operation, resultOf(result, err))
	if err != nil {
		// The next call must not meet the same dead connection.
		c.http.CloseIdleConnections()
		return answer{}, &ports.PlatformUnavailableError{Operation: string(call.operation), Cause: err}
	}
	return result, judge(call, result)
}

func (c *Client) exchange(ctx context.Context, call call) (answer, error) {
	request, err := c.request(ctx, call)
	if err != nil {
		return answer{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, eris.Wrap(err, "object API")
	}
	defer response.Body.Close()
	value, err := io.ReadAll(io.LimitReader(response.Body, maxValue+1))
	if err != nil {
		return answer{}, eris.Wrap(err, "object API answer")
	}
	if len(value) > maxValue {
		return answer{}, &unusableAnswerError{Status: response.StatusCode, What: "a value above 1 MiB"}
	}
	return answer{
		operation: call.operation,
		status:    response.StatusCode,
		etag:      response.Header.Get("ETag"),
		value:     value,
	}, nil
}

func (c *Client) request(ctx context.Context, call call) (*http.Request, error) {
	target := c.base + escape(call.name)
	if call.query != nil {
		target += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.value))
	if err != nil {
		return nil, eris.Wrap(err, "object API request")
	}
	// The transport must not send a write twice by itself.
	request.GetBody = nil
	if call.expected != nil {
		setCondition(request.Header, *call.expected)
	}
	return request, nil
}

// escape keeps the slashes of a name.
func escape(name string) string {
	parts := strings.Split(name, "/")
	for i, part := range parts {
		parts[i] = url.PathEscape(part)
	}
	return strings.Join(parts, "/")
}

func setCondition(header http.Header, expected ports.ObjectVersion) {
	if expected == 0 {
		header.Set("If-None-Match", "*")
		return
	}
	header.Set("If-Match", quoteVersion(expected))
}
