package objectapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"

	"hawthornstream/internal/adapters/httpanswer/answertest"
	"hawthornstream/internal/ports"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

func newTestClient(t *testing.T, handler http.HandlerFunc) (*Client, tally.TestScope) {
	t.Helper()
	server := httptest.NewServer(handler)
	scope := tally.NewTestScope("", nil)
	client := New(server.URL, scope)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client, scope
}

func TestGetReadsValueAndVersion(t *testing.T) {
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/objects/a/b c" {
			t.Errorf("path %q", r.URL.Path)
		}
		w.Header().Set("ETag", `"7"`)
		_, _ = io.WriteString(w, "value")
	})
	object, err := client.Get(context.Background(), "a/b c")
	if err != nil || object.Version != 7 || string(object.Value) != "value" {
		t.Errorf("object %+v, error %v; want value at version 7", object, err)
	}
}

func TestPutSendsPrecondition(t *testing.T) {
	var preconditions []string
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		preconditions = append(preconditions, r.Header.Get("If-None-Match")+r.Header.Get("If-Match"))
		w.Header().Set("ETag", `"8"`)
	})
	for _, expected := range []ports.ObjectVersion{0, 7} {
		if version, err := client.Put(context.Background(), "a", []byte("v"), expected); err != nil || version != 8 {
			t.Errorf("version %d, error %v; want version 8", version, err)
		}
	}
	if len(preconditions) != 2 || preconditions[0] != "*" || preconditions[1] != `"7"` {
		t.Errorf("preconditions %q; want \"*\" for version 0 and the quoted version 7", preconditions)
	}
}

func TestStatusesMapToErrorsAndAreCounted(t *testing.T) {
	var status int
	client, scope := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) })
	var (
		conflict    *ports.ObjectConflictError
		missing     *ports.ObjectNotFoundError
		unavailable *ports.PlatformUnavailableError
	)
	for _, c := range []struct {
		status int
		target any
		result string
	}{
		{http.StatusPreconditionFailed, &conflict, "conflict"},
		{http.StatusNotFound, &missing, "not-found"},
		{http.StatusTooManyRequests, &unavailable, "unavailable"},
		{http.StatusInternalServerError, &unavailable, "unavailable"},
		{http.StatusOK, &unavailable, "ok"}, // the answer has no ETag
	} {
		status = c.status
		_, err := client.Put(context.Background(), "a", nil, 1)
		if !errors.As(err, c.target) {
			t.Errorf("status %d: got %v", c.status, err)
		}
		name := "platform_calls+operation=put,result=" + c.result
		if counter, found := scope.Snapshot().Counters()[name]; !found || counter.Value() == 0 {
			t.Errorf("%s is not counted", name)
		}
	}
}

func TestEndedWatchReturnsUnchangedVersion(t *testing.T) {
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("watch") != "true" || r.URL.Query().Get("after") != "5" {
			t.Errorf("query %q", r.URL.RawQuery)
		}
		w.WriteHeader(http.StatusNotModified)
	})
	object, err := client.Watch(context.Background(), "a", 5)
	if err != nil || object.Version != 5 {
		t.Errorf("object %+v, error %v; want version 5", object, err)
	}
}

// A request without an answer in time fails and its connection is not reused: the
// next request opens another one.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	release := make(chan struct{})
	var mu sync.Mutex
	requestsByConnection := map[string]int{}
	requests := 0
	client, _ := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		requests++
		isSecond := requests == 2
		requestsByConnection[r.RemoteAddr]++
		mu.Unlock()
		w.Header().Set("ETag", `"1"`)
		if isSecond {
			select {
			case <-release:
			case <-r.Context().Done():
			}
		}
	})
	defer close(release)
	if _, err := client.Get(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	var unavailable *ports.PlatformUnavailableError
	if _, err := client.Get(context.Background(), "a"); !errors.As(err, &unavailable) {
		t.Fatalf("unanswered request: error %v, want a PlatformUnavailableError", err)
	}
	if _, err := client.Get(context.Background(), "a"); err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(requestsByConnection) != 2 {
		t.Errorf("%d connections, want 2: %v", len(requestsByConnection), requestsByConnection)
	}
}

func TestUnreachablePlatformReturnsUnavailableError(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	client := New(server.URL, tally.NoopScope)
	var unavailable *ports.PlatformUnavailableError
	if _, err := client.Get(context.Background(), "a"); !errors.As(err, &unavailable) {
		t.Errorf("error %v, want a PlatformUnavailableError", err)
	}
}

// An answer that isn't HTTP doesn't show that the platform has carried out a request.
func TestInvalidAnswerIsNoAnswer(t *testing.T) {
	for name, handler := range answertest.Handlers() {
		t.Run(name, func(t *testing.T) {
			client, _ := newTestClient(t, handler)
			var unavailable *ports.PlatformUnavailableError
			if version, err := client.Put(t.Context(), "name", nil, 0); !errors.As(err, &unavailable) {
				t.Errorf("put gave version %d, error %v", version, err)
			}
			if object, err := client.Get(t.Context(), "name"); !errors.As(err, &unavailable) {
				t.Errorf("get gave %+v, error %v", object, err)
			}
		})
	}
}
