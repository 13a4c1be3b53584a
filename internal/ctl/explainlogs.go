package ctl

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/google/subcommands"
)

// maxLogLineBytes bounds a log line; a longer line makes the log unreadable.
const maxLogLineBytes = 1 << 20

// logLine is one line of a daemon's log that contains the request ID. The time is
// zero when the line has none; source is the path of the log.
type logLine struct {
	at     time.Time
	source string
	text   string
}

// logTimePattern finds the time of a line. It is not anchored, since a log
// collector may have added a prefix to the line.
var logTimePattern = regexp.MustCompile(`time=(\S+) `)

// UnreadableLogError reports that a log can't be read.
type UnreadableLogError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *UnreadableLogError) Error() string {
	return fmt.Sprintf("log %s can't be read: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableLogError) Unwrap() error {
	return e.Cause
}

// explainLogs prints the log lines of a request in order of time.
func (c *explainCommand) explainLogs(id string, paths []string) subcommands.ExitStatus {
	if len(paths) == 0 {
		paths = []string{"-"}
	}
	var lines []logLine
	for _, path := range paths {
		found, err := c.readLog(id, path)
		if err != nil {
			return c.fail(err)
		}
		lines = append(lines, found...)
	}
	if len(lines) == 0 {
		c.printf("no line names request %s\n", id)
		return ExitFailure
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	for _, line := range lines {
		c.printf("%8s  %s  %s\n", line.at.Sub(lines[0].at).Round(time.Millisecond), line.source, line.text)
	}
	return ExitSuccess
}

func (c *explainCommand) readLog(id, path string) ([]logLine, error) {
	if path == "-" {
		return linesOfRequest(id, path, c.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, &UnreadableLogError{Path: path, Cause: err}
	}
	defer func() { _ = file.Close() }()
	return linesOfRequest(id, path, file)
}

// linesOfRequest returns the lines whose request ID is the given one.
func linesOfRequest(id, path string, reader io.Reader) ([]logLine, error) {
	requestField := ` request="` + id + `" `
	var lines []logLine
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text+" ", requestField) {
			continue
		}
		line := logLine{source: path, text: text}
		if match := logTimePattern.FindStringSubmatch(text); match != nil {
			at, err := time.Parse(time.RFC3339Nano, match[1])
			if err != nil {
				return nil, &UnreadableLogError{Path: path, Cause: err}
			}
			line.at = at
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, &UnreadableLogError{Path: path, Cause: err}
	}
	return lines, nil
}
