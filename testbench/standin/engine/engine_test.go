package engine_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"hawthornstream/testbench/standin"
	"hawthornstream/testbench/standin/engine"
)

// waitLimit bounds the wait for a condition that must become true.
const waitLimit = 10 * time.Second

func startEngine(t *testing.T, config engine.Config) *engine.Engine {
	t.Helper()
	config.Name = "engine-1"
	started, err := engine.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func postCompletion(t *testing.T, e *engine.Engine, id string, tokens int, stream bool) (*http.Response, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":%v,"metadata":{"tokens":"%d","workspace":"w","operation":"op-%s"}}`, stream, tokens, id)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.URL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(standin.HeaderRequestID, id)
	return http.DefaultClient.Do(request)
}

func resumeStream(t *testing.T, e *engine.Engine, id string, lastEventID int) *http.Response {
	t.Helper()
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, e.URL()+"/v1/streams/"+id, nil)
	request.Header.Set("Last-Event-ID", fmt.Sprint(lastEventID))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

func readAll(t *testing.T, response *http.Response) string {
	t.Helper()
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// eventually polls until condition holds and fails the test after waitLimit.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("condition not met in time: %s", description)
}

func TestStreamsOneEventPerTokenAndRecordsTheRun(t *testing.T) {
	e := startEngine(t, engine.Config{TokensPerSecond: 5000})
	response, err := postCompletion(t, e, "a", 7, true)
	if err != nil {
		t.Fatal(err)
	}
	body := readAll(t, response)
	if response.Header.Get(standin.HeaderRequestID) != "a" {
		t.Error("the answer does not name the request")
	}
	if strings.Count(body, "id: ") != 7 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("want 7 events and the final event, got body: %s", body)
	}
	run := e.Log().Runs()[0]
	if run.Cost() != 7 || run.Outcome != standin.RunCompleted || run.Workspace != "w" || run.Operation != "op-a" {
		t.Errorf("wrong record of the run: %+v", run)
	}
}

func TestResumedStreamNeitherLosesNorRepeatsTokens(t *testing.T) {
	e := startEngine(t, engine.Config{TokensPerSecond: 200})
	e.ScheduleFault(standin.Fault{Kind: standin.FaultResetAnswer, Count: 1, After: 5})
	response, err := postCompletion(t, e, "a", 20, true)
	if err != nil {
		t.Fatal(err)
	}
	events := 0
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "id: ") {
			events++
		}
	}
	if scanner.Err() == nil || events != 5 {
		t.Fatalf("got %d events and error %v, want 5 events and a broken connection", events, scanner.Err())
	}
	resumed := readAll(t, resumeStream(t, e, "a", 5))
	if strings.Count(resumed, "id: ") != 15 || !strings.Contains(resumed, engine.TokenText("op-a", 6)) {
		t.Errorf("want events 6 to 20 after resuming, got: %s", resumed)
	}
	if runs := e.Log().Runs(); len(runs) != 1 {
		t.Errorf("got %d runs, want 1", len(runs))
	}
}

func TestRunsRequestsInOrderOfArrivalUpToTheBatchSize(t *testing.T) {
	e := startEngine(t, engine.Config{BatchSize: 1, TokensPerSecond: 500})
	done := make(chan struct{}, 2)
	for i := range 2 {
		go func() {
			defer func() { done <- struct{}{} }()
			if response, err := postCompletion(t, e, fmt.Sprint(i), 20, false); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
		}()
		eventually(t, "arrival", func() bool { return len(e.Log().Runs()) == i+1 })
	}
	<-done
	<-done
	runs := e.Log().Runs()
	if runs[1].StartedAt.Before(runs[0].EndedAt) {
		t.Errorf("the second run started %v before the first ended", runs[0].EndedAt.Sub(runs[1].StartedAt))
	}
}

func TestDeleteOfStreamCancelsTheRun(t *testing.T) {
	e := startEngine(t, engine.Config{TokensPerSecond: 50})
	response, err := postCompletion(t, e, "a", 100000, true)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodDelete, e.URL()+"/v1/streams/a", nil)
	if _, err := http.DefaultClient.Do(request); err != nil {
		t.Fatal(err)
	}
	eventually(t, "cancelled", func() bool { return e.Log().Runs()[0].Outcome == standin.RunCancelled })
}

func TestRunWithoutReaderIsCancelledAfterTheResumeWindow(t *testing.T) {
	e := startEngine(t, engine.Config{TokensPerSecond: 50, ResumeWindow: 50 * time.Millisecond})
	e.ScheduleFault(standin.Fault{Kind: standin.FaultResetAnswer, Count: 1, After: 1})
	response, err := postCompletion(t, e, "a", 100000, true)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	eventually(t, "cancelled", func() bool { return e.Log().Runs()[0].Outcome == standin.RunCancelled })
	eventually(t, "forgotten", func() bool {
		response, err := http.Get(e.URL() + "/v1/streams/a")
		return err == nil && response.StatusCode == http.StatusNotFound
	})
}

func TestFaultsBeforeTheRunLeaveTheRunLogEmpty(t *testing.T) {
	for _, kind := range []standin.FaultKind{standin.FaultResetBefore, standin.FaultResetDuring, standin.FaultOverloaded, standin.FaultLeaving} {
		t.Run(string(kind), func(t *testing.T) {
			e := startEngine(t, engine.Config{})
			e.ScheduleFault(standin.Fault{Kind: kind, Count: 1})
			response, err := postCompletion(t, e, "a", 3, true)
			if err == nil && response.Header.Get(standin.HeaderRunState) != standin.RunStateNotRun {
				t.Errorf("answer without run state \"not-run\": %v", response.Status)
			}
			if len(e.Log().Runs()) != 0 {
				t.Error("a run was recorded")
			}
		})
	}
}

func TestWrongRequestIDFaultNamesAnotherRequest(t *testing.T) {
	e := startEngine(t, engine.Config{TokensPerSecond: 5000})
	e.ScheduleFault(standin.Fault{Kind: standin.FaultWrongRequestID, Count: 1})
	response, err := postCompletion(t, e, "a", 3, false)
	if err != nil {
		t.Fatal(err)
	}
	if id := response.Header.Get(standin.HeaderRequestID); id == "a" || id == "" {
		t.Errorf("the answer names request %q, want another one than \"a\"", id)
	}
}
