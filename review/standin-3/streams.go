package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// muteEngine is the name of the engine that leaves requests without an answer.
const muteEngine = "i-2"

// streamCounts is what the clients of a run have seen.
type streamCounts struct {
	sent atomic.Int64
	// lost are the requests on kept connections that sound engines ran and that got no answer.
	lost atomic.Int64
}

// sendStreams sends streams to one daemon, on a connection that it keeps, until stop is closed.
func sendStreams(b *bed, d *daemon, stop <-chan struct{}, counts *streamCounts) {
	var c *connection
	defer func() {
		if c != nil {
			c.close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(50+rand.IntN(200)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dial(d.front()); err != nil {
				continue
			}
		}
		r := &request{
			id: newID(), method: http.MethodPost, path: "/draft/", tokens: fmt.Sprintf("%d,150", 4000+rand.IntN(8000)),
			deadline: 15 * time.Second, body: []byte("dossier"),
		}
		r.prefix = fmt.Sprintf("aa:512,bb%02x:2000,%s:1400", rand.IntN(30), r.id)
		b.record.write("send    %s to %s", r.id, d.name)
		counts.sent.Add(1)
		kept := c.used > 0
		a := c.do(r)
		b.record.write("answer  %s from %s: %v", r.id, d.name, a)
		if kept && a.isClosed() && isSoundlyRun(b.record.ranAt(r.id)) {
			counts.lost.Add(1)
			b.record.say("lost    %s at %s, run at %v", r.id, d.name, b.record.ranAt(r.id))
		}
		if !a.canKeep() {
			c.close()
			c = nil
		}
	}
}

// isSoundlyRun reports whether an engine ran the request that answers all of its own.
func isSoundlyRun(workers []string) bool {
	for _, name := range workers {
		if name != muteEngine {
			return true
		}
	}
	return false
}
