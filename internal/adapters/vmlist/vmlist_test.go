package vmlist

import (
	"compress/gzip"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/ports"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	client := New(server.URL, tally.NoopScope, logging.New(io.Discard, "info"))
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

func TestListDecodesVMs(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"vms":[{"name":"a","kind":"daemon","failureDomain":"ub-a","region":"ub","address":"10.0.0.1:7082","leaving":true}]}`))
	})
	vms, err := client.List(t.Context())
	want := ports.VM{Name: "a", Kind: ports.VMKindDaemon, Domain: "ub-a", Region: "ub", Address: "10.0.0.1:7082", Leaving: true}
	if err != nil || len(vms) != 1 || vms[0] != want {
		t.Errorf("VMs %v, error %v, want %v", vms, err, want)
	}
}

// One entry of another type or nested too deeply kept the whole list from being read.
func TestOddEntryDoesNotStopTheList(t *testing.T) {
	for _, odd := range []string{
		"7", `"text"`, `{"name":7}`, `{"name":"b","slots":1e999}`, `{"name":"b","started":9223372036854775808}`,
		strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000), `{"name":"b","slots":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}",
	} {
		client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(`{"vms":[{"name":"a"},` + odd + `,{"name":"c"}]}`))
		})
		if vms, err := client.List(t.Context()); err != nil || len(vms) != 2 || vms[1].Name != "c" {
			t.Errorf("%.30s: VMs %v, error %v, want a and c", odd, vms, err)
		}
	}
}

func TestListDecodesGzip(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Accept-Encoding") != gzipEncoding {
			t.Error("the request does not accept gzip encoding")
		}
		w.Header().Set("Content-Encoding", gzipEncoding)
		compressed := gzip.NewWriter(w)
		_, _ = compressed.Write([]byte(`{"vms":[{"name":"a"}]}`))
		_ = compressed.Close()
	})
	if vms, err := client.List(t.Context()); err != nil || len(vms) != 1 {
		t.Errorf("VMs %v, error %v, want one VM", vms, err)
	}
}

func TestUnmodifiedListComesFromCache(t *testing.T) {
	fullAnswers := 0
	client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("If-None-Match") == `"7"` {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		fullAnswers++
		w.Header().Set("ETag", `"7"`)
		_, _ = w.Write([]byte(`{"vms":[{"name":"a"}]}`))
	})
	for range 3 {
		if vms, err := client.List(t.Context()); err != nil || len(vms) != 1 {
			t.Fatalf("VMs %v, error %v, want one VM", vms, err)
		}
	}
	if fullAnswers != 1 {
		t.Errorf("%d complete answers, want 1", fullAnswers)
	}
}

func TestUnusableAnswersReturnPlatformUnavailableError(t *testing.T) {
	handlers := map[string]http.HandlerFunc{
		"status":       func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
		"not modified": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNotModified) },
		"no JSON":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) },
		"no list":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{}`)) },
		"cut off":      func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"vms":[{"name":"a"}`)) },
		"no gzip": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", gzipEncoding)
			_, _ = w.Write([]byte(`{"vms":[]}`))
		},
		"hang-up": func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
	}
	for name, handler := range handlers {
		t.Run(name, func(t *testing.T) {
			_, err := newTestClient(t, handler).List(t.Context())
			var unavailable *ports.PlatformUnavailableError
			if !errors.As(err, &unavailable) {
				t.Errorf("error %v, want a PlatformUnavailableError", err)
			}
		})
	}
}
