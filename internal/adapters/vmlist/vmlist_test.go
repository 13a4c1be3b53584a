package vmlist

import (
	"bytes"
	"compress/gzip"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/adapters/httpanswer/answertest"
	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

func newTestClient(t *testing.T, handler http.HandlerFunc) *Client {
	t.Helper()
	return newTestClientOf(t, 0, handler)
}

// newTestClientOf returns a client in a process with a limit of memory in MiB.
func newTestClientOf(t *testing.T, mebibytes int, handler http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handler)
	s, logger := new(settings.Settings), logging.New(io.Discard, "info")
	s.Limits.Memory = settings.Size(mebibytes << 20)
	client := New(server.URL, heldmemory.New(s, tally.NoopScope, logger), tally.NoopScope, logger)
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

// writeEntries writes the beginning of a list, and entries until they have the given size.
func writeEntries(w io.Writer, entry string, size int) {
	_, _ = io.WriteString(w, `{"vms":[`+entry)
	chunk := strings.Repeat(","+entry, 1+(64<<10)/len(entry))
	for written := 0; written < size; written += len(chunk) {
		if _, err := io.WriteString(w, chunk); err != nil {
			return
		}
	}
}

// A list that was cut at the limit of its size passed as whole if only spaces followed, and no
// sum bounded what it took to decode one of small entries.
func TestListIsReadWholeOrNotAtAll(t *testing.T) {
	vm := `{"name":"a","kind":"daemon","failureDomain":"ub-a","region":"ub","address":"10.0.0.1:7082","note":"` + strings.Repeat("x", 150) + `"}`
	for name, test := range map[string]struct {
		entry string
		bytes int
		end   string
		want  string
	}{
		"large fleet":       {vm, 12_360 * (len(vm) + 1), "]}", ""},
		"numbers":           {"1", 4 << 20, "]}", "*heldmemory.MessageRefusedError"},
		"without end":       {vm, 20 << 20, "", "*heldmemory.MessageRefusedError"},
		"cut before spaces": {"{}", 1, "]}" + strings.Repeat(" ", maxListBytes), "*vmlist.ListTooLargeError"},
	} {
		for _, compressed := range []bool{false, true} {
			mebibytes := 80
			if test.want == "*vmlist.ListTooLargeError" {
				mebibytes = 0
			}
			var answer bytes.Buffer
			var body io.WriteCloser = struct {
				io.Writer
				io.Closer
			}{&answer, io.NopCloser(nil)}
			if compressed {
				body, _ = gzip.NewWriterLevel(&answer, gzip.BestSpeed)
			}
			writeEntries(body, test.entry, test.bytes)
			_, _ = io.WriteString(body, test.end)
			_ = body.Close()
			client := newTestClientOf(t, mebibytes, func(w http.ResponseWriter, _ *http.Request) {
				if compressed {
					w.Header().Set("Content-Encoding", gzipEncoding)
				}
				_, _ = w.Write(answer.Bytes())
			})
			vms, err := client.List(t.Context())
			var unavailable *ports.PlatformUnavailableError
			got := ""
			if errors.As(err, &unavailable) {
				got = fmt.Sprintf("%T", unavailable.Cause)
			}
			if got != test.want || err == nil && len(vms) < 12_360 {
				t.Errorf("%s, compressed %t: %d VMs, error %v; want %q", name, compressed, len(vms), err, test.want)
			}
			if rest := client.held.NewPart(); rest.Grow(client.held.Limit()) != nil {
				t.Errorf("%s: memory is held after the request", name)
			}
		}
	}
}

// Heads of 10 MiB were read, whose parsed form is far larger.
func TestLargeHeadIsRefused(t *testing.T) {
	client := newTestClient(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Large", strings.Repeat("x", 2*maxHeadBytes))
		_, _ = io.WriteString(w, `{"vms":[]}`)
	})
	if _, err := client.List(t.Context()); err == nil {
		t.Error("the head was read")
	}
}

// An answer that isn't HTTP is no list, and doesn't revalidate one.
func TestInvalidAnswerIsNoList(t *testing.T) {
	for name, invalid := range answertest.Handlers() {
		t.Run(name, func(t *testing.T) {
			client := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("If-None-Match") != "" {
					invalid(w, r)
					return
				}
				w.Header().Set("ETag", `"1"`)
				_, _ = io.WriteString(w, `{"vms":[]}`)
			})
			if _, err := client.List(t.Context()); err != nil {
				t.Fatal(err)
			}
			var missing *MissingListError
			if _, err := client.List(t.Context()); err == nil || errors.As(err, &missing) {
				t.Errorf("the answer was read: %v", err)
			}
		})
	}
}
