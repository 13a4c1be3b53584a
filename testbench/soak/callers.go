package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hawthornstream/platform/platformtest"
)

// callTimeout is the usual timeout of a call.
const callTimeout = 4 * time.Second

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
}

func (c *caller) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	defer c.client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		c.sendCall(fmt.Sprintf("%s-%d", c.name, number))
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
}

// sendCall sends one call and checks its answer. The caller of about one call in 20
// hangs up early, after at most 100 ms.
func (c *caller) sendCall(id string) {
	kind := callKinds[c.random.IntN(len(callKinds))]
	key, workspace := "key-1", "t1"
	if c.random.IntN(4) == 0 {
		key, workspace = "key-2", "t2"
	}
	timeout := callTimeout
	if c.random.IntN(20) == 0 {
		timeout = time.Duration(c.random.IntN(100)+1) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	address := c.daemonAddresses[c.random.IntN(len(c.daemonAddresses))]
	request, err := platformtest.NewRequest(ctx, address, platformtest.Call{
		ID: id, Key: key, Path: kind.path, Timeout: timeout, PromptPrefix: fmt.Sprintf("%02x", c.random.IntN(9)),
	})
	if err != nil {
		c.checker.addViolation("soak: %v", err)
		return
	}
	revoked := key == "key-2" && c.isKeyRevoked()
	c.checker.recordCall(id, kind, workspace)
	response, err := c.client.Do(request)
	if err != nil {
		c.checkAnswered(ctx, id, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	c.checkAnswered(ctx, id, err)
	if revoked && response.StatusCode == http.StatusOK {
		c.checker.addViolation("configuration: %s was served with a revoked key", id)
	}
	if response.StatusCode == http.StatusUnauthorized && key == "key-1" || response.StatusCode == http.StatusNotFound {
		c.checker.addViolation("denied: %s was answered with status %d", id, response.StatusCode)
	}
	c.checker.recordAnswer(id, response.StatusCode, err == nil, string(body), expectedBody(kind, id), platformtest.HasSeal(response))
}

// checkAnswered records a violation if a call that must be answered ended with err before
// its deadline. The deadline counts by the clock: its timer may fire later.
func (c *caller) checkAnswered(ctx context.Context, id string, err error) {
	deadline, _ := ctx.Deadline()
	if c.mustBeAnswered && err != nil && time.Now().Before(deadline) {
		c.checker.addViolation("lost: %s ended without an answer: %v", id, err)
	}
}
