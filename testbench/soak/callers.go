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

// callTimeout is the callers' deadline.
const callTimeout = 4 * time.Second

// caller sends calls one after the other. It keeps its connections open until
// the process at the other end is gone.
type caller struct {
	name   string
	ledger *ledger
	// targets are the callers' addresses of the daemons.
	targets []string
	random  *rand.Rand
	client  *http.Client
	// revoked tells whether the second key was taken away long enough ago.
	revoked func() bool
}

func (c *caller) run(ctx context.Context, group *sync.WaitGroup) {
	defer group.Done()
	defer c.client.CloseIdleConnections()
	for number := 0; ctx.Err() == nil; number++ {
		c.call(fmt.Sprintf("%s-%d", c.name, number))
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
}

// call sends one call. Some callers leave early.
func (c *caller) call(id string) {
	k := kinds[c.random.IntN(len(kinds))]
	key, workspace := "key-1", "t1"
	if c.random.IntN(4) == 0 {
		key, workspace = "key-2", "t2"
	}
	within := callTimeout
	if c.random.IntN(20) == 0 {
		within = time.Duration(c.random.IntN(100)+1) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	target := c.targets[c.random.IntN(len(c.targets))]
	request, err := platformtest.NewRequest(ctx, target, platformtest.Call{
		ID: id, Key: key, Path: k.path, Timeout: within, PromptPrefix: fmt.Sprintf("%02x", c.random.IntN(9)),
	})
	if err != nil {
		c.ledger.add("soak: %v", err)
		return
	}
	revoked := key == "key-2" && c.revoked()
	c.ledger.sent(id, k, workspace)
	response, err := c.client.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if revoked && response.StatusCode == http.StatusOK {
		c.ledger.add("configuration: %s was served with a key that was taken away", id)
	}
	if response.StatusCode == http.StatusUnauthorized && key == "key-1" || response.StatusCode == http.StatusNotFound {
		c.ledger.add("denied: %s was answered %d", id, response.StatusCode)
	}
	c.ledger.ended(id, response.StatusCode, err == nil, string(body), wantBody(k, id), platformtest.HasSeal(response))
}
