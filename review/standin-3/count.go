package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	countClients = 90
	countLength  = 20 * time.Second
	// countTokens is the number of prompt tokens that the one malformed request names.
	countTokens = 2_000_000_000_000_000
	// countMute is the part of its requests that one engine doesn't answer.
	countMute = 0.2
	// mayLose is the number of requests that may get no answer.
	mayLose = 3
)

// count sends one request whose Token-Count names an absurd number, to a daemon with idle engines,
// and then streams of other clients to all daemons. One engine leaves a few of its requests without
// an answer. It is broken if more than mayLose requests on kept connections that sound engines ran
// got no answer.
func count(b *bed) (int, error) {
	b.store.set("config", "main", configuration(1))
	for i := range 6 {
		w, err := b.addWorker(fmt.Sprintf("i-%d", i+1), engineService, zones[i%len(zones)])
		if err != nil {
			return 0, err
		}
		w.events, w.gap, w.tokensPerMs = 30, 25*time.Millisecond, 81.9
		if w.name == muteEngine {
			w.handle = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
				if rand.Float64() >= countMute {
					return false
				}
				<-r.Context().Done()
				return true
			}
		}
	}
	if err := b.startDaemons("z1", "z2", "z3"); err != nil {
		return 0, err
	}
	b.record.say("%d daemons are ready", len(b.daemons))
	time.Sleep(2 * time.Second)
	if b.trouble {
		if err := sendMalformed(b); err != nil {
			return 0, err
		}
	}
	time.Sleep(time.Second)
	counts := new(streamCounts)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var ended atomic.Int64
	for i := range countClients {
		d := b.daemons[i%len(b.daemons)]
		clients.Go(func() { sendStreams(b, d, stop, counts) })
	}
	seen := make(map[*daemon]bool)
	for end := time.Now().Add(countLength); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, d := range b.daemons {
			if !seen[d] && d.endedByItself() {
				seen[d] = true
				ended.Add(1)
				b.record.say("%s has ended by itself: %v", d.name, d.state)
				for _, line := range d.panics() {
					b.record.say("    %s", line)
				}
			}
		}
	}
	close(stop)
	clients.Wait()
	b.record.say("%d requests were sent, %d daemons ended by themselves", counts.sent.Load(), ended.Load())
	b.record.say("%d requests on kept connections were run by sound engines and got no answer", counts.lost.Load())
	if counts.lost.Load() <= mayLose {
		return 0, nil
	}
	return int(counts.lost.Load()), nil
}

func sendMalformed(b *bed) error {
	c, err := dial(b.daemons[0].front())
	if err != nil {
		return err
	}
	defer c.close()
	r := &request{
		id: newID(), method: http.MethodPost, path: "/draft/", tokens: fmt.Sprintf("%d,80", countTokens), deadline: 3 * time.Second,
		body: []byte("dossier"), prefix: "aa:512",
	}
	b.record.say("send    %s to %s with Token-Count: %s", r.id, b.daemons[0].name, r.tokens)
	b.record.say("answer  %s: %v", r.id, c.do(r))
	return nil
}
