package baseline

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"

	"hawthornstream/testbench/standin"
)

const (
	maxIdleConnectionsPerBackend = 256
	maxBodyBytes                 = 1 << 20
	copyBufferBytes              = 16 << 10
)

// Backend is an engine and the number of requests that it runs at once.
type Backend struct {
	URL       string
	BatchSize int
}

// call is a request body with the fields that the routers read from it.
type call struct {
	body     []byte
	Metadata struct {
		Workspace string `json:"workspace"`
		Operation string `json:"operation"`
	} `json:"metadata"`
}

var lastRequestNumber atomic.Int64

func readCall(r *http.Request) (*call, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return nil, err
	}
	parsed := &call{body: body}
	return parsed, json.Unmarshal(body, parsed)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnectionsPerBackend,
		DisableCompression:  true,
	}}
}

// forward sends a call to a backend and streams the answer to w. It calls onEvents with
// the number of events that arrived since the previous call. A connection that breaks
// during the answer aborts the answer to the caller as well.
func forward(ctx context.Context, client *http.Client, w http.ResponseWriter, backend Backend, incoming *call, onEvents func(events int)) {
	requestID := "baseline-" + strconv.FormatInt(lastRequestNumber.Add(1), 10)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, backend.URL+"/v1/chat/completions", bytes.NewReader(incoming.body))
	if err != nil {
		return
	}
	request.Header.Set(standin.HeaderRequestID, requestID)
	response, err := client.Do(request)
	if err != nil {
		cancelRequest(client, backend, requestID)
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = response.Body.Close() }()
	w.Header().Set(standin.HeaderRequestID, requestID)
	w.Header().Set("Hawthornstream-Run", "ran")
	w.WriteHeader(response.StatusCode)
	buffer := make([]byte, copyBufferBytes)
	flusher := http.NewResponseController(w)
	for {
		n, err := response.Body.Read(buffer)
		_, _ = w.Write(buffer[:n])
		_ = flusher.Flush()
		onEvents(bytes.Count(buffer[:n], []byte("\n\n")))
		if err == io.EOF {
			return
		}
		if err != nil {
			cancelRequest(client, backend, requestID)
			panic(http.ErrAbortHandler)
		}
	}
}

// cancelRequest asks the backend to cancel a request. Errors are ignored.
func cancelRequest(client *http.Client, backend Backend, requestID string) {
	request, err := http.NewRequest(http.MethodDelete, backend.URL+"/v1/streams/"+requestID, nil)
	if err != nil {
		return
	}
	if response, err := client.Do(request); err == nil {
		_ = response.Body.Close()
	}
}
