package soak

import (
	"fmt"
	"regexp"
	"strings"
)

// streamRead is what the body of an answer has of a stream.
type streamRead struct {
	// lastEvent is the ID of the last whole event, or the one after which the caller
	// resumes the stream.
	lastEvent int
	// versions are the software versions that the events name.
	versions []string
	// rest is what follows the last whole event.
	rest string
	// problem says what the body has that is not the next event; empty for nothing.
	problem string
}

var eventVersion = regexp.MustCompile(` of (v[0-9]+)\n`)

// readStream reads the events that follow sent.lastEvent and compares each with the one that
// is due, also in an answer that broke off.
func readStream(sent call, body string) streamRead {
	read := streamRead{lastEvent: sent.lastEvent, rest: body}
	for {
		text, rest, isWhole := strings.Cut(read.rest, "\n\n")
		due := read.lastEvent + 1
		if !isWhole {
			if !isPartOfEvent(sent.streamID(), due, text) {
				read.problem = fmt.Sprintf("%q where event %d is due", text, due)
			}
			return read
		}
		text += "\n\n"
		match := eventVersion.FindStringSubmatch(text)
		if match == nil || due > streamEventCount || text != streamEvent(sent.streamID(), due, match[1]) {
			read.problem = fmt.Sprintf("%q where event %d is due", text, due)
			return read
		}
		read.versions = append(read.versions, match[1])
		read.lastEvent, read.rest = due, rest
	}
}

// isPartOfEvent reports whether text is the beginning of the event.
func isPartOfEvent(streamID string, event int, text string) bool {
	for version := range softwareVersions {
		if strings.HasPrefix(streamEvent(streamID, event, fmt.Sprintf("v%d", version+1)), text) {
			return true
		}
	}
	return false
}
