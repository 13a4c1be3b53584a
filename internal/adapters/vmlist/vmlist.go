// Package vmlist reads the platform's list of VMs, which lags behind the actual
// VMs, over HTTP. It is imported by internal/app/cluster only.
package vmlist

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/httpanswer"
	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/adapters/metrics"
	"hawthornstream/internal/core/fieldcheck"
	"hawthornstream/internal/core/jsondepth"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/ports"
)

const (
	// requestTimeout bounds one request, the reading of its answer included.
	requestTimeout = 5 * time.Second
	// maxListBytes bounds the decompressed answer.
	maxListBytes = 16 << 20
	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 32 << 10
	// heldFraction is the fraction of the memory held for others that an answer and the list
	// that is read from it may use, and maxHeldBytes the most of it.
	heldFraction = 0.4
	maxHeldBytes = 256 << 20
	// bytesPerEntry is what an entry needs beside its text, decoded and in the list of VMs.
	bytesPerEntry = 256
	operationName = "list VMs"
	gzipEncoding  = "gzip"
)

// Client implements ports.VMList. It is safe for concurrent use.
type Client struct {
	listURL       string
	httpClient    *http.Client
	requests      tally.Counter
	failures      tally.Counter
	receivedBytes tally.Counter
	// entriesSetAside counts the entries that can't be decoded.
	entriesSetAside tally.Counter
	logger          *log.Logger
	limiter         *logging.Limiter
	held            *heldmemory.Share

	mu sync.Mutex
	// etag and cachedVMs are the entity tag and the list of the last complete
	// answer; etag is empty if there is none to revalidate.
	etag      string
	cachedVMs []ports.VM
}

// New returns a client for the list at the URL. It counts its requests, failed
// requests, received bytes (compressed, bodies only) and rejected answers in the scope.
func New(listURL string, account *heldmemory.Account, scope tally.Scope, logger *log.Logger) *Client {
	tagged := scope.Tagged(map[string]string{"operation": "list-vms"})
	return &Client{
		listURL: listURL,
		httpClient: &http.Client{
			Timeout: requestTimeout,
			Transport: httpanswer.NewTransport(
				&http.Transport{MaxIdleConns: 1, MaxResponseHeaderBytes: maxHeadBytes},
				metrics.NewCounterVec(tagged, "vm_list_answers_rejected", "reason"),
			),
		},
		requests:      tagged.Counter("vm_list_requests"),
		failures:      tagged.Counter("vm_list_failures"),
		receivedBytes: tagged.Counter("vm_list_received_bytes"),

		held: account.NewShare(memory.KindList, "vm-list", heldFraction, maxHeldBytes),

		entriesSetAside: tagged.Counter("vm_list_entries_set_aside"), logger: logger, limiter: logging.NewLimiter(logger),
	}
}

// List implements ports.VMList.
func (c *Client) List(ctx context.Context) ([]ports.VM, error) {
	c.requests.Inc(1)
	vms, err := c.fetch(ctx)
	if err != nil {
		c.failures.Inc(1)
		return nil, &ports.PlatformUnavailableError{Operation: operationName, Cause: err}
	}
	return vms, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.httpClient.CloseIdleConnections()
}

// fetch requests the list, or only its revalidation if the client has a cached one.
func (c *Client) fetch(ctx context.Context) ([]ports.VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.listURL, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept-Encoding", gzipEncoding)
	etag, cachedVMs := c.cached()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	switch {
	case response.StatusCode == http.StatusNotModified && etag != "":
		return cachedVMs, nil
	case response.StatusCode != http.StatusOK:
		return nil, &StatusError{Status: response.StatusCode}
	}
	body := &countingReader{reader: response.Body}
	vms, err := c.decode(body, response.Header.Get("Content-Encoding"))
	c.receivedBytes.Inc(body.bytesRead)
	if err != nil {
		return nil, err
	}
	c.setCached(response.Header.Get("ETag"), vms)
	return vms, nil
}

func (c *Client) cached() (string, []ports.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.cachedVMs
}

func (c *Client) setCached(etag string, vms []ports.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.cachedVMs = etag, vms
}

// countingReader counts the bytes read from reader.
type countingReader struct {
	reader    io.Reader
	bytesRead int64
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.bytesRead += int64(n)
	return n, err
}

// decode decodes an answer. Entries that can't be decoded are left out. It fails with
// *ListTooLargeError or *heldmemory.MessageRefusedError rather than return a part of the list.
func (c *Client) decode(body io.Reader, encoding string) ([]ports.VM, error) {
	if encoding == gzipEncoding {
		decompressed, err := gzip.NewReader(body)
		if err != nil {
			return nil, err
		}
		body = decompressed
	}
	held := c.held.NewPart()
	defer held.Release()
	limited := &io.LimitedReader{R: body, N: maxListBytes + 1}
	data, err := held.ReadAll(limited)
	if err != nil {
		return nil, err
	}
	if limited.N == 0 {
		return nil, &ListTooLargeError{}
	}
	if err := held.Grow(2*int64(len(data)) + bytesPerEntry*int64(jsondepth.CountElements(data))); err != nil {
		return nil, err
	}
	var list struct {
		VMs *[]json.RawMessage `json:"vms"`
	}
	if err := jsondepth.Unmarshal(data, &list); err != nil {
		return nil, err
	}
	if list.VMs == nil {
		return nil, &MissingListError{}
	}
	return c.decodeEntries(*list.VMs), nil
}

// decodeEntries returns the entries that can be decoded. It counts and logs the others.
func (c *Client) decodeEntries(entries []json.RawMessage) []ports.VM {
	vms := make([]ports.VM, 0, len(entries))
	for i, entry := range entries {
		var vm ports.VM
		if err := json.Unmarshal(entry, &vm); err != nil {
			c.entriesSetAside.Inc(1)
			if c.limiter.Allow("vm-list-entry-set-aside", "") {
				c.logger.Warn().Str("event", "vm-list-entry-set-aside").Int("index", i).
					Str("name", fieldcheck.Quote(string(vm.Name))).Str("error", fieldcheck.Quote(err.Error())).Msg("")
			}
			continue
		}
		vms = append(vms, vm)
	}
	return vms
}

// StatusError reports that the platform answered with an unexpected status.
type StatusError struct {
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("unexpected status %d", e.Status)
}

// ListTooLargeError reports that the answer has more than maxListBytes bytes.
type ListTooLargeError struct{}

// Error implements error.
func (e *ListTooLargeError) Error() string {
	return fmt.Sprintf("the list of VMs has more than %d bytes", maxListBytes)
}

// MissingListError reports that the answer has no "vms" field.
type MissingListError struct{}

// Error implements error.
func (e *MissingListError) Error() string {
	return "the answer has no list of VMs"
}
