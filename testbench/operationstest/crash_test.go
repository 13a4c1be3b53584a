package operationstest

import (
	"encoding/json"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
)

// platformLatency delays the calls to the platform, so that a daemon can be killed
// during one.
const platformLatency = 300 * time.Millisecond

// A daemon is killed while it reads the chain of revisions, while it writes it, and
// after the write has taken effect. The client retries at the next daemon, and the
// change is made exactly once.
func TestApplySucceedsOnceWhenItsDaemonIsKilled(t *testing.T) {
	for _, c := range []struct {
		name string
		// killPointReached returns a condition that holds once the daemon is to be
		// killed.
		killPointReached func(f *fleet.Fleet) func() bool
	}{
		{"reading", func(f *fleet.Fleet) func() bool {
			before := f.Objects.Counts().Reads
			return func() bool { return f.Objects.Counts().Reads > before }
		}},
		{"writing", func(f *fleet.Fleet) func() bool {
			before := f.Objects.Counts().Writes
			return func() bool { return f.Objects.Counts().Writes > before }
		}},
		{"written", func(f *fleet.Fleet) func() bool {
			_, before := f.Objects.Get(configuration.ObjectName)
			// The daemon does not learn that its write succeeded, so it has not
			// answered the client when it is killed.
			f.Objects.LoseWriteAnswers(1)
			return func() bool {
				_, now := f.Objects.Get(configuration.ObjectName)
				return now > before
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := fleet.StartTest(t, options(2))
			file := writeChangedDocument(t, f, 50*time.Second)
			f.Objects.SetLatency(platformLatency)
			killPointReached := c.killPointReached(f)
			exitCode := make(chan int)
			go func() {
				code, _, stderr := runCtl(t, f.Daemons, "apply", "-base", "1", file)
				if code != 0 {
					t.Errorf("exit code %d: %s", code, stderr)
				}
				exitCode <- code
			}()
			fleet.Eventually(t, "the daemon has reached the point at which it is killed", killPointReached)
			killAll(f.Daemons[:1])
			<-exitCode
			f.Objects.SetLatency(0)
			awaitRevision(t, f.Daemons[1:], 2)
			var history ports.RevisionHistory
			out := mustRunCtl(t, f.Daemons[1:], "-output", "json", "history")
			if err := json.Unmarshal([]byte(out), &history); err != nil {
				t.Fatal(err)
			}
			if len(history.Revisions) != 2 {
				t.Errorf("%d revisions, want 2", len(history.Revisions))
			}
		})
	}
}
