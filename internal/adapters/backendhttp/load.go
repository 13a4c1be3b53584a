package backendhttp

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"hawthornstream/internal/ports"
)

const (
	// loadReportTimeout is the longest time that reading a load report may take.
	loadReportTimeout = 2 * time.Second
	// cancelTimeout is the longest time that a cancellation may take.
	cancelTimeout = 2 * time.Second
	// maxControlAnswerBytes limits the body of a load report and of the answer to
	// a cancellation.
	maxControlAnswerBytes = 4 << 10

	loadTarget = "/v1/load"
)

// Load fetches a server's load report over any connection. It fails with
// *NoLoadReportError if the server answers without a valid report, with
// *AnswerMismatchError if the answer names another request, and otherwise with the
// errors of Do and Exchange.ReadAll.
func (c *Client) Load(ctx context.Context, server ports.VM) (ports.LoadReport, error) {
	return c.load(ctx, server, false)
}

// IsAlive reports whether the server answers a request for its load report over a
// new connection, with whatever content. It distinguishes a slow server from a
// broken connection.
func (c *Client) IsAlive(ctx context.Context, server ports.VM) bool {
	_, err := c.load(ctx, server, true)
	var noReport *NoLoadReportError
	var tooLarge *AnswerTooLargeError
	var mismatch *AnswerMismatchError
	return err == nil || errors.As(err, &noReport) || errors.As(err, &tooLarge) || errors.As(err, &mismatch)
}

func (c *Client) load(ctx context.Context, server ports.VM, forceNew bool) (ports.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, loadReportTimeout)
	defer cancel()
	id := ports.RequestID("load-" + strconv.FormatUint(c.loadRequests.Add(1), 10))
	exchange, err := c.Do(ctx, &Request{
		Address: server.Address, Method: http.MethodGet, Target: loadTarget,
		Header: http.Header{HeaderRequestID: {string(id)}}, ForceNewConnection: forceNew,
	})
	if err != nil {
		return ports.LoadReport{}, err
	}
	defer exchange.Abort()
	if exchange.Response.Header.Get(HeaderRequestID) != "" && !exchange.AnswersRequest(id) {
		return ports.LoadReport{}, &AnswerMismatchError{Address: server.Address}
	}
	body, err := exchange.ReadAll(maxControlAnswerBytes)
	if err != nil {
		return ports.LoadReport{}, err
	}
	var report ports.LoadReport
	if exchange.Response.StatusCode != http.StatusOK || json.Unmarshal(body, &report) != nil {
		return ports.LoadReport{}, &NoLoadReportError{Address: server.Address, Status: exchange.Response.StatusCode}
	}
	exchange.Finish()
	return report, nil
}

// CancelAsync sends a server a DELETE request for target, which ends the run with
// the given ID, and returns without waiting. It is sent at most once: failures are
// ignored, and nothing is sent after Close.
func (c *Client) CancelAsync(address, target string, id ports.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.cancellations.Go(func() { c.cancel(address, target, id) })
}

func (c *Client) cancel(address, target string, id ports.RequestID) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	header := http.Header{HeaderRequestID: {string(id)}}
	exchange, err := c.Do(ctx, &Request{Address: address, Method: http.MethodDelete, Target: target, Header: header, ForceNewConnection: true})
	if err != nil {
		return
	}
	defer exchange.Abort()
	if _, err := exchange.ReadAll(maxControlAnswerBytes); err == nil {
		exchange.Finish()
	}
}
