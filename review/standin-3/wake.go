package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	wakeClients = 180
	wakeLength  = 90 * time.Second
	wakeFreeze  = 3500 * time.Millisecond
	// wakeBefore and wakeAfter are the times before a freeze and after it.
	wakeBefore = 2 * time.Second
	wakeAfter  = 2 * time.Second
	// muteEngine is the name of the engine that leaves requests without an answer.
	muteEngine = "i-2"
	// wakeMute is the part of its requests that one engine doesn't answer.
	wakeMute = 0.4
	// contact is the time without a freeze after which a machine is in touch, and mayLose the
	// number of requests that may get no answer.
	contact = 4 * time.Second
	mayLose = 3
)

// wakeState is what a run has seen.
type wakeState struct {
	sent, lost atomic.Int64
	// touched has, by daemon, when it last was frozen.
	mu      sync.Mutex
	touched map[*daemon]time.Time
}

func (s *wakeState) touch(d *daemon) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touched[d] = time.Now()
}

func (s *wakeState) isInTouch(d *daemon) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.touched[d]) > contact
}

// wake stops one daemon of each zone for wakeFreeze and lets it go on, then the next ones, while
// clients send streams and one engine leaves some of its requests without an answer. It is broken
// if more than mayLose requests on kept connections that sound engines ran got no answer from
// daemons in touch. It ends once a daemon has ended by itself.
func wake(b *bed) (int, error) {
	b.store.set("config", "main", configuration(1))
	for i := range 6 {
		w, err := b.addWorker(fmt.Sprintf("i-%d", i+1), engineService, zones[i%len(zones)])
		if err != nil {
			return 0, err
		}
		w.events, w.gap, w.tokensPerMs = 30, 25*time.Millisecond, 81.9
		if w.name == muteEngine && b.trouble {
			w.handle = func(_ http.ResponseWriter, r *http.Request, _ []byte) bool {
				if rand.Float64() >= wakeMute {
					return false
				}
				<-r.Context().Done()
				return true
			}
		}
	}
	if err := b.startDaemons("z1", "z2", "z3", "z1", "z2", "z3", "z1", "z2", "z3"); err != nil {
		return 0, err
	}
	b.record.say("%d daemons are ready", len(b.daemons))
	state := &wakeState{touched: make(map[*daemon]time.Time)}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range wakeClients {
		d := b.daemons[i%len(b.daemons)]
		clients.Go(func() { wakeClient(b, d, stop, state) })
	}
	end := time.Now().Add(wakeLength)
	ended := 0
	for i := 0; time.Now().Before(end) && ended == 0; i++ {
		time.Sleep(wakeBefore)
		wakeCycle(b, state, b.daemons[i%3*3:i%3*3+3])
		time.Sleep(wakeAfter)
		for _, d := range b.daemons {
			if d.endedByItself() {
				ended++
				b.record.say("%s, frozen last %.1f s ago, has ended by itself: %v", d.name, time.Since(state.touched[d]).Seconds(), d.state)
				for _, line := range d.panics() {
					b.record.say("    %s", line)
				}
			}
		}
	}
	close(stop)
	clients.Wait()
	b.record.say("%d requests were sent, %d daemons ended by themselves", state.sent.Load(), ended)
	b.record.say("%d requests on kept connections were run by sound engines and got no answer from daemons in touch", state.lost.Load())
	if state.lost.Load() <= mayLose {
		return 0, nil
	}
	return int(state.lost.Load()), nil
}

// wakeCycle freezes daemons once.
func wakeCycle(b *bed, state *wakeState, daemons []*daemon) {
	for _, d := range daemons {
		if b.trouble {
			b.record.say("%s freezes", d.name)
			state.touch(d)
			d.signal(syscall.SIGSTOP)
		}
	}
	time.Sleep(wakeFreeze)
	for _, d := range daemons {
		if b.trouble {
			state.touch(d)
			d.signal(syscall.SIGCONT)
			b.record.say("%s goes on", d.name)
		}
	}
}

// wakeClient sends streams to one daemon on a connection that it keeps.
func wakeClient(b *bed, d *daemon, stop <-chan struct{}, state *wakeState) {
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
		state.sent.Add(1)
		kept, inTouch := c.used > 0, state.isInTouch(d)
		a := c.do(r)
		b.record.write("answer  %s from %s: %v", r.id, d.name, a)
		if kept && a.isClosed() && inTouch && state.isInTouch(d) && isSoundlyRun(b.record.ranAt(r.id)) {
			state.lost.Add(1)
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
