package operatorhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// keyDigest is the SHA-256 digest of "secret".
const keyDigest = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b"

const document = `{
  "services": {"drafter": {"kind": "engine", "defaultClass": "short"}},
  "classes": {"short": {"firstTokenWithin": "1s", "answerWithin": "30s"}},
  "workspaces": {}
}`

// fakeDaemon is the rest of the daemon: source, editor, directory and history.
type fakeDaemon struct {
	chain configuration.Chain
	err   error
}

func (d *fakeDaemon) Current() *ports.Configuration       { return d.chain.Current }
func (d *fakeDaemon) OnChange(func(*ports.Configuration)) {}
func (d *fakeDaemon) Chain(context.Context) (configuration.Chain, error) {
	return d.chain, d.err
}

func (d *fakeDaemon) Apply(_ context.Context, edit configuration.Edit) (configuration.RevisionSummary, error) {
	if d.err != nil {
		return configuration.RevisionSummary{}, d.err
	}
	next, err := d.chain.Append(edit, time.Unix(0, 0))
	if err != nil {
		return configuration.RevisionSummary{}, err
	}
	d.chain = next
	return next.History[0], nil
}

func (d *fakeDaemon) EditStops(ctx context.Context, edit ports.StopsEdit) (configuration.RevisionSummary, error) {
	document := d.chain.Current.Document
	stops, err := edit.Change(document.PlannedStops)
	if err != nil {
		return configuration.RevisionSummary{}, err
	}
	document.PlannedStops = stops
	return d.Apply(ctx, configuration.Edit{Base: d.chain.CurrentNumber(), ApplyID: edit.ApplyID, Author: edit.Author, Document: document})
}

func (d *fakeDaemon) Explain(id ports.RequestID) (ports.CallTrace, bool) {
	return ports.CallTrace{ID: id}, id == "known"
}

// fakeDirectory is a fleet of one daemon.
type fakeDirectory struct{}

func (fakeDirectory) Self() ports.VM                       { return ports.VM{Name: "vm-1"} }
func (fakeDirectory) Incarnation() ports.Incarnation       { return 5 }
func (f fakeDirectory) Daemons() []ports.VM                { return []ports.VM{f.Self()} }
func (fakeDirectory) Servers(ports.ServiceName) []ports.VM { return nil }
func (fakeDirectory) KeyOwner(string) ports.DaemonID       { return "vm-1" }
func (fakeDirectory) OnChange(func())                      {}
func (fakeDirectory) Shards(s ports.ServiceName) []ports.ShardView {
	return []ports.ShardView{{ID: "shard-1", Service: s, Owner: "vm-1"}}
}

func newManager(daemon *fakeDaemon, checks ...ports.ReadinessCheck) *Manager {
	s := settings.Default()
	s.Operators.KeyDigests = map[string]string{"alice": keyDigest}
	s.Listen.Operators = "127.0.0.1:0"
	return New(Params{
		Settings:  s,
		Logger:    &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Scope:     tally.NoopScope,
		Directory: fakeDirectory{},
		Source:    daemon,
		Editor:    daemon,
		History:   daemon,
		Readiness: checks,
	})
}

// ask sends one request with alice's key and the header fields, given as
// name and value in turn.
func ask(m *Manager, method, path, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer secret")
	for pair := range slices.Chunk(header, 2) {
		request.Header.Set(pair[0], pair[1])
	}
	recorder := httptest.NewRecorder()
	m.server.Handler.ServeHTTP(recorder, request)
	return recorder
}

func problemIn(t *testing.T, recorder *httptest.ResponseRecorder) ports.OperatorProblem {
	t.Helper()
	var p ports.OperatorProblem
	if err := json.Unmarshal(recorder.Body.Bytes(), &p); err != nil {
		t.Fatalf("%d %s: %v", recorder.Code, recorder.Body, err)
	}
	if recorder.Header().Get("Content-Type") != "application/problem+json" || p.Status != recorder.Code {
		t.Errorf("no problem document: %v", recorder.Header())
	}
	return p
}

func put(m *Manager, base, body string) *httptest.ResponseRecorder {
	return ask(m, http.MethodPut, "/v1/configuration", body, ports.HeaderIfMatch, base, ports.HeaderApplyID, "id-"+strings.Trim(base, `"`))
}

func TestOnlyOperatorsGetIn(t *testing.T) {
	m := newManager(&fakeDaemon{})
	for _, key := range []string{"", "Bearer wrong", "Bearer " + keyDigest, "secret"} {
		recorder := ask(m, http.MethodGet, "/v1/status", "", "Authorization", key)
		if recorder.Code != http.StatusUnauthorized || problemIn(t, recorder).Reason != ports.OperatorReasonUnknownKey {
			t.Errorf("key %q: got %d", key, recorder.Code)
		}
	}
	if recorder := ask(m, http.MethodGet, "/v1/status", ""); recorder.Code != http.StatusOK {
		t.Errorf("got %d", recorder.Code)
	}
}

func TestPutThenGet(t *testing.T) {
	m := newManager(&fakeDaemon{})
	if recorder := ask(m, http.MethodGet, "/v1/configuration", ""); recorder.Code != http.StatusNotFound {
		t.Errorf("got %d", recorder.Code)
	}
	if recorder := put(m, `"0"`, document); recorder.Code != http.StatusOK || recorder.Header().Get("ETag") != `"1"` {
		t.Fatalf("got %d %s", recorder.Code, recorder.Body)
	}
	recorder := ask(m, http.MethodGet, "/v1/configuration", "")
	var revision configuration.Revision
	if err := json.Unmarshal(recorder.Body.Bytes(), &revision); err != nil {
		t.Fatal(err)
	}
	if revision.Number != 1 || revision.Author != "alice" || recorder.Header().Get("ETag") != `"1"` {
		t.Errorf("got %+v", revision)
	}
}

func TestRefusedEdits(t *testing.T) {
	daemon := &fakeDaemon{}
	m := newManager(daemon)
	put(m, `"0"`, document)
	changed := strings.Replace(document, "30s", "40s", 1)
	put(m, `"1"`, changed)
	large := `{"x":"` + strings.Repeat("x", configuration.MaxChainBytes) + `"}`
	for _, c := range []struct {
		name     string
		recorder *httptest.ResponseRecorder
		status   int
		reason   ports.OperatorReason
	}{
		{"stale base", put(m, `"1"`, document), 412, ports.OperatorReasonConflict},
		{"no base", ask(m, http.MethodPut, "/v1/configuration", document, ports.HeaderApplyID, "a"), 428, ports.OperatorReasonNoBase},
		{"no apply ID", ask(m, http.MethodPut, "/v1/configuration", document, ports.HeaderIfMatch, `"2"`), 400, ports.OperatorReasonNoApplyID},
		{"malformed", put(m, `"2"`, "{"), 400, ports.OperatorReasonInvalid},
		{"invalid", put(m, `"2"`, strings.Replace(document, "engine", "steam", 1)), 400, ports.OperatorReasonInvalid},
		{"too large", put(m, `"2"`, large), 413, ports.OperatorReasonTooLarge},
		{"unknown path", ask(m, http.MethodGet, "/v2", ""), 404, ports.OperatorReasonUnknownPath},
		{"wrong method", ask(m, http.MethodPost, "/v1/status", ""), 405, ports.OperatorReasonUnknownPath},
	} {
		p := problemIn(t, c.recorder)
		if c.recorder.Code != c.status || p.Reason != c.reason {
			t.Errorf("%s: got %d %s", c.name, c.recorder.Code, p.Reason)
		}
		if c.reason == ports.OperatorReasonConflict && (p.Conflict == nil || len(p.Conflict.Difference) != 1) {
			t.Errorf("%s: difference %+v", c.name, p.Conflict)
		}
		if c.name == "invalid" && (len(p.Faults) != 1 || p.Faults[0].Path != "services[drafter].kind") {
			t.Errorf("%s: faults %+v", c.name, p.Faults)
		}
	}
	if daemon.chain.CurrentNumber() != 2 {
		t.Errorf("the chain is at %d", daemon.chain.CurrentNumber())
	}
}

func TestPlatformFailuresAreTold(t *testing.T) {
	daemon := &fakeDaemon{}
	m := newManager(daemon)
	daemon.err = &ports.PlatformUnavailableError{Operation: "get", Cause: io.EOF}
	if recorder := put(m, `"0"`, document); recorder.Code != http.StatusServiceUnavailable {
		t.Errorf("got %d", recorder.Code)
	}
	daemon.err = &ports.EditOutcomeUnknownError{ApplyID: "a", Cause: io.EOF}
	recorder := put(m, `"0"`, document)
	if recorder.Code != http.StatusGatewayTimeout || problemIn(t, recorder).Reason != ports.OperatorReasonUnknownOutcome {
		t.Errorf("got %d", recorder.Code)
	}
}

func TestHistoryRevisionAndDiff(t *testing.T) {
	m := newManager(&fakeDaemon{})
	put(m, `"0"`, document)
	put(m, `"1"`, strings.Replace(document, "30s", "40s", 1))
	var history ports.RevisionHistory
	recorder := ask(m, http.MethodGet, "/v1/configuration/history", "")
	if err := json.Unmarshal(recorder.Body.Bytes(), &history); err != nil || len(history.Revisions) != 2 {
		t.Errorf("got %s, %v", recorder.Body, err)
	}
	if recorder := ask(m, http.MethodGet, "/v1/configuration/revisions/1", ""); !bytes.Contains(recorder.Body.Bytes(), []byte(`"30s"`)) {
		t.Errorf("got %s", recorder.Body)
	}
	if recorder := ask(m, http.MethodGet, "/v1/configuration/revisions/9", ""); recorder.Code != http.StatusNotFound {
		t.Errorf("got %d", recorder.Code)
	}
	for query, want := range map[string]int{"": 1, "?base=1": 0} {
		var difference ports.DocumentDifference
		recorder := ask(m, http.MethodPost, "/v1/configuration/diff"+query, document)
		if err := json.Unmarshal(recorder.Body.Bytes(), &difference); err != nil || len(difference.Changes) != want {
			t.Errorf("diff%s: got %s, %v", query, recorder.Body, err)
		}
	}
}

func TestPlannedStops(t *testing.T) {
	daemon := &fakeDaemon{}
	m := newManager(daemon)
	put(m, `"0"`, document)
	plan := func(body, id string) int {
		return ask(m, http.MethodPost, "/v1/planned-stops", body, ports.HeaderApplyID, id).Code
	}
	if code := plan(`{"vm": "vm-0", "notBefore": "2020-01-01T00:00:00Z"}`, "z"); code != http.StatusOK {
		t.Fatalf("got %d", code)
	}
	if code := plan(`{"vm": "vm-1"}`, "a"); code != http.StatusOK {
		t.Fatalf("got %d", code)
	}
	if stops := daemon.chain.Current.Document.PlannedStops; len(stops) != 1 || stops[0].NotBefore.IsZero() {
		t.Errorf("got %+v", stops)
	}
	if code := plan(`{"vm": "vm-1", "notBefore": "2030-01-01T00:00:00Z"}`, "b"); code != http.StatusOK {
		t.Fatalf("got %d", code)
	}
	if code := plan(`{"vm": ""}`, "c"); code != http.StatusBadRequest {
		t.Errorf("got %d", code)
	}
	var list ports.StopList
	recorder := ask(m, http.MethodGet, "/v1/planned-stops", "")
	if err := json.Unmarshal(recorder.Body.Bytes(), &list); err != nil || len(list.Stops) != 1 || list.Stops[0].NotBefore.Year() != 2030 {
		t.Errorf("got %s, %v", recorder.Body, err)
	}
	for _, want := range []int{http.StatusOK, http.StatusNotFound} {
		recorder := ask(m, http.MethodDelete, "/v1/planned-stops/vm-1", "", ports.HeaderApplyID, "d")
		if recorder.Code != want {
			t.Errorf("got %d, want %d", recorder.Code, want)
		}
	}
}

func TestReadinessListsWhy(t *testing.T) {
	reason := "no configuration"
	m := newManager(&fakeDaemon{}, ports.ReadinessCheck{Name: "configuration", Reason: func() string { return reason }})
	recorder := ask(m, http.MethodGet, "/readyz", "", "Authorization", "")
	p := problemIn(t, recorder)
	if recorder.Code != http.StatusServiceUnavailable || len(p.NotReady) != 1 || p.NotReady[0].Reason != reason {
		t.Errorf("got %d %+v", recorder.Code, p)
	}
	if recorder := ask(m, http.MethodGet, "/healthz", "", "Authorization", ""); recorder.Code != http.StatusOK {
		t.Errorf("got %d", recorder.Code)
	}
	reason = ""
	if recorder := ask(m, http.MethodGet, "/readyz", "", "Authorization", ""); recorder.Code != http.StatusOK {
		t.Errorf("got %d", recorder.Code)
	}
}

func TestStatusAndExplain(t *testing.T) {
	m := newManager(&fakeDaemon{})
	put(m, `"0"`, document)
	var status ports.DaemonStatus
	recorder := ask(m, http.MethodGet, "/v1/status", "")
	if err := json.Unmarshal(recorder.Body.Bytes(), &status); err != nil {
		t.Fatal(err)
	}
	if status.VM.Name != "vm-1" || status.Incarnation != 5 || !status.Ready || status.Revision != 1 || len(status.Shards) != 1 {
		t.Errorf("got %+v", status)
	}
	if recorder := ask(m, http.MethodGet, "/v1/explain/known", ""); recorder.Code != http.StatusOK {
		t.Errorf("got %d", recorder.Code)
	}
	if recorder := ask(m, http.MethodGet, "/v1/explain/other", ""); recorder.Code != http.StatusNotFound {
		t.Errorf("got %d", recorder.Code)
	}
}

func TestRunAndStop(t *testing.T) {
	m := newManager(&fakeDaemon{})
	if err := m.Run(); err != nil {
		t.Fatal(err)
	}
	m.Stop()
}
