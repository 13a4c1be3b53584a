package ctl

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const lossLog = `time=2026-12-04T01:00:01.000Z level=info event="call-ended" request="a" workspace="w1" class="draft" run="not-run" reason="queue-full" took=75.2
time=2026-12-04T01:00:01.100Z level=info event="call-ended" request="b" workspace="w2" class="draft" run="not-run" reason="fair-share-exceeded" took=0.3
time=2026-12-04T01:00:02.000Z level=info event="call-ended" request="c" workspace="w2" class="query" run="not-run" reason="fair-share-exceeded" took=0.2
time=2026-12-04T01:00:03.000Z level=info event="lines-left-out" of="call-ended" detail="fair-share-exceeded" lines=8
time=2026-12-04T01:00:07.000Z level=info event="call-ended" request="d" workspace="w1" class="query" run="unknown" reason="connection-broken" took=900
time=2026-12-04T01:00:07.500Z level=info event="call-ended" request="e" workspace="w1" class="query" run="ran" reason="" took=900
time=2026-12-04T01:00:08.000Z level=info event="lines-left-out" of="call-ended" detail="" lines=500
time=2026-12-04T01:00:08.000Z level=info event="request-refused" request="f" workspace="" reason="daemon-overloaded"
time=2026-12-04T01:00:09.000Z level=info event="connection-closed-unread" reason="overload" open=4
time=2026-12-04T01:00:09.000Z level=info event="call-placed" request="g" server="s"
`

func TestLossesAreCountedByCause(t *testing.T) {
	path := filepath.Join(t.TempDir(), "d1.log")
	if err := os.WriteFile(path, []byte(lossLog), 0o600); err != nil {
		t.Fatal(err)
	}
	code, out, stderr := runClient("", "losses", "-output", "json", path)
	var report lossReport
	if err := json.Unmarshal([]byte(out), &report); code != 0 || err != nil {
		t.Fatalf("got %d %q %q", code, out, stderr)
	}
	for _, c := range []struct {
		table []lossRow
		want  map[string]int
	}{
		{report.ByCause, map[string]int{
			"refused at once: fair-share-exceeded": 10, "refused after waiting: queue-full": 1,
			"sent, no whole answer: connection-broken": 1, "request not accepted: daemon-overloaded": 1,
			"connection closed unread: overload": 1,
		}},
		{report.ByClass, map[string]int{"draft": 6, "query": 6}},
		{report.ByWorkspace, map[string]int{"w1": 2, "w2": 10}},
		{report.ByTime, map[string]int{"2026-12-04T01:00:00Z": 11, "2026-12-04T01:00:05Z": 3}},
	} {
		got := make(map[string]int)
		for _, row := range c.table {
			got[row.Name] = row.Calls
		}
		if len(got) != len(c.want) {
			t.Errorf("got %v, want %v", got, c.want)
		}
		for name, calls := range c.want {
			if got[name] != calls {
				t.Errorf("%s: %d calls, want %d", name, got[name], calls)
			}
		}
	}
}

func TestLossesAreReadFromStandardInput(t *testing.T) {
	code, out, _ := runClient(lossLog, "losses", "-top", "1")
	if code != 0 || !strings.Contains(out, "10  refused at once: fair-share-exceeded") || !strings.Contains(out, "4 more") {
		t.Errorf("got %d %q", code, out)
	}
	if code, out, _ := runClient("", "losses"); code != 0 || !strings.Contains(out, "no call") {
		t.Errorf("an empty log: got %d %q", code, out)
	}
}

func TestLossesOfInvalidInput(t *testing.T) {
	for _, args := range [][]string{{"losses", "-window", "0s"}, {"losses", "-top", "0"}, {"losses", "-output", "yaml"}} {
		if code, _, stderr := runClient("", args...); code != 2 || stderr == "" {
			t.Errorf("%v: got %d %q", args, code, stderr)
		}
	}
	if code, _, stderr := runClient("", "losses", "/no/such/file"); code != 1 || stderr == "" {
		t.Errorf("a missing file: got %d %q", code, stderr)
	}
	bad := `time=yesterday event="call-ended" run="not-run" reason="queue-full" took=1`
	if code, _, stderr := runClient(bad, "losses"); code != 1 || stderr == "" {
		t.Errorf("a line with an invalid time: got %d %q", code, stderr)
	}
}
