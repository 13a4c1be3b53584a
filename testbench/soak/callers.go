package soak

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"hawthornstream/platform/platformtest"
)

const (
	// usualCallTimeout is the timeout of a call in a run without long ones, and maxEarlyTimeout
	// the longest one of a caller that hangs up early.
	usualCallTimeout = 4 * time.Second
	maxEarlyTimeout  = 400 * time.Millisecond
)

// caller sends calls one after the other. It reuses its connections, without an idle
// timeout, until the daemon process at the other end has exited.
type caller struct {
	name    string
	checker *checker
	// daemonAddresses are the addresses at which the daemons accept calls.
	daemonAddresses []string
	random          *rand.Rand
	client          *http.Client
	// isKeyRevoked reports whether daemons must reject key-2.
	isKeyRevoked func() bool
	// mustBeAnswered says that no call may end without an answer or a refusal, unless
	// its caller leaves.
	mustBeAnswered bool
	// runsMustBeAnswered says the same of calls that a backend server has received.
	runsMustBeAnswered bool
	// cuts excuses calls that a stop had to cut off.
	cuts        *stopCuts
	callTimeout time.Duration
	// kinds are those that the caller chooses from.
	kinds []callKind
}

func (c *caller) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	defer c.client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		c.sendCall(fmt.Sprintf("%s-%d", c.name, number))
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
}

// call is one attempt of a caller.
type call struct {
	id             string
	kind           callKind
	key, workspace string
	promptPrefix   string
	// bodyRepeats is the length of the body; see requestBody.
	bodyRepeats int
	timeout     time.Duration
	// resumes is the ID of the attempt that began the stream that this one resumes after
	// the event lastEvent; empty for none.
	resumes   string
	lastEvent int
}

// streamID returns the ID of the attempt that began the stream.
func (c *call) streamID() string {
	return cmp.Or(c.resumes, c.id)
}

// sendCall sends one call and checks its answer. The caller of about one call in 20
// hangs up early, after at most maxEarlyTimeout. A stream that may be resumed and breaks
// is resumed.
func (c *caller) sendCall(id string) {
	next := call{
		id: id, kind: c.kinds[c.random.IntN(len(c.kinds))], key: "key-1", workspace: "t1", timeout: c.callTimeout,
		promptPrefix: fmt.Sprintf("%02x", c.random.IntN(9)),
	}
	if c.random.IntN(4) == 0 {
		next.key, next.workspace = "key-2", "t2"
	}
	if c.random.IntN(20) == 0 {
		// Callers name their timeout in whole milliseconds.
		next.timeout = time.Duration(1+c.random.Int64N(maxEarlyTimeout.Milliseconds())) * time.Millisecond
	}
	isLong := false
	if part := c.cuts.longParts[next.kind.path]; part > 0 {
		isLong = c.random.Float64() < part
	}
	if isLong {
		c.cuts.setLong(next.id)
	}
	if !next.kind.stream && c.random.IntN(4) == 0 {
		next.bodyRepeats = c.random.IntN(maxBodyRepeats)
	}
	next.lastEvent = c.send(next)
	for try := 1; try <= maxResumptions; try++ {
		if !next.kind.stream || !next.kind.repeatable || next.lastEvent == 0 || next.lastEvent == streamEventCount {
			return
		}
		time.Sleep(time.Duration(c.random.IntN(100)) * time.Millisecond)
		next.id, next.resumes, next.timeout = fmt.Sprintf("%s-r%d", id, try), id, c.callTimeout
		if isLong {
			c.cuts.setLong(next.id)
		}
		next.lastEvent = max(next.lastEvent, c.send(next))
	}
}

// maxBodyRepeats is the exclusive upper bound of the length of a body, which is some 200 kB.
const maxBodyRepeats = 25_000

// requestBody returns a body that names its call the given number of times.
func requestBody(id string, repeats int) string {
	return strings.Repeat(id+" ", repeats)
}

// maxResumptions is the number of times that a caller tries to resume a stream.
const maxResumptions = 3

// send sends one attempt and checks its answer. It returns the ID of the last event of a
// stream that the answer has; zero for none.
func (c *caller) send(next call) int {
	ctx, cancel := context.WithTimeout(context.Background(), next.timeout)
	defer cancel()
	address := c.daemonAddresses[c.random.IntN(len(c.daemonAddresses))]
	request, err := platformtest.NewRequest(ctx, address, platformtest.Call{
		ID: next.id, Key: next.key, Path: next.kind.path, Timeout: next.timeout, PromptPrefix: next.promptPrefix,
		Resumes: next.resumes, LastEventID: next.lastEvent, Body: requestBody(next.id, next.bodyRepeats),
	})
	if err != nil {
		c.checker.addViolation("soak: %v", err)
		return 0
	}
	revoked := next.key == "key-2" && c.isKeyRevoked()
	c.checker.recordCall(next.id, next.kind, next.workspace)
	sent := sentCall{call: next, address: address, sentAt: time.Now()}
	response, err := c.client.Do(request)
	if err != nil {
		c.checkAnswered(ctx, sent, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readAnswer(response.Body)
	c.checkAnswered(ctx, sent, err)
	if err == nil && !c.cuts.recordAnswer(sent, response.StatusCode, string(body)) && c.runsMustBeAnswered {
		c.checker.addViolation("cut: %s, sent to %s at %s: %s", next.id, address, sent.sentAt.Format(timeFormat), body)
	}
	if c.runsMustBeAnswered && response.StatusCode == http.StatusServiceUnavailable && c.checker.hasRun(next.id) {
		c.checker.addViolation("refused: %s was refused as not run, but it ran: %s", next.id, body)
	}
	if revoked && response.StatusCode == http.StatusOK {
		c.checker.addViolation("configuration: %s was served with a revoked key", next.id)
	}
	hasSeal := platformtest.HasSeal(response)
	if !hasSeal && (response.StatusCode == http.StatusUnauthorized && next.key == "key-1" || response.StatusCode == http.StatusNotFound) {
		c.checker.addViolation("denied: %s was answered with status %d", next.id, response.StatusCode)
	}
	a := answer{status: response.StatusCode, isWhole: err == nil, body: string(body), hasSeal: hasSeal}
	if next.kind.stream && a.status == http.StatusOK {
		return c.checker.recordStream(next, a)
	}
	c.checker.recordAnswer(next, a)
	return 0
}

// maxAnswerBytes is more than any whole answer has.
const maxAnswerBytes = 1 << 20

// readAnswer reads the body of an answer. One without end breaks off.
func readAnswer(body io.Reader) ([]byte, error) {
	read, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err == nil && len(read) == maxAnswerBytes {
		err = io.ErrUnexpectedEOF
	}
	return read, err
}

// timeFormat is the format of times in violations, for the comparison with logs.
const timeFormat = "15:04:05.000"

// checkAnswered records a violation if a call that must be answered, and that no stop had to
// cut off, ended with err before its deadline. The deadline counts by the clock: its timer may
// fire later.
func (c *caller) checkAnswered(ctx context.Context, sent sentCall, err error) {
	deadline, _ := ctx.Deadline()
	if err == nil || time.Now().After(deadline) || c.cuts.recordBreak(sent) {
		return
	}
	if c.mustBeAnswered || c.runsMustBeAnswered && c.checker.hasRun(sent.id) {
		c.checker.addViolation("lost: %s, sent to %s at %s, ended without an answer: %v", sent.id, sent.address, sent.sentAt.Format(timeFormat), err)
	}
}
