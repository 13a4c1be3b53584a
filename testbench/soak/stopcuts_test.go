package soak

import (
	"net/http"
	"slices"
	"testing"
	"time"
)

// A check that excuses every call that ends in a stop would see no fault.
func TestOnlyCallsThatOutlastStopMayBeCut(t *testing.T) {
	const (
		longs, shorts, mixed = 3, 2, 1
		cutAfter             = leftToCalls + 100*time.Millisecond
	)
	for _, tt := range []struct {
		name string
		kind int
		// sentAfter and endedAfter are the times from the signal to the call and to its end, and
		// length that of its run, which begins at once.
		sentAfter, length, endedAfter  time.Duration
		knows, otherStop, isLate, want bool
	}{
		{name: "sent before", kind: longs, sentAfter: -time.Second, length: longCall, endedAfter: cutAfter, want: true},
		{name: "sent before, would have ended", kind: longs, sentAfter: -time.Second, length: time.Second, endedAfter: cutAfter},
		{name: "sent before, ended early", kind: longs, sentAfter: -time.Second, length: longCall, endedAfter: time.Second},
		{name: "always long", kind: longs, sentAfter: time.Second, length: longCall, endedAfter: cutAfter},
		{name: "always long, relayed", kind: longs, sentAfter: time.Second, length: longCall, endedAfter: cutAfter, isLate: true},
		{name: "stop of another daemon", kind: longs, sentAfter: -time.Second, length: longCall, endedAfter: cutAfter, otherStop: true},
		{name: "stop of the daemon that serves the relay", kind: longs, sentAfter: -time.Second, length: longCall, endedAfter: cutAfter, otherStop: true, isLate: true, want: true},
		{name: "longer than any known", kind: mixed, sentAfter: time.Second, length: longCall, endedAfter: cutAfter, want: true},
		{name: "as long as one known", kind: mixed, sentAfter: time.Second, length: longCall, endedAfter: cutAfter, knows: true},
		{name: "short", kind: shorts, sentAfter: time.Second, length: time.Second, endedAfter: cutAfter},
	} {
		c, now := newStopCuts(), time.Now()
		c.longParts = map[string]float64{callKinds[longs].path: 1, callKinds[mixed].path: 0.3, callKinds[shorts].path: 0}
		sent := sentCall{call: call{id: "w", kind: callKinds[tt.kind]}, address: "d1", sentAt: now.Add(tt.sentAfter - tt.endedAfter)}
		stopping := "d1"
		if tt.otherStop {
			stopping = "d2"
		}
		if tt.isLate {
			c.late["d1"] = true
		}
		c.begin(stopping).signalAt = now.Add(-tt.endedAfter)
		if tt.knows {
			c.completed[completions{"d1", sent.kind.path}] = []completion{{at: sent.sentAt.Add(-time.Second), length: longCall}}
		}
		run := measuredRun{beganAt: sent.sentAt}
		if ended := sent.sentAt.Add(tt.length); ended.Before(now) {
			run.endedAt = ended
		}
		c.runs["w"] = run
		if got := c.recordBreak(sent); got != tt.want {
			t.Errorf("%s: excused %v, want %v", tt.name, got, tt.want)
		}
		if got := c.recordAnswer(sent, http.StatusBadGateway, "cut-by-stop: x"); got != tt.want {
			t.Errorf("%s: the answer that says so is excused %v, want %v", tt.name, got, tt.want)
		}
	}
}

// A daemon that refused every call in a stop would cut none off.
func TestRefusalOfShortCallsInAnnouncementIsDetected(t *testing.T) {
	for refused, want := range map[int]int{minAnnouncedCalls / 2: 0, minAnnouncedCalls/2 + 1: 1} {
		c, checker, now := newStopCuts(), newChecker(), time.Now()
		c.longParts = map[string]float64{callKinds[3].path: 0}
		c.begin("d1").signalAt = now
		c.completed[completions{"d1", callKinds[3].path}] = slices.Repeat([]completion{{at: now.Add(-time.Second)}}, minKnownCalls)
		sent := sentCall{call: call{id: "w", kind: callKinds[3], timeout: longCallTimeout}, address: "d1", sentAt: now.Add(time.Second)}
		for i := range minAnnouncedCalls {
			status, body := http.StatusOK, plainBody("w")
			if i < refused {
				status, body = http.StatusServiceUnavailable, "stopping: x"
			}
			c.recordAnswer(sent, status, body)
		}
		if c.check(checker); len(checker.allViolations()) != want {
			t.Errorf("%d of %d refused: violations %v", refused, minAnnouncedCalls, checker.allViolations())
		}
	}
}
