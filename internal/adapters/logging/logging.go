// Package logging makes the daemon's logger, which writes each event as one logfmt
// line of key=value pairs. It may be imported by cmd, internal/app and the other
// adapters.
package logging

import (
	"bytes"
	"io"

	"github.com/phuslu/log"
)

// timeFormat is RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

var logfmtFormatter = log.LogfmtFormatter{TimeField: "time"}

// emptyMessageSuffix is how the library's formatter ends the line of an entry
// without a message.
var emptyMessageSuffix = []byte(" \"\"\n")

// New returns a logger that writes events of at least the level to w. An event is
// named by its "event" key; the message of an entry stays empty.
func New(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: timeFormat,
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: formatEvent},
	}
}

// formatEvent writes one event as a logfmt line without the empty message.
func formatEvent(out io.Writer, args *log.FormatterArgs) (int, error) {
	var line bytes.Buffer
	if _, err := logfmtFormatter.Formatter(&line, args); err != nil {
		return 0, err
	}
	text, found := bytes.CutSuffix(line.Bytes(), emptyMessageSuffix)
	if found {
		text = append(text, '\n')
	}
	return out.Write(text)
}
