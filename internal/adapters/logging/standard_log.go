package logging

import (
	stdlog "log"

	"github.com/phuslu/log"
)

// maxMessageBytes is the maximum length of a logged library message. It keeps what
// happened and cuts off the bytes of the answer that net/http quotes after that.
const maxMessageBytes = 48

// RedirectStandardLog redirects the standard library's logger, which libraries use,
// to this one: as "library-message" events, truncated and limited in number.
func RedirectStandardLog(logger *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(&standardLogWriter{limiter: NewLimiter(logger), logger: logger})
}

// standardLogWriter is the output of the standard library's logger.
type standardLogWriter struct {
	limiter *Limiter
	logger  *log.Logger
}

// Write implements io.Writer for one line.
func (w *standardLogWriter) Write(line []byte) (int, error) {
	if w.limiter.Allow("library-message", "") {
		truncated := line[:min(len(line), maxMessageBytes)]
		w.logger.Warn().Str("event", "library-message").Bytes("detail", truncated).Msg("")
	}
	return len(line), nil
}
