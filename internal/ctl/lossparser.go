package ctl

import (
	"bufio"
	"io"
	"regexp"
	"strconv"
	"time"
)

// Events of the daemons' logs that report calls that were not served.
const (
	eventCallEnded        = "call-ended"
	eventRequestRefused   = "request-refused"
	eventConnectionClosed = "connection-closed-unread"
	eventLinesLeftOut     = "lines-left-out"
)

// maxImmediateMillis is the time in milliseconds up to which a refusal counts as
// immediate.
const maxImmediateMillis = 10

// loss is one or more calls that were not served for the same cause.
type loss struct {
	cause, class, workspace string
	at                      time.Time
	// weight is the number of calls that the line stands for.
	weight float64
}

// lineKey identifies the lines that share a limit in a daemon's log.
type lineKey struct{ event, reason string }

// lossParser collects the losses of one daemon's log.
type lossParser struct {
	// lines holds the losses by the limit that applies to their lines.
	lines map[lineKey][]loss
	// written counts the lines of each limit, served calls included, and leftOut those
	// that were left out.
	written, leftOut map[lineKey]int
}

func newLossParser() *lossParser {
	return &lossParser{
		lines: make(map[lineKey][]loss), written: make(map[lineKey]int), leftOut: make(map[lineKey]int),
	}
}

// logFieldPattern finds the fields of a line: key=value with or without quotes.
var logFieldPattern = regexp.MustCompile(`(\w+)=(?:"((?:[^"\\]|\\.)*)"|(\S+))`)

func parseLogFields(text string) map[string]string {
	fields := make(map[string]string)
	for _, match := range logFieldPattern.FindAllStringSubmatch(text, -1) {
		fields[match[1]] = match[2] + match[3]
	}
	return fields
}

func (p *lossParser) read(reader io.Reader) error {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if err := p.addLine(parseLogFields(scanner.Text())); err != nil {
			return err
		}
	}
	return scanner.Err()
}

func (p *lossParser) addLine(fields map[string]string) error {
	event, reason := fields["event"], fields["reason"]
	switch event {
	case eventLinesLeftOut:
		count, err := strconv.Atoi(fields["lines"])
		if err != nil {
			return err
		}
		p.leftOut[lineKey{fields["of"], fields["detail"]}] += count
		return nil
	case eventCallEnded, eventRequestRefused, eventConnectionClosed:
	default:
		return nil
	}
	key := lineKey{event, reason}
	p.written[key]++
	if reason == "" {
		return nil
	}
	l := loss{cause: lossCause(event, fields), class: fields["class"], workspace: fields["workspace"], weight: 1}
	if text := fields["time"]; text != "" {
		at, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return err
		}
		l.at = at
	}
	p.lines[key] = append(p.lines[key], l)
	return nil
}

// lossCause describes how a call was lost, with the reason that the log gives.
func lossCause(event string, fields map[string]string) string {
	reason := fields["reason"]
	switch {
	case event == eventConnectionClosed:
		return "connection closed unread: " + reason
	case event == eventRequestRefused:
		return "request not accepted: " + reason
	case fields["run"] != "not-run":
		return "sent, no whole answer: " + reason
	}
	took, err := strconv.ParseFloat(fields["took"], 64)
	if err == nil && took > maxImmediateMillis {
		return "refused after waiting: " + reason
	}
	return "refused at once: " + reason
}

// losses returns the losses. Each stands for its part of the lines that were left out.
func (p *lossParser) losses() []loss {
	var all []loss
	for key, lines := range p.lines {
		weight := 1 + float64(p.leftOut[key])/float64(p.written[key])
		for _, l := range lines {
			l.weight = weight
			all = append(all, l)
		}
	}
	return all
}
