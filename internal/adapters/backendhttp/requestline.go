package backendhttp

import (
	"bytes"
	"io"

	"hawthornstream/internal/core/requesttarget"
)

// targetScheme is what net/url puts before an opaque target that begins with two slashes.
const targetScheme = "http:"

// correctedRequestLine restores the target of a request line to which net/url has added a
// scheme.
type correctedRequestLine struct {
	method string
}

// newCorrectedRequestLine returns nil for a request whose target net/http sends unchanged.
func newCorrectedRequestLine(request *Request) *correctedRequestLine {
	if requesttarget.FormOf(request.Target) != requesttarget.FormLeadingSlashes {
		return nil
	}
	return &correctedRequestLine{method: request.Method}
}

// write writes the first bytes of a request, which hold the method and the beginning of the
// target, without the scheme. As io.Writer requires, it returns how many bytes of p were
// written, with those that were left out.
func (l *correctedRequestLine) write(w io.Writer, p []byte) (int, error) {
	begin := []byte(l.method + " ")
	rest, found := bytes.CutPrefix(p, append(begin, targetScheme...))
	if !found {
		return w.Write(p)
	}
	n, err := w.Write(append(begin, rest...))
	if n > len(begin) || err == nil {
		n += len(targetScheme)
	}
	return n, err
}
