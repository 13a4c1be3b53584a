package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// stopCase stops one daemon by SIGTERM while consumers use kept connections to it. The
// disruption is a second SIGTERM within the grace period.
func stopCase(b *bed, trouble bool) (string, error) {
	for _, zone := range zoneNames {
		if _, err := b.addDaemon(zone, 134); err != nil {
			return "", err
		}
		if _, err := b.addWorker("i-"+zone, "order-app", zone, 12, 600*time.Millisecond); err != nil {
			return "", err
		}
	}
	pay := route("r-pay", "/pay/", "non_idempotent", "order-app", values{"timeoutMs": 3000, "targetLatencyMs": 1000})
	b.configure(7, []any{pay}, []any{plainService("order-app")}, []any{tenant("hule930", "key-1")})
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	time.Sleep(contact)
	stopped := b.daemons[0]
	var all answers
	var consumers sync.WaitGroup
	end := time.Now().Add(6 * time.Second)
	for i := range 12 {
		consumers.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			for time.Now().Before(end) {
				c, err := dial(stopped.address())
				if err != nil {
					return
				}
				for time.Now().Before(end) {
					a := c.do(request{ID: newID(), Method: "POST", Target: "/pay/1", Key: "key-1", Body: []byte("capture"), Deadline: 3 * time.Second})
					all.add(a)
					if !a.Whole || a.Close || a.Status != 200 {
						break
					}
					time.Sleep(20 * time.Millisecond)
				}
				c.close()
			}
		})
	}
	time.Sleep(3 * time.Second)
	b.note("SIGTERM to %s", stopped.name)
	stopped.signal(syscall.SIGTERM)
	stoppedAt := time.Now()
	if trouble {
		time.Sleep(time.Second)
		b.note("SIGTERM to %s", stopped.name)
		stopped.signal(syscall.SIGTERM)
	}
	consumers.Wait()
	select {
	case <-stopped.exited:
		b.note("%s has ended", stopped.name)
	case <-time.After(time.Until(stoppedAt.Add(8 * time.Second))):
		b.note("SIGKILL to %s", stopped.name)
	}
	ran := make(map[string]run)
	for _, r := range allRuns(b.workers) {
		ran[r.ID] = r
	}
	lost, answered := 0, 0
	for _, a := range all.all {
		r, passedOn := ran[a.ID]
		b.note("%s, passed on %t, the worker ended its answer %t", a.String(), passedOn, r.Ended)
		if a.Status == 200 && a.Whole {
			answered++
		}
		if !a.WholeAt.IsZero() && !a.Whole && passedOn && a.EndedAt.Sub(a.SentAt) < 2900*time.Millisecond {
			lost++
		}
	}
	b.note("%d requests, %d answered with 200, %d passed on and cut without a whole answer", len(all.all), answered, lost)
	if answered < 20 {
		return "", fmt.Errorf("only %d requests were answered", answered)
	}
	if lost > 0 {
		return fmt.Sprintf("LOST: %d requests were passed on to a worker and their connections ended without an answer", lost), nil
	}
	return "", nil
}
