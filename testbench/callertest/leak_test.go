// Package callertest checks, with a real daemon, that malformed, unfinished and
// abandoned requests release their resources, that overload is shed, that a
// stopping daemon completes its calls, and that callers are served over TLS.
package callertest

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/settings"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin/engine"
)

// rounds is the number of times that each kind of broken request is sent.
const rounds = 40

// goroutineAllowance is the number of goroutines that the garbage collector and
// idle connections may add. It is less than rounds, so that one goroutine leaked
// by each request of one kind exceeds it.
const goroutineAllowance = 30

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

func TestBrokenCallersLeakNoResources(t *testing.T) {
	f := fleet.StartTest(t, fleet.Options{
		Engines: []fleet.EngineService{{
			Name: "drafter", Servers: 1, MaxInFlight: 2,
			Engine: engine.Config{TokensPerSecond: 20},
		}},
		AdjustSettings: func(s *settings.Settings) {
			s.Limits.ReceiveTimeout = configuration.Duration(300 * time.Millisecond)
		},
	})
	daemon := f.Daemons[0]
	checkCallServed(t, daemon)
	fleet.Eventually(t, "goroutines are reported", func() bool {
		return metricSum(t, daemon, "hawthornstream_process_goroutines") > 0
	})
	before := metricSum(t, daemon, "hawthornstream_process_goroutines")

	address := strings.TrimPrefix(daemon.CallersURL(), "http://")
	for range rounds {
		sendAndKeepOpen(t, address, "GET /services/x HTTP/1.1\r\nHost: a\r\n")
		sendAndKeepOpen(t, address, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+
			fleet.CallerKey("alpha")+"\r\nContent-Length: 100\r\n\r\n{")
		sendAndKeepOpen(t, address, "no request at all\r\n\r\n")
		sendAndKeepOpen(t, address, "GET /"+strings.Repeat("x", 100<<10)+" HTTP/1.1\r\nHost: a\r\n\r\n")
		abandonStreamedCall(t, daemon)
	}

	fleet.Eventually(t, "no caller's connection is open", func() bool {
		return metricSum(t, daemon, "hawthornstream_callers_connections") == 0
	})
	fleet.Eventually(t, "no call is queued or running", func() bool { return hasNoCalls(t, daemon) })
	fleet.Eventually(t, "goroutines are as before", func() bool {
		return metricSum(t, daemon, "hawthornstream_process_goroutines") <= before+goroutineAllowance
	})
	checkCallServed(t, daemon)
}

// sendAndKeepOpen sends text, which is no complete valid request, and leaves the
// connection open until the daemon closes it or the test ends.
func sendAndKeepOpen(t *testing.T, address, text string) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

// abandonStreamedCall starts a long streamed call and cancels it after 50 ms.
func abandonStreamedCall(t *testing.T, daemon *fleet.Daemon) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	body := `{"model":"drafter","stream":true,"metadata":{"tokens":"100000"}}`
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, daemon.CallersURL()+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.CallerKey("alpha"))
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

func metricSum(t *testing.T, daemon *fleet.Daemon, name string) float64 {
	t.Helper()
	metrics, err := daemon.Metrics(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	return metrics.Sum(name)
}

func hasNoCalls(t *testing.T, daemon *fleet.Daemon) bool {
	t.Helper()
	status, err := daemon.Status(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	for _, service := range status.Services {
		queued := 0
		for _, count := range service.Queued {
			queued += count
		}
		inUse := 0
		for _, shard := range service.Owned {
			for _, server := range shard.Servers {
				inUse += server.InUse
			}
		}
		if queued > 0 || service.Running > 0 || inUse > 0 {
			return false
		}
	}
	return true
}

func checkCallServed(t *testing.T, daemon *fleet.Daemon) {
	t.Helper()
	caller := fleet.NewCaller()
	defer caller.Close()
	call := fleet.Call{Workspace: "beta", Service: "drafter", Kind: configuration.ServiceKindEngine, Stream: true, Tokens: 3}
	if outcome := caller.Do(t.Context(), daemon, call); !outcome.Complete {
		t.Errorf("a valid call ended with %s", fmt.Sprint(outcome))
	}
}
