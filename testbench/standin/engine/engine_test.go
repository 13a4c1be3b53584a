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

const failsafe = 10 * time.Second

func start(t *testing.T, config engine.Config) *engine.Engine {
	t.Helper()
	config.Name = "engine-1"
	started, err := engine.Start(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func post(t *testing.T, e *engine.Engine, id string, tokens int, stream bool) (*http.Response, error) {
	t.Helper()
	body := fmt.Sprintf(`{"model":"m","stream":%v,"metadata":{"tokens":"%d","workspace":"w","operation":"op-%s"}}`, stream, tokens, id)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.URL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(standin.HeaderRequestID, id)
	return http.DefaultClient.Do(request)
}

func resume(t *testing.T, e *engine.Engine, id string, last int) *http.Response {
	t.Helper()
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, e.URL()+"/v1/streams/"+id, nil)
	request.Header.Set("Last-Event-ID", fmt.Sprint(last))
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

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(failsafe); time.Now().Before(limit); time.Sleep(2 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("never: %s", what)
}

func TestStreamsOneEventForEachTokenAndLogsTheRun(t *testing.T) {
	e := start(t, engine.Config{TokensPerSecond: 5000})
	response, err := post(t, e, "a", 7, true)
	if err != nil {
		t.Fatal(err)
	}
	body := readAll(t, response)
	if response.Header.Get(standin.HeaderRequestID) != "a" {
		t.Error("answer does not name the request")
	}
	if strings.Count(body, "id: ") != 7 || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("body: %s", body)
	}
	run := e.Log().Runs()[0]
	if run.Cost() != 7 || run.Outcome != standin.RunCompleted || run.Workspace != "w" || run.Operation != "op-a" {
		t.Errorf("run: %+v", run)
	}
}

func TestBrokenStreamResumesWithoutLossOrRepeat(t *testing.T) {
	e := start(t, engine.Config{TokensPerSecond: 200})
	e.ScheduleFault(standin.Fault{Kind: standin.FaultResetAnswer, Count: 1, After: 5})
	response, err := post(t, e, "a", 20, true)
	if err != nil {
		t.Fatal(err)
	}
	seen := 0
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		if strings.HasPrefix(scanner.Text(), "id: ") {
			seen++
		}
	}
	if scanner.Err() == nil || seen != 5 {
		t.Fatalf("saw %d events, error %v", seen, scanner.Err())
	}
	rest := readAll(t, resume(t, e, "a", 5))
	if strings.Count(rest, "id: ") != 15 || !strings.Contains(rest, engine.Token("op-a", 6)) {
		t.Errorf("rest: %s", rest)
	}
	if runs := e.Log().Runs(); len(runs) != 1 {
		t.Errorf("%d runs", len(runs))
	}
}

func TestAdmitsFirstComeFirstServedUpToTheBatch(t *testing.T) {
	e := start(t, engine.Config{Batch: 1, TokensPerSecond: 500})
	done := make(chan struct{}, 2)
	for i := range 2 {
		go func() {
			defer func() { done <- struct{}{} }()
			if response, err := post(t, e, fmt.Sprint(i), 20, false); err == nil {
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
		t.Errorf("the second started %v before the first ended", runs[0].EndedAt.Sub(runs[1].StartedAt))
	}
}

func TestCancelEndsTheRun(t *testing.T) {
	e := start(t, engine.Config{TokensPerSecond: 50})
	response, err := post(t, e, "a", 100000, true)
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

func TestRunWithoutReaderEndsAfterTheWindow(t *testing.T) {
	e := start(t, engine.Config{TokensPerSecond: 50, ResumeWindow: 50 * time.Millisecond})
	e.ScheduleFault(standin.Fault{Kind: standin.FaultResetAnswer, Count: 1, After: 1})
	response, err := post(t, e, "a", 100000, true)
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

func TestFaultsWithoutRunLeaveNoEntry(t *testing.T) {
	for _, kind := range []standin.FaultKind{standin.FaultResetBefore, standin.FaultResetDuring, standin.FaultOverloaded, standin.FaultLeaving} {
		t.Run(string(kind), func(t *testing.T) {
			e := start(t, engine.Config{})
			e.ScheduleFault(standin.Fault{Kind: kind, Count: 1})
			response, err := post(t, e, "a", 3, true)
			if err == nil && response.Header.Get(standin.HeaderRunState) != standin.RunStateNotRun {
				t.Errorf("answer %v", response.Status)
			}
			if len(e.Log().Runs()) != 0 {
				t.Error("a run was logged")
			}
		})
	}
}

func TestCrossedAnswerNamesAnotherRequest(t *testing.T) {
	e := start(t, engine.Config{TokensPerSecond: 5000})
	e.ScheduleFault(standin.Fault{Kind: standin.FaultWrongRequestID, Count: 1})
	response, err := post(t, e, "a", 3, false)
	if err != nil {
		t.Fatal(err)
	}
	if id := response.Header.Get(standin.HeaderRequestID); id == "a" || id == "" {
		t.Errorf("named %q", id)
	}
}
