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

// maxLogLine is the longest line of a log that is read, in bytes.
const maxLogLine = 1 << 20

// logLine is one line of a daemon's log that names the request.
type logLine struct {
	at   time.Time
	from string
	text string
}

// logTime finds the time of a line, which may come behind what a collector put
// before it.
var logTime = regexp.MustCompile(`time=(\S+) `)

// LogUnreadableError says that a log can't be read.
type LogUnreadableError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *LogUnreadableError) Error() string {
	return fmt.Sprintf("log %s can't be read: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *LogUnreadableError) Unwrap() error {
	return e.Cause
}

// explainLogs prints what the logs say of a request.
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
		c.printf("%8s  %s  %s\n", line.at.Sub(lines[0].at).Round(time.Millisecond), line.from, line.text)
	}
	return ExitSuccess
}

func (c *explainCommand) readLog(id, path string) ([]logLine, error) {
	if path == "-" {
		return linesNaming(id, path, c.In)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, &LogUnreadableError{Path: path, Cause: err}
	}
	defer func() { _ = file.Close() }()
	return linesNaming(id, path, file)
}

// linesNaming returns the lines whose request is the given one.
func linesNaming(id, path string, from io.Reader) ([]logLine, error) {
	field := ` request="` + id + `" `
	var lines []logLine
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text+" ", field) {
			continue
		}
		line := logLine{from: path, text: text}
		if match := logTime.FindStringSubmatch(text); match != nil {
			at, err := time.Parse(time.RFC3339Nano, match[1])
			if err != nil {
				return nil, &LogUnreadableError{Path: path, Cause: err}
			}
			line.at = at
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, &LogUnreadableError{Path: path, Cause: err}
	}
	return lines, nil
}
