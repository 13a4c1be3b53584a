package logging

import (
	stdlog "log"

	"github.com/phuslu/log"
)

// libraryLine is the most bytes of a library's line that are kept: what it was,
// and not the bytes of an answer that net/http quotes after that.
const libraryLine = 48

// TakeLibraryLines writes what libraries say through the standard logger as bounded
// lines of this log.
func TakeLibraryLines(logger *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(&libraryLines{lines: NewLimiter(logger), logger: logger})
}

type libraryLines struct {
	lines  *Limiter
	logger *log.Logger
}

// Write implements io.Writer for one line.
func (l *libraryLines) Write(line []byte) (int, error) {
	if l.lines.Allow("library-message", "") {
		kept := line[:min(len(line), libraryLine)]
		l.logger.Warn().Str("event", "library-message").Bytes("detail", kept).Msg("")
	}
	return len(line), nil
}
