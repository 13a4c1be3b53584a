package quarantine

import (
	"testing"

	"hawthornstream/internal/ports"
)

const (
	endingCall = CauseHash(11)
	soundCall  = CauseHash(13)
)

// A call is the same when its caller sends it again under another ID. Calls that differ in
// caller, path or body are others, and none is a part of a prompt.
func TestHashOfCallIsThatOfItsRepetition(t *testing.T) {
	call := ports.Call{ID: "1", Workspace: "w", Method: "POST", Host: "h", Path: "/a", Body: []byte("b")}
	again := call
	again.ID = "2"
	if HashCall(&call) != HashCall(&again) || !HashCall(&call).IsCall() || HashPart("s", "1").IsCall() {
		t.Error("the hash of a call is not that of its repetition")
	}
	for name, change := range map[string]func(*ports.Call){
		"caller":   func(c *ports.Call) { c.Workspace = "v" },
		"method":   func(c *ports.Call) { c.Method = "PUT" },
		"host":     func(c *ports.Call) { c.Host = "g" },
		"path":     func(c *ports.Call) { c.Path = "/a?x" },
		"body":     func(c *ports.Call) { c.Body = nil },
		"boundary": func(c *ports.Call) { c.Host, c.Path = "h/", "a" },
	} {
		other := call
		change(&other)
		if HashCall(&other) == HashCall(&call) {
			t.Errorf("a call with another %s has the same hash", name)
		}
	}
}

// One call ends the three servers of a service within 0.31 s, at two daemons.
func TestCallThatEndsAllServersAtOnceIsQuarantined(t *testing.T) {
	table := NewTable()
	table.RecordOwnEnd(at(10.33), endOf(endingCall, 1, 10.33))
	table.RecordOwnEnd(at(10.53), endOf(endingCall, 2, 10.53))
	if quarantined, _ := table.Merge(at(10.7), Updates{Ends: []ServerEnd{endOf(endingCall, 3, 10.64)}}, true); len(quarantined) != 1 {
		t.Error("the call is not quarantined")
	}
}

// A call that ends servers comes again after minutes.
func TestCallThatComesAgainSeldomIsQuarantined(t *testing.T) {
	table := NewTable()
	for i := range endsToQuarantine {
		table.RecordOwnEnd(at(float64(150*i)), endOf(endingCall, i, float64(150*i)))
	}
	if !isQuarantined(table, endingCall, 301) {
		t.Error("the call is not quarantined")
	}
}

// A sound call comes again all the time and is in progress at each end of a server. It is
// served in between at this daemon, which hears of the ends at another one later.
func TestSoundCallThatComesAgainIsNotQuarantined(t *testing.T) {
	table := NewTable()
	for i := range 2 * endsToQuarantine {
		now := float64(i)
		table.RecordOwnSound(at(now+0.5), SoundAnswer{Cause: soundCall, At: at(now + 0.4)})
		table.Merge(at(now+0.9), Updates{Ends: []ServerEnd{endOf(soundCall, i, now), endOf(endingCall, i, now)}}, i%2 == 0)
	}
	if isQuarantined(table, soundCall, 7) || !isQuarantined(table, endingCall, 7) {
		t.Errorf("quarantined: sound call %v, ending call %v", isQuarantined(table, soundCall, 7), isQuarantined(table, endingCall, 7))
	}
}

// A call runs beside one that ends servers, without an answer in between. The ends count
// against it no longer once the other one is known to end servers.
func TestEndsOfQuarantinedCallDoNotCountAgainstOthers(t *testing.T) {
	table := NewTable()
	for i := range endsToQuarantine {
		now := float64(i)
		if i > 0 {
			table.RecordOwnEnd(at(now), endOf(soundCall, i, now))
		}
		table.RecordOwnEnd(at(now), endOf(endingCall, i, now))
	}
	if !isQuarantined(table, endingCall, 3) {
		t.Fatal("the call that ends servers is not quarantined")
	}
	late := endOf(soundCall, 0, 0)
	table.Merge(at(3), Updates{Ends: []ServerEnd{late}}, false)
	for i := range endsToQuarantine - 1 {
		table.RecordOwnEnd(at(float64(4+i)), endOf(soundCall, 10+i, float64(4+i)))
	}
	if isQuarantined(table, soundCall, 7) {
		t.Error("the call beside it is quarantined")
	}
}

// A part ends servers in calls of which each comes once. The ends of a quarantined call
// don't clear the part.
func TestQuarantinedCallDoesNotClearItsPart(t *testing.T) {
	table := NewTable()
	for i := range endsToQuarantine {
		now := float64(i)
		table.RecordOwnEnd(at(now), endOf(endingCall, i, now))
		table.RecordOwnEnd(at(now), endOf(endingPart, i, now))
	}
	if !isQuarantined(table, endingCall, 3) || !isQuarantined(table, endingPart, 3) {
		t.Error("the call or its part is not quarantined")
	}
}

// Far more sound calls than are remembered pass by.
func TestRememberedSoundCallsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxSoundCalls {
		table.RecordOwnSound(at(float64(i)), SoundAnswer{Cause: CauseHash(2*i + 1), At: at(float64(i))})
	}
	if known := len(table.soundCalls.at); known != maxSoundCalls || len(table.causes) != 0 {
		t.Errorf("%d calls are remembered, %d suspected", known, len(table.causes))
	}
	newest := CauseHash(2*(3*maxSoundCalls-1) + 1)
	if table.soundCalls.soundAt(newest).IsZero() {
		t.Error("the latest call is not remembered")
	}
}
