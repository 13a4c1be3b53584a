package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// relayedClients send all the time, and fill more than the part of a core that one machine has.
	relayedClients = 70
	relayedCycles  = 4
	relayedFreeze  = 3500 * time.Millisecond
	relayedPause   = 5 * time.Second
	// routeTimeout is that of the plain routes, and lateAfter the time after it at which a
	// request must have its answer.
	routeTimeout = 1500 * time.Millisecond
	lateAfter    = 500 * time.Millisecond
	minLate      = 8
	maxLateShare = 0.25
)

// relayed brings one of three daemons of a zone more requests than its part of a core can do, so that
// it hands connections over, and freezes another one for relayedFreeze. It is broken if, of the
// requests to the first daemon that last longer than their route's timeout, minLate or more and over
// maxLateShare have no final answer lateAfter later.
func relayed(b *bed) (int, error) {
	b.store.set("config", "main", configuration(1))
	for i := range 3 {
		w, err := b.addWorker(fmt.Sprintf("i-%d", i+1), plainService, zones[0])
		if err != nil {
			return 0, err
		}
		w.work = 5 * time.Millisecond
	}
	if err := b.startDaemons("z1", "z1", "z1"); err != nil {
		return 0, err
	}
	busy, other := b.daemons[0], b.daemons[1]
	b.record.say("%d daemons are ready; %s gets all requests", len(b.daemons), busy.name)
	time.Sleep(4 * time.Second)
	var sent, long, late, ran atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range relayedClients {
		clients.Go(func() {
			var c *connection
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c == nil {
					var err error
					if c, err = dial(busy.front()); err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
				}
				r := &request{id: newID(), method: http.MethodGet, path: "/lookup/", deadline: 3 * time.Second}
				begun := time.Now()
				sent.Add(1)
				a := c.do(r)
				if took := time.Since(begun); took > routeTimeout {
					long.Add(1)
					if took > routeTimeout+lateAfter {
						late.Add(1)
						if len(b.record.ranAt(r.id)) > 0 {
							ran.Add(1)
						}
						b.record.write("late    %s: %v after %.3f s, run at %v", r.id, a, took.Seconds(), b.record.ranAt(r.id))
					}
				}
				if !a.canKeep() {
					c.close()
					c = nil
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	time.Sleep(relayedPause)
	for range relayedCycles {
		if b.trouble {
			b.record.say("%s freezes; %d requests sent so far", other.name, sent.Load())
			other.signal(syscall.SIGSTOP)
		}
		time.Sleep(relayedFreeze)
		if b.trouble {
			other.signal(syscall.SIGCONT)
			b.record.say("%s goes on; %d requests lasted longer than their timeout, %d had no final answer", other.name, long.Load(), late.Load())
		}
		time.Sleep(relayedPause)
	}
	close(stop)
	clients.Wait()
	b.record.say("of %d requests to %s %d lasted longer than their route's timeout; %d of them had no final answer %v later (%d had run)",
		sent.Load(), busy.name, long.Load(), late.Load(), lateAfter, ran.Load())
	if late.Load() < minLate || float64(late.Load()) <= maxLateShare*float64(long.Load()) {
		return 0, nil
	}
	return int(late.Load()), nil
}
