package metrics

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"
)

func TestHandlerServesCounters(t *testing.T) {
	scope, handler, closer := New(&log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	scope.Tagged(map[string]string{"reason": "queue-full"}).Counter("refusals").Inc(2)
	if err := closer.Close(); err != nil {
		t.Fatalf("close: %v", err)
	}

	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))

	want := `hawthornstream_refusals{reason="queue-full"} 2`
	if !strings.Contains(recorder.Body.String(), want) {
		t.Errorf("/metrics lacks %s:\n%s", want, recorder.Body)
	}
}

func TestMetricWithDifferentTagsIsLogged(t *testing.T) {
	var logged strings.Builder
	scope, _, closer := New(&log.Logger{Writer: &log.IOWriter{Writer: &logged}})
	defer closer.Close()
	scope.Tagged(map[string]string{"reason": "a"}).Counter("calls").Inc(1)
	scope.Tagged(map[string]string{"result": "b"}).Counter("calls").Inc(1)
	if !strings.Contains(logged.String(), "metric-not-registered") {
		t.Errorf("log does not report the failed registration: %q", logged.String())
	}
}

func TestRuntimeReporterUpdatesGauges(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	reporter := NewRuntimeReporter(scope)
	reporter.updateGauges()
	for _, name := range []string{"process_goroutines+", "process_memory_bytes+"} {
		gauge, found := scope.Snapshot().Gauges()[name]
		if !found || gauge.Value() <= 0 {
			t.Errorf("gauge %s is missing or zero", name)
		}
	}
}
