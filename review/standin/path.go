package main

import (
	"fmt"
	"time"
)

// pathCase has a public route with the prefix "/" and a route with keys below it. The
// disruption is that consumers of the public route send a path that begins with two
// slashes.
func pathCase(b *bed, trouble bool) (string, error) {
	for _, zone := range zoneNames {
		if _, err := b.addDaemon(zone, 134); err != nil {
			return "", err
		}
		if _, err := b.addWorker("i-"+zone, "order-app", zone, 6, 30*time.Millisecond); err != nil {
			return "", err
		}
	}
	bounds := values{"timeoutMs": 1200, "targetLatencyMs": 200}
	status := route("r-status", "/", "idempotent", "order-app", bounds)
	status["public"], status["maxAttempts"] = true, 2
	pay := route("r-pay", "/pay/", "non_idempotent", "order-app", bounds)
	b.configure(7, []any{status, pay}, []any{plainService("order-app")}, []any{tenant("hule930", "key-1")})
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	time.Sleep(contact)
	targets := []string{"/status/7", "/" + host + "/pay/7?amount=5"}
	if trouble {
		for i := range targets {
			targets[i] = "/" + targets[i]
		}
	}
	sent := make(map[string]string)
	for _, d := range b.daemons {
		for _, target := range targets {
			c, err := dial(d.address())
			if err != nil {
				return "", err
			}
			id := newID()
			sent[id] = target
			a := c.do(request{ID: id, Method: "POST", Target: target, Body: []byte("5"), Deadline: 1200 * time.Millisecond})
			c.close()
			b.note("%s POST %s without a key: %s", d.name, target, a.String())
		}
	}
	runs := allRuns(b.workers)
	broken := ""
	for _, r := range runs {
		b.note("%s ran %s: request line %q, path and query %q", r.Worker, r.ID, r.Method+" "+r.Target, r.Path)
		if r.Path != sent[r.ID] {
			broken = fmt.Sprintf("UNASKED: the consumer sent %s, the worker ran %s (request line %s)", sent[r.ID], r.Path, r.Target)
		}
	}
	if len(runs) == 0 {
		return "", fmt.Errorf("no request reached a worker")
	}
	return broken, nil
}
