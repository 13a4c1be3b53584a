package overload

import (
	"testing"
	"time"
)

// Load pattern: all connections of a workspace are led to one daemon, which can
// serve a part of them. It leaves the rotation after a while, so that new ones go
// elsewhere, and returns once it has processor time again.
func TestOverloadedDaemonLeavesTheRotation(t *testing.T) {
	var r Rotation
	now := time.Unix(1000, 0)
	after := func(wait time.Duration, part float64) bool {
		out := false
		for end := now.Add(wait); now.Before(end); now = now.Add(Period) {
			out = r.Out(now, part)
		}
		return out
	}
	if after(10*time.Second, leaveFrom/2) {
		t.Error("a daemon that turns little away left")
	}
	if after(leaveAfter/2, 0.9) || after(Period, 0) {
		t.Error("a short overload led new connections away")
	}
	if !after(2*leaveAfter, 0.9) {
		t.Fatal("an overloaded daemon stays in rotation")
	}
	if !after(10*time.Second, leaveFrom/2) || !after(returnAfter/2, 0) {
		t.Error("the daemon returned while it turned requests away or just after")
	}
	if after(2*returnAfter, 0) {
		t.Error("the daemon does not return")
	}
}
