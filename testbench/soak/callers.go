package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
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
	url := "http://" + c.targets[c.random.IntN(len(c.targets))] + k.path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, nil)
	if err != nil {
		c.ledger.add("soak: %v", err)
		return
	}
	request.Host = "h.example"
	for name, value := range map[string]string{
		"Attempt-Id": id, "Api-Key": key, "Deadline-Ms": fmt.Sprint(within.Milliseconds()), "Model": "m",
		"Token-Count": "900,40", "Prompt-Prefix": fmt.Sprintf("aa:300,%02x:300,ff%s:300", c.random.IntN(9), id),
		"Tenant": "forged", "Expect-Instance": "forged",
	} {
		request.Header.Set(name, value)
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
	c.ledger.ended(id, response.StatusCode, err == nil, string(body), wantBody(k, id), response.Header.Get("Response-Seal"))
}
