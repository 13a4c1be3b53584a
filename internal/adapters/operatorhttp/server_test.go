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

// fakeDaemon implements the configuration source, the configuration editor and
// the call history. Its editor fails with err if that is set.
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

// fakeDirectory describes a fleet of one daemon.
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

func newTestServer(daemon *fakeDaemon, checks ...ports.ReadinessCheck) *Server {
	s := settings.Default()
	s.Operators.KeyDigests = map[string]string{"alice": keyDigest}
	s.Listen.Operators = "127.0.0.1:0"
	return New(Params{
		Settings:        s,
		Logger:          &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
		Scope:           tally.NoopScope,
		Directory:       fakeDirectory{},
		Configuration:   daemon,
		Editor:          daemon,
		CallHistory:     daemon,
		ReadinessChecks: checks,
	})
}

// sendRequest sends one request with alice's key and the given header fields,
// which alternate between names and values.
func sendRequest(s *Server, method, path, body string, header ...string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer secret")
	for pair := range slices.Chunk(header, 2) {
		request.Header.Set(pair[0], pair[1])
	}
	recorder := httptest.NewRecorder()
	s.httpServer.Handler.ServeHTTP(recorder, request)
	return recorder
}

// decodeProblem decodes a problem answer and checks its media type and status.
func decodeProblem(t *testing.T, recorder *httptest.ResponseRecorder) ports.OperatorProblem {
	t.Helper()
	var p ports.OperatorProblem
	if err := json.Unmarshal(recorder.Body.Bytes(), &p); err != nil {
		t.Fatalf("%d %s: %v", recorder.Code, recorder.Body, err)
	}
	if recorder.Header().Get("Content-Type") != "application/problem+json" || p.Status != recorder.Code {
		t.Errorf("not a problem answer with the status of the response: %v", recorder.Header())
	}
	return p
}

// putDocument puts a document based on the quoted revision number, with an apply
// ID derived from that number.
func putDocument(s *Server, base, body string) *httptest.ResponseRecorder {
	return sendRequest(s, http.MethodPut, "/v1/configuration", body, ports.HeaderIfMatch, base, ports.HeaderApplyID, "id-"+strings.Trim(base, `"`))
}

func TestAPIRequiresOperatorKey(t *testing.T) {
	s := newTestServer(&fakeDaemon{})
	for _, key := range []string{"", "Bearer wrong", "Bearer " + keyDigest, "secret"} {
		recorder := sendRequest(s, http.MethodGet, "/v1/status", "", "Authorization", key)
		if recorder.Code != http.StatusUnauthorized || decodeProblem(t, recorder).Reason != ports.OperatorReasonUnknownKey {
			t.Errorf("key %q: status %d, want 401 with reason unknown-key", key, recorder.Code)
		}
	}
	if recorder := sendRequest(s, http.MethodGet, "/v1/status", ""); recorder.Code != http.StatusOK {
		t.Errorf("valid key: status %d, want 200", recorder.Code)
	}
}

func TestPutConfigurationIsReturnedByGet(t *testing.T) {
	s := newTestServer(&fakeDaemon{})
	if recorder := sendRequest(s, http.MethodGet, "/v1/configuration", ""); recorder.Code != http.StatusNotFound {
		t.Errorf("no configuration: status %d, want 404", recorder.Code)
	}
	if recorder := putDocument(s, `"0"`, document); recorder.Code != http.StatusOK || recorder.Header().Get("ETag") != `"1"` {
		t.Fatalf("put: status %d, body %s; want 200 and ETag \"1\"", recorder.Code, recorder.Body)
	}
	recorder := sendRequest(s, http.MethodGet, "/v1/configuration", "")
	var revision configuration.Revision
	if err := json.Unmarshal(recorder.Body.Bytes(), &revision); err != nil {
		t.Fatal(err)
	}
	if revision.Number != 1 || revision.Author != "alice" || recorder.Header().Get("ETag") != `"1"` {
		t.Errorf("revision %+v; want number 1 by alice, with ETag \"1\"", revision)
	}
}

func TestInvalidRequestsReturnProblems(t *testing.T) {
	daemon := &fakeDaemon{}
	s := newTestServer(daemon)
	putDocument(s, `"0"`, document)
	revised := strings.Replace(document, "30s", "40s", 1)
	putDocument(s, `"1"`, revised)
	oversized := `{"x":"` + strings.Repeat("x", configuration.MaxChainBytes) + `"}`
	for _, c := range []struct {
		name     string
		recorder *httptest.ResponseRecorder
		status   int
		reason   ports.OperatorReason
	}{
		{"stale base", putDocument(s, `"1"`, document), 412, ports.OperatorReasonConflict},
		{"no base", sendRequest(s, http.MethodPut, "/v1/configuration", document, ports.HeaderApplyID, "a"), 428, ports.OperatorReasonNoBase},
		{"no apply ID", sendRequest(s, http.MethodPut, "/v1/configuration", document, ports.HeaderIfMatch, `"2"`), 400, ports.OperatorReasonNoApplyID},
		{"malformed", putDocument(s, `"2"`, "{"), 400, ports.OperatorReasonInvalid},
		{"invalid", putDocument(s, `"2"`, strings.Replace(document, "engine", "steam", 1)), 400, ports.OperatorReasonInvalid},
		{"too large", putDocument(s, `"2"`, oversized), 413, ports.OperatorReasonTooLarge},
		{"unknown path", sendRequest(s, http.MethodGet, "/v2", ""), 404, ports.OperatorReasonUnknownPath},
		{"wrong method", sendRequest(s, http.MethodPost, "/v1/status", ""), 405, ports.OperatorReasonUnknownPath},
	} {
		p := decodeProblem(t, c.recorder)
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
		t.Errorf("chain at revision %d, want 2", daemon.chain.CurrentNumber())
	}
}

func TestPlatformErrorsAreReported(t *testing.T) {
	daemon := &fakeDaemon{}
	s := newTestServer(daemon)
	daemon.err = &ports.PlatformUnavailableError{Operation: "get", Cause: io.EOF}
	if recorder := putDocument(s, `"0"`, document); recorder.Code != http.StatusServiceUnavailable {
		t.Errorf("platform unavailable: status %d, want 503", recorder.Code)
	}
	daemon.err = &ports.EditOutcomeUnknownError{ApplyID: "a", Cause: io.EOF}
	recorder := putDocument(s, `"0"`, document)
	if recorder.Code != http.StatusGatewayTimeout || decodeProblem(t, recorder).Reason != ports.OperatorReasonUnknownOutcome {
		t.Errorf("unknown outcome: status %d, want 504 with reason outcome-unknown", recorder.Code)
	}
}

func TestHistoryRevisionAndDiff(t *testing.T) {
	s := newTestServer(&fakeDaemon{})
	putDocument(s, `"0"`, document)
	putDocument(s, `"1"`, strings.Replace(document, "30s", "40s", 1))
	var history ports.RevisionHistory
	recorder := sendRequest(s, http.MethodGet, "/v1/configuration/history", "")
	if err := json.Unmarshal(recorder.Body.Bytes(), &history); err != nil || len(history.Revisions) != 2 {
		t.Errorf("history %s, error %v; want 2 revisions", recorder.Body, err)
	}
	if recorder := sendRequest(s, http.MethodGet, "/v1/configuration/revisions/1", ""); !bytes.Contains(recorder.Body.Bytes(), []byte(`"30s"`)) {
		t.Errorf("revision 1 is %s, want the first document", recorder.Body)
	}
	if recorder := sendRequest(s, http.MethodGet, "/v1/configuration/revisions/9", ""); recorder.Code != http.StatusNotFound {
		t.Errorf("unknown revision: status %d, want 404", recorder.Code)
	}
	for query, want := range map[string]int{"": 1, "?base=1": 0} {
		var difference ports.DocumentDifference
		recorder := sendRequest(s, http.MethodPost, "/v1/configuration/diff"+query, document)
		if err := json.Unmarshal(recorder.Body.Bytes(), &difference); err != nil || len(difference.Changes) != want {
			t.Errorf("diff%s: got %s, %v", query, recorder.Body, err)
		}
	}
}

func TestPlannedStopsAreAddedReplacedAndCancelled(t *testing.T) {
	daemon := &fakeDaemon{}
	s := newTestServer(daemon)
	putDocument(s, `"0"`, document)
	plan := func(body, id string) int {
		return sendRequest(s, http.MethodPost, "/v1/planned-stops", body, ports.HeaderApplyID, id).Code
	}
	if code := plan(`{"vm": "vm-0", "notBefore": "2020-01-01T00:00:00Z"}`, "z"); code != http.StatusOK {
		t.Fatalf("plan: status %d, want 200", code)
	}
	if code := plan(`{"vm": "vm-1"}`, "a"); code != http.StatusOK {
		t.Fatalf("plan: status %d, want 200", code)
	}
	if stops := daemon.chain.Current.Document.PlannedStops; len(stops) != 1 || stops[0].NotBefore.IsZero() {
		t.Errorf("planned stops %+v; want only that of vm-1, with a time", stops)
	}
	if code := plan(`{"vm": "vm-1", "notBefore": "2030-01-01T00:00:00Z"}`, "b"); code != http.StatusOK {
		t.Fatalf("second plan: status %d, want 200", code)
	}
	if code := plan(`{"vm": ""}`, "c"); code != http.StatusBadRequest {
		t.Errorf("plan without VM: status %d, want 400", code)
	}
	var list ports.StopList
	recorder := sendRequest(s, http.MethodGet, "/v1/planned-stops", "")
	if err := json.Unmarshal(recorder.Body.Bytes(), &list); err != nil || len(list.Stops) != 1 || list.Stops[0].NotBefore.Year() != 2030 {
		t.Errorf("list %s, error %v; want one stop in 2030", recorder.Body, err)
	}
	for _, want := range []int{http.StatusOK, http.StatusNotFound} {
		recorder := sendRequest(s, http.MethodDelete, "/v1/planned-stops/vm-1", "", ports.HeaderApplyID, "d")
		if recorder.Code != want {
			t.Errorf("cancel: status %d, want %d", recorder.Code, want)
		}
	}
}

func TestReadinessListsFailedChecks(t *testing.T) {
	reason := "no configuration"
	s := newTestServer(&fakeDaemon{}, ports.ReadinessCheck{Name: "configuration", Reason: func() string { return reason }})
	recorder := sendRequest(s, http.MethodGet, "/readyz", "", "Authorization", "")
	p := decodeProblem(t, recorder)
	if recorder.Code != http.StatusServiceUnavailable || len(p.NotReady) != 1 || p.NotReady[0].Reason != reason {
		t.Errorf("status %d, problem %+v; want 503 with the failed check", recorder.Code, p)
	}
	if recorder := sendRequest(s, http.MethodGet, "/healthz", "", "Authorization", ""); recorder.Code != http.StatusOK {
		t.Errorf("/healthz: status %d, want 200", recorder.Code)
	}
	reason = ""
	if recorder := sendRequest(s, http.MethodGet, "/readyz", "", "Authorization", ""); recorder.Code != http.StatusOK {
		t.Errorf("/readyz: status %d, want 200", recorder.Code)
	}
}

func TestStatusAndCallTrace(t *testing.T) {
	s := newTestServer(&fakeDaemon{})
	putDocument(s, `"0"`, document)
	var status ports.DaemonStatus
	recorder := sendRequest(s, http.MethodGet, "/v1/status", "")
	if err := json.Unmarshal(recorder.Body.Bytes(), &status); err != nil {
		t.Fatal(err)
	}
	if status.VM.Name != "vm-1" || status.Incarnation != 5 || !status.Ready || status.Revision != 1 || len(status.Shards) != 1 {
		t.Errorf("status %+v", status)
	}
	if recorder := sendRequest(s, http.MethodGet, "/v1/explain/known", ""); recorder.Code != http.StatusOK {
		t.Errorf("known request: status %d, want 200", recorder.Code)
	}
	if recorder := sendRequest(s, http.MethodGet, "/v1/explain/other", ""); recorder.Code != http.StatusNotFound {
		t.Errorf("unknown request: status %d, want 404", recorder.Code)
	}
}

func TestStartAndStop(t *testing.T) {
	s := newTestServer(&fakeDaemon{})
	if err := s.Start(); err != nil {
		t.Fatal(err)
	}
	s.Stop()
}
