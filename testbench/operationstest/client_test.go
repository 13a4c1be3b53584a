package operationstest

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
)

func TestApplyDetectsAcceptedRevisionWhenWriteAnswerIsLost(t *testing.T) {
	f := fleet.StartTest(t, options(2))
	f.Objects.LoseWriteAnswers(1)
	apply(t, f, f.Daemons[:1], "1", 50*time.Second)
	out := mustRunCtl(t, f.Daemons, "get", "-revision")
	awaitRevision(t, f.Daemons, 2)
	if out != "2\n" {
		t.Errorf("revision %q, want 2", out)
	}
}

func TestConcurrentAppliesYieldOneRevisionAndConflicts(t *testing.T) {
	const operators = 6
	f := fleet.StartTest(t, options(3))
	var mu sync.Mutex
	var applies sync.WaitGroup
	exitCodeCounts := map[int]int{}
	for i := range operators {
		file := writeChangedDocument(t, f, time.Duration(40+i)*time.Second)
		applies.Go(func() {
			code, _, stderr := runCtl(t, f.Daemons[i%3:i%3+1], "apply", "-base", "1", file)
			mu.Lock()
			defer mu.Unlock()
			exitCodeCounts[code]++
			if code == 3 && !strings.Contains(stderr, "~ classes.question.answerWithin:") {
				t.Errorf("the conflict report lacks the difference: %s", stderr)
			}
		})
	}
	applies.Wait()
	if exitCodeCounts[0] != 1 || exitCodeCounts[3] != operators-1 {
		t.Errorf("counts of exit codes: %v", exitCodeCounts)
	}
	awaitRevision(t, f.Daemons, 2)
	digests := map[string]bool{}
	for _, daemon := range f.Daemons {
		var inForce configuration.Revision
		out := mustRunCtl(t, []*fleet.Daemon{daemon}, "-output", "json", "get")
		if err := json.Unmarshal([]byte(out), &inForce); err != nil {
			t.Fatal(err)
		}
		digests[inForce.Digest] = true
	}
	if len(digests) != 1 {
		t.Errorf("the daemons report different digests: %v", digests)
	}
}

func TestInvalidDocumentIsRefusedWithAllErrors(t *testing.T) {
	f := fleet.StartTest(t, options(1))
	file := filepath.Join(t.TempDir(), "bad.json")
	text := `{"classes": {"a": {"firstTokenWithin": 5, "answerWithin": "25h", "weight": 1}}}`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, stderr := runCtl(t, f.Daemons, "apply", "-base", "1", file)
	if code != 2 {
		t.Errorf("unexpected exit code %d", code)
	}
	for _, path := range []string{"classes[a].firstTokenWithin", "classes[a].answerWithin", "classes[a].weight"} {
		if !strings.Contains(stderr, path) {
			t.Errorf("%s is not reported: %s", path, stderr)
		}
	}
	if got := revisionInForce(f.Daemons[0]); got != 1 {
		t.Errorf("revision %d", got)
	}
}

func TestClientTriesNextDaemonWhenOneIsDown(t *testing.T) {
	f := fleet.StartTest(t, options(2))
	killAll(f.Daemons[:1])
	apply(t, f, f.Daemons, "1", 50*time.Second)
	if code, _, stderr := runCtl(t, f.Daemons[:1], "get"); code != 1 {
		t.Errorf("exit code %d: %s", code, stderr)
	}
}

func TestReadOnlyCommands(t *testing.T) {
	f := fleet.StartTest(t, options(2))
	apply(t, f, f.Daemons, "1", 50*time.Second)
	awaitRevision(t, f.Daemons, 2)

	var history ports.RevisionHistory
	if err := json.Unmarshal([]byte(mustRunCtl(t, f.Daemons, "-output", "json", "history")), &history); err != nil {
		t.Fatal(err)
	}
	if len(history.Revisions) != 2 || history.Revisions[0].Author != fleet.OperatorName {
		t.Errorf("history %+v", history)
	}

	file := filepath.Join(t.TempDir(), "got.json")
	if err := os.WriteFile(file, []byte(mustRunCtl(t, f.Daemons, "get")), 0o600); err != nil {
		t.Fatal(err)
	}
	if out := mustRunCtl(t, f.Daemons, "diff", file); out != "no difference from revision 2\n" {
		t.Errorf("diff: %q", out)
	}
	if out := mustRunCtl(t, f.Daemons, "diff", "-base", "1", file); !strings.Contains(out, `~ classes.question.answerWithin: "2m0s" -> "50s"`) {
		t.Errorf("diff: %q", out)
	}

	fleet.Eventually(t, "status shows both daemons", func() bool {
		return strings.Contains(mustRunCtl(t, f.Daemons, "status"), "daemons believed live: 2")
	})
	out := mustRunCtl(t, f.Daemons, "status")
	for _, want := range []string{"ready: true", "configuration: revision 2", "service drafter: running 0, fairness gap 0.0"} {
		if !strings.Contains(out, want) {
			t.Errorf("status lacks %q:\n%s", want, out)
		}
	}
}

func TestExplainReportsACall(t *testing.T) {
	f := fleet.StartTest(t, options(2))
	caller := fleet.NewCaller()
	defer caller.Close()
	outcome := caller.Do(t.Context(), f.Daemons[1], fleet.Call{
		Workspace: "alpha", Service: "drafter", Kind: configuration.ServiceKindEngine, Stream: true, Tokens: 5,
	})
	if !outcome.Complete {
		t.Fatalf("%+v", outcome)
	}
	out := mustRunCtl(t, f.Daemons, "explain", outcome.RequestID)
	if !strings.Contains(out, "workspace alpha, service drafter") {
		t.Errorf("explain: %q", out)
	}
	if code, _, stderr := runCtl(t, f.Daemons, "explain", "none"); code != 1 || !strings.Contains(stderr, "unknown-request") {
		t.Errorf("exit code %d: %s", code, stderr)
	}
}

func TestPlannedStops(t *testing.T) {
	f := fleet.StartTest(t, options(3))
	mustRunCtl(t, f.Daemons[:1], "stop", "plan", "-not-before", "2100-01-01T00:00:00Z", "daemon-2")
	mustRunCtl(t, f.Daemons[:1], "stop", "plan", "daemon-3")
	if err := f.Daemons[2].Wait(t.Context()); err != nil {
		t.Errorf("daemon-3 ended with %v", err)
	}
	out := mustRunCtl(t, f.Daemons[:1], "stop", "list")
	if !strings.Contains(out, "daemon-2: not before 2100-01-01T00:00:00Z") || !strings.Contains(out, "daemon-3: ") {
		t.Errorf("stops: %q", out)
	}
	mustRunCtl(t, f.Daemons[:1], "stop", "cancel", "daemon-2")
	if code, _, _ := runCtl(t, f.Daemons[:1], "stop", "cancel", "daemon-2"); code != 1 {
		t.Errorf("unexpected exit code %d", code)
	}

	// The executed plan does not stop a daemon that is restarted on the VM.
	if err := f.Daemons[2].Start(); err != nil {
		t.Fatal(err)
	}
	if err := f.Daemons[2].WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	// Later revisions still list the plan, which holds for the earlier incarnation.
	for range 2 {
		mustRunCtl(t, f.Daemons[:1], "stop", "plan", "-not-before", "2100-01-01T00:00:00Z", "daemon-2")
	}
	awaitRevision(t, f.Daemons, 6)
	for _, daemon := range f.Daemons {
		if _, status, err := daemon.Get(t.Context(), "/readyz"); err != nil || status != http.StatusOK {
			t.Errorf("%s: %d, %v", daemon.ID(), status, err)
		}
	}
}
