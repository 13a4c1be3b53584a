package objectstore_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"hawthornstream/testbench/standin/objectstore"
)

func startStore(t *testing.T) *objectstore.Store {
	t.Helper()
	store, err := objectstore.Start()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return store
}

// call sends a request and returns the response with its body. header holds pairs of
// a name and a value.
func call(t *testing.T, method, url, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	got, _ := io.ReadAll(response.Body)
	return response, string(got), nil
}

func TestConditionalWrites(t *testing.T) {
	url := startStore(t).URL() + "/v1/objects/some/name"
	steps := []struct {
		method, body string
		header       []string
		want         int
	}{
		{http.MethodGet, "", nil, 404},
		{http.MethodPut, "one", nil, 400},
		{http.MethodPut, "one", []string{"If-None-Match", "*"}, 200},
		{http.MethodPut, "two", []string{"If-None-Match", "*"}, 412},
		{http.MethodPut, "two", []string{"If-Match", `"1"`}, 200},
		{http.MethodPut, "three", []string{"If-Match", `"1"`}, 412},
		{http.MethodPut, strings.Repeat("x", 1<<20+1), []string{"If-Match", `"2"`}, 413},
		{http.MethodGet, "", nil, 200},
		{http.MethodDelete, "", []string{"If-Match", `"1"`}, 412},
		{http.MethodDelete, "", []string{"If-Match", `"2"`}, 204},
		{http.MethodDelete, "", []string{"If-Match", `"2"`}, 404},
	}
	for i, step := range steps {
		response, _, err := call(t, step.method, url, step.body, step.header...)
		if err != nil {
			t.Fatal(err)
		}
		if response.StatusCode != step.want {
			t.Errorf("step %d %s: status %d, want %d", i, step.method, response.StatusCode, step.want)
		}
	}
}

func TestWatchReturnsNewVersionOrTimesOut(t *testing.T) {
	store := startStore(t)
	url := store.URL() + "/v1/objects/a?watch=true&after="
	done := make(chan string)
	go func() {
		_, body, _ := call(t, http.MethodGet, url+"0&timeout=10s", "")
		done <- body
	}()
	store.Put("a", []byte("one"))
	if body := <-done; body != "one" {
		t.Errorf("watch returned %q, want the new value", body)
	}
	response, _, err := call(t, http.MethodGet, url+"1&timeout=10ms", "")
	if err != nil || response.StatusCode != http.StatusNotModified {
		t.Errorf("watch without a change: want status 304, got response %v, error %v", response, err)
	}
	if counts := store.Counts(); counts.Watches != 2 {
		t.Errorf("want 2 watches, got %+v", counts)
	}
}

func TestWriteWithLostAnswerTakesEffect(t *testing.T) {
	store := startStore(t)
	store.LoseWriteAnswers(1)
	url := store.URL() + "/v1/objects/a"
	if _, _, err := call(t, http.MethodPut, url, "one", "If-None-Match", "*"); err == nil {
		t.Error("got an answer, want a reset connection")
	}
	if value, version := store.Get("a"); string(value) != "one" || version == 0 {
		t.Errorf("the write did not take effect: value %q, version %d", value, version)
	}
}

func TestStoreThatIsDownAnswers503AndWritesNothing(t *testing.T) {
	store := startStore(t)
	store.SetDown(true)
	response, _, err := call(t, http.MethodPut, store.URL()+"/v1/objects/a", "one", "If-None-Match", "*")
	if err != nil || response.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("want status 503, got response %v, error %v", response, err)
	}
	if _, version := store.Get("a"); version != 0 {
		t.Error("the write took effect")
	}
}
