package backendhttp

import (
	"bytes"
	"io"
	"sync/atomic"
)

// requestBody is the body of a request. It hides the type of the reader: otherwise net/http would
// set Request.GetBody and could rewind the body to send the request again.
type requestBody struct {
	content *bytes.Reader
	// unread is the number of bytes that net/http has not taken to write them.
	unread atomic.Int64
}

func newRequestBody(content []byte) *requestBody {
	b := &requestBody{content: bytes.NewReader(content)}
	b.unread.Store(int64(len(content)))
	return b
}

// reader returns the body for net/http, nil if it is empty.
func (b *requestBody) reader() io.Reader {
	if b.isRead() {
		return nil
	}
	return b
}

// Read implements io.Reader.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.content.Read(p)
	b.unread.Add(-int64(n))
	return n, err
}

// isRead reports whether net/http has taken the whole body.
func (b *requestBody) isRead() bool {
	return b.unread.Load() == 0
}
