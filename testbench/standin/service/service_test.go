package service_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"hawthornstream/testbench/standin"
	"hawthornstream/testbench/standin/service"
)

func startService(t *testing.T) *service.Service {
	t.Helper()
	started, err := service.Start(service.Config{Name: "app-1"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(started.Close)
	return started
}

func postOrder(t *testing.T, s *service.Service) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL()+"/orders?ms=5&workspace=w&operation=op", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(standin.HeaderRequestID, "a")
	request.Header.Set(standin.HeaderIdempotencyKey, "k")
	return http.DefaultClient.Do(request)
}

func TestAnswersAndRecordsTheRun(t *testing.T) {
	s := startService(t)
	response, err := postOrder(t, s)
	if err != nil {
		t.Fatal(err)
	}
	var answer service.Answer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	if answer.Operation != "op" || answer.RequestID != "a" || answer.BodyBytes != 4 {
		t.Errorf("wrong answer: %+v", answer)
	}
	run := s.Log().Runs()[0]
	if run.Cost() < 5 || run.IdempotencyKey != "k" || run.Workspace != "w" || run.Outcome != standin.RunCompleted {
		t.Errorf("wrong record of the run: %+v", run)
	}
}

func TestRecordsTheRunOfALostAnswer(t *testing.T) {
	s := startService(t)
	s.ScheduleFault(standin.Fault{Kind: standin.FaultResetAfter, Count: 1})
	if _, err := postOrder(t, s); err == nil {
		t.Error("got an answer, want a reset connection")
	}
	if runs := s.Log().Runs(); len(runs) != 1 {
		t.Errorf("got %d runs, want 1", len(runs))
	}
}

func TestIncompleteAnswersCanNotBeDecoded(t *testing.T) {
	for _, kind := range []standin.FaultKind{standin.FaultTruncated, standin.FaultResetAnswer} {
		s := startService(t)
		s.ScheduleFault(standin.Fault{Kind: kind, Count: 1, After: 10})
		response, err := postOrder(t, s)
		if err != nil {
			continue
		}
		var answer service.Answer
		if err := json.NewDecoder(response.Body).Decode(&answer); err == nil {
			t.Errorf("%s: the answer could be decoded", kind)
		}
	}
}
