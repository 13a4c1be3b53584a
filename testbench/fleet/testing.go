package fleet

import (
	"testing"
	"time"
)

// StartTest starts a fleet for a test and closes it when the test ends. If the
// test has failed, the ends of the daemons' logs are printed.
func StartTest(t *testing.T, options Options) *Fleet {
	t.Helper()
	f := PrepareTest(t, options)
	if err := f.StartDaemons(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f
}

// PrepareTest is like StartTest, but leaves it to the test to start the daemons.
func PrepareTest(t *testing.T, options Options) *Fleet {
	t.Helper()
	f, err := Prepare(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, daemon := range f.Daemons {
				t.Logf("%s:\n%s", daemon.VM.Name, logTail(daemon.Log()))
			}
		}
		f.Close()
	})
	return f
}

// eventuallyTimeout is the longest time that Eventually waits for a condition.
const eventuallyTimeout = 30 * time.Second

// Eventually waits until the condition holds. It fails the test if that takes more
// than 30 seconds. The description names the condition.
func Eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventuallyTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		if condition() {
			return
		}
	}
	t.Fatalf("timed out waiting until: %s", description)
}
