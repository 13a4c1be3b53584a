package backendhttp

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"hawthornstream/internal/adapters/heldmemory"
	"hawthornstream/internal/core/memory"
	"hawthornstream/internal/core/outcome"
	"hawthornstream/internal/ports"
	"hawthornstream/internal/settings"
)

// newSmallAccount returns the account of a process with the given memory.
func newSmallAccount(processMemory int) *heldmemory.Account {
	s := new(settings.Settings)
	s.Limits.Memory = settings.Size(processMemory)
	return heldmemory.New(s, tally.NoopScope, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
}

// heldByMessages returns what messages hold, and the heads among them.
func heldByMessages(account *heldmemory.Account) (messages, heads int64) {
	account.Update(func(a *memory.Account) { messages, heads = a.HeldByMessages(), a.Held(memory.KindHead) })
	return messages, heads
}

// manyLines returns header lines with different names.
func manyLines(count int) string {
	var lines strings.Builder
	for i := range count {
		_, _ = fmt.Fprintf(&lines, "n%d:\r\n", i)
	}
	return lines.String()
}

// A server sent a head without end, which was kept until the caller closed, and the call looked
// like one under which servers end. The answer must show the server's fault if the head was
// large, whatever it consists of.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	oversized := ports.RunReport{Fault: ports.ServerFaultBroken}
	cases := map[string]struct {
		memory       int
		begin, again string
		deadline     time.Duration
		reason       outcome.Reason
		report       ports.RunReport
	}{
		"short lines":                 {16 << 20, statusLine, manyLines(1000), testTimeout, outcome.ReasonAnswerWithoutEnd, oversized},
		"one long line":               {1 << 20, statusLine + "x: ", strings.Repeat("x", 4096), testTimeout, outcome.ReasonAnswerWithoutEnd, oversized},
		"a long status line":          {1 << 20, "HTTP/1.1 200 ", strings.Repeat("x", 4096), testTimeout, outcome.ReasonAnswerWithoutEnd, oversized},
		"interim answers":             {16 << 20, "", "HTTP/1.1 102 Processing\r\n\r\n", testTimeout, outcome.ReasonAnswerWithoutEnd, oversized},
		"interim answers, two blanks": {16 << 20, "", "HTTP/1.1  102 Processing\r\n\r\n", testTimeout, outcome.ReasonAnswerWithoutEnd, oversized},
		"above the limit of one head": {
			0, statusLine, manyLines(1000), testTimeout, outcome.ReasonAnswerWithoutEnd, oversized,
		},
		"small, no memory":        {32 << 10, statusLine + manyLines(90), "", testTimeout, outcome.ReasonAnswerNotHeld, ports.RunReport{}},
		"large, until a deadline": {0, statusLine + manyLines(300), "", 200 * time.Millisecond, outcome.ReasonDeadlineExceeded, oversized},
		"small, until a deadline": {0, statusLine + manyLines(30), "", 200 * time.Millisecond, outcome.ReasonDeadlineExceeded, ports.RunReport{}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startRawServer(t, func(_ int64, conn net.Conn) {
				defer func() { _ = conn.Close() }()
				readRequest(conn)
				_, err := io.WriteString(conn, c.begin)
				for err == nil && c.again != "" {
					_, err = io.WriteString(conn, c.again)
				}
				_, _ = io.Copy(io.Discard, conn)
			})
			account := newSmallAccount(c.memory)
			client := NewClient(tally.NoopScope, account)
			defer client.Close()
			ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
			defer cancel()
			_, err := client.Do(ctx, newPostRequest(address))
			result := FailureResult(ctx, err)
			if result.End != outcome.Unknown || result.Reason != c.reason || result.Report != c.report {
				t.Errorf("got %+v for %v", result, err)
			}
			if messages, heads := heldByMessages(account); messages != 0 || heads != 0 {
				t.Errorf("%d bytes are held after the end, %d for heads", messages, heads)
			}
		})
	}
}

// Heads that are held open below the limit of one head hold no more together than the account
// allows, and a whole head holds its memory to the end of the exchange.
func TestHeadsHeldOpenMakeRoomForEachOther(t *testing.T) {
	const connections = 40
	address := startRawServer(t, func(number int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		readRequest(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+manyLines(500))
		if number == 1 {
			_, _ = io.WriteString(conn, "Content-Length: 0\r\n\r\n")
		}
		_, _ = io.Copy(io.Discard, conn)
	})
	account := newSmallAccount(32 << 20)
	client := NewClient(tally.NoopScope, account)
	defer client.Close()
	whole, err := client.Do(testContext(t), newPostRequest(address))
	if err != nil {
		t.Fatal(err)
	}
	heldByWhole, _ := heldByMessages(account)
	ctx, cancel := context.WithCancel(testContext(t))
	ended := make(chan struct{}, connections)
	for range connections {
		go func() {
			_, _ = client.Do(ctx, newPostRequest(address))
			ended <- struct{}{}
		}()
	}
	for range connections / 2 {
		<-ended
	}
	if held, _ := heldByMessages(account); held < heldByWhole || held > 1<<20 {
		t.Errorf("%d bytes are held, %d of them by a whole head", held, heldByWhole)
	}
	cancel()
	for range connections - connections/2 {
		<-ended
	}
	if held, _ := heldByMessages(account); held != heldByWhole || heldByWhole == 0 {
		t.Errorf("%d bytes are held, %d by the whole head", held, heldByWhole)
	}
	whole.Finish()
	if held, _ := heldByMessages(account); held != 0 {
		t.Errorf("%d bytes are held after the end", held)
	}
}

// Bytes of a body that came with the head were counted like lines of the head.
func TestHeadEndsBeforeItsBody(t *testing.T) {
	const interim, head, body = "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\nC: d\r\n\r\n", "x\n\ny\r\n\r\n"
	for _, want := range []string{head, interim + interim + head, strings.ReplaceAll(interim+head, "\r", "")} {
		for size := range len(want) + len(body) {
			var (
				end   headEnd
				heads string
			)
			for rest, isWhole := []byte(want+body), false; len(rest) > 0 && !isWhole; {
				var part []byte
				length := min(size+1, len(rest))
				part, isWhole = end.cut(rest[:length])
				heads, rest = heads+string(part), rest[length:]
			}
			if heads != want {
				t.Errorf("in parts of %d bytes: the heads are %q, want %q", size+1, heads, want)
			}
		}
	}
}

// Counting the head of a usual answer allocates nothing.
func TestUsualHeadIsCountedWithoutAllocation(t *testing.T) {
	head := []byte("HTTP/1.1 200 OK\r\n" + manyLines(40) + "\r\n")
	var h answerHead
	if allocations := testing.AllocsPerRun(100, func() {
		h.begin()
		if h.receive(head) != nil || h.finish() != nil {
			t.Error("the head was refused")
		}
		h.release()
	}); allocations > 0 {
		t.Errorf("%v allocations", allocations)
	}
}

// Control answers that were held open below the limit of one were not counted together.
func TestControlAnswersHeldOpenAreBoundedTogether(t *testing.T) {
	const connections, size = 40, 200 << 10
	address := startRawServer(t, func(_ int64, conn net.Conn) {
		defer func() { _ = conn.Close() }()
		readRequest(conn)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", size))
		_, _ = io.Copy(io.Discard, conn)
	})
	client := NewClient(tally.NoopScope, newSmallAccount(32<<20))
	defer client.Close()
	ctx, cancel := context.WithCancel(testContext(t))
	defer cancel()
	refused := make(chan error, connections)
	for range connections {
		go func() {
			exchange, err := client.Do(ctx, newPostRequest(address))
			if err == nil {
				defer exchange.Abort()
				_, err = exchange.ReadAll(2 * size)
			}
			refused <- err
		}()
	}
	for range connections / 2 {
		err := <-refused
		var noMemory *heldmemory.MessageRefusedError
		if !errors.As(err, &noMemory) {
			t.Fatalf("an answer ended with %v", err)
		}
	}
}
