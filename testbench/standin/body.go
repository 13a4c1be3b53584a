package standin

import (
	"context"
	"net/http"
	"strconv"
)

// WriteBodyWithFault sends body as a JSON answer and injects fault if it is of a
// kind that occurs within the answer. It panics with http.ErrAbortHandler to
// abort a truncated answer.
func WriteBodyWithFault(ctx context.Context, w http.ResponseWriter, body []byte, fault Fault) {
	w.Header().Set("Content-Type", "application/json")
	faultOffset := min(fault.After, len(body))
	switch fault.Kind {
	case FaultTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body[:faultOffset])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultResetAnswer:
		_, _ = w.Write(body[:faultOffset])
		_ = http.NewResponseController(w).Flush()
		ResetConnection(w)
	case FaultSilentAnswer:
		_, _ = w.Write(body[:faultOffset])
		_ = http.NewResponseController(w).Flush()
		<-ctx.Done()
	case FaultOverlong:
		writeOverlongBody(w, body)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = w.Write(body)
	}
}

// writeOverlongBody sends body and further bytes beyond its Content-Length.
func writeOverlongBody(w http.ResponseWriter, body []byte) {
	connection, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = connection.Close() }()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(buffer)
	_, _ = buffer.WriteString("\r\n")
	_, _ = buffer.Write(body)
	_, _ = buffer.WriteString("surplus")
	_ = buffer.Flush()
}
