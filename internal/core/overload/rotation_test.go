package overload

import (
	"testing"
	"time"
)

// All connections of a workspace reach one daemon, which can serve a part of
// them. It leaves the rotation after a while, so that new ones go elsewhere,
// and returns once it has processor time again.
func TestOverloadedDaemonLeavesAndRejoinsRotation(t *testing.T) {
	var r Rotation
	now := time.Unix(1000, 0)
	outAfter := func(wait time.Duration, shedFraction float64) bool {
		out := false
		for end := now.Add(wait); now.Before(end); now = now.Add(MeasurementPeriod) {
			out = r.Update(now, shedFraction)
		}
		return out
	}
	if outAfter(10*time.Second, leaveThreshold/2) {
		t.Error("a daemon that sheds few requests left the rotation")
	}
	if outAfter(leaveDelay/2, 0.9) || outAfter(MeasurementPeriod, 0) {
		t.Error("a short overload took the daemon out of rotation")
	}
	if !outAfter(2*leaveDelay, 0.9) {
		t.Fatal("an overloaded daemon stays in rotation")
	}
	if !outAfter(10*time.Second, leaveThreshold/2) || !outAfter(returnDelay/2, 0) {
		t.Error("the daemon returned while it shed requests or just after")
	}
	if outAfter(2*returnDelay, 0) {
		t.Error("the daemon does not return")
	}
}
