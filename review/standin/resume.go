package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	streamEvents = 28
	streamPause  = 250 * time.Millisecond
	// streamWait is the deadline of consumers, and resumePause the time after which they
	// take up a stream that broke or was refused; a longer Retry-After would be honoured.
	streamWait  = 12 * time.Second
	resumePause = 1500 * time.Millisecond
	// minResumed is the number of streams from which the rule judges.
	minResumed = 12
)

// streamOutcome is what one consumer saw of one stream.
type streamOutcome struct {
	id       string
	complete bool
	// resumed counts the tries to take the stream up again, resumedInTouch those at machines
	// in touch, and refusedInTouch the refusals of the latter.
	resumed, resumedInTouch, refusedInTouch int
}

// resumeCase kills all daemons while consumers have streams that may be resumed. The
// consumers take their streams up again, and other consumers begin new ones.
func resumeCase(b *bed, trouble bool) (string, error) {
	for _, zone := range zoneNames {
		if _, err := b.addDaemon(zone, 134); err != nil {
			return "", err
		}
		for i := range 2 {
			w, err := b.addWorker(fmt.Sprintf("i-%s-%d", zone, i), "assist-llm", zone, 128, 0)
			if err != nil {
				return "", err
			}
			w.events, w.pause = streamEvents, streamPause
		}
	}
	chat := route("r-chat", "/chat/", "stream", "assist-llm", values{
		"timeoutMs": 12000, "targetLatencyMs": 300, "targetGapMs": 300, "sticky": true, "resumable": true, "maxAttempts": 2})
	b.configure(7, []any{chat}, []any{engineService("assist-llm")}, []any{tenant("hule930", "key-1")})
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	time.Sleep(contact)
	var mu sync.Mutex
	var outcomes []streamOutcome
	var consumers sync.WaitGroup
	begin := time.Now()
	var inTouchFrom time.Time
	for i := range 24 {
		consumers.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			o := b.followStream(i, &inTouchFrom, &mu)
			mu.Lock()
			outcomes = append(outcomes, o)
			mu.Unlock()
		})
	}
	time.Sleep(time.Until(begin.Add(2 * time.Second)))
	if trouble {
		b.note("all processes are killed")
		for _, d := range b.daemons {
			d.restartOnExit()
			d.signal(syscall.SIGKILL)
		}
	}
	mu.Lock()
	inTouchFrom = time.Now().Add(restartDelay + contact)
	mu.Unlock()
	time.Sleep(time.Until(inTouchFrom) + 500*time.Millisecond)
	newBegun, newAsked := 0, 0
	for i := range 24 {
		newAsked++
		c, err := dial(b.daemons[i%3].address())
		if err != nil {
			continue
		}
		id := newID()
		a := c.begin(streamRequest(id, streamWait, 0, ""))
		b.note("new stream %s: %d", id, a.Status)
		if a.Status == 200 {
			newBegun++
		}
		c.close()
	}
	consumers.Wait()
	resumed, went, complete := 0, 0, 0
	for _, o := range outcomes {
		b.note("stream %s: complete %t, resumed %d times, %d at machines in touch, %d of them refused", o.id, o.complete, o.resumed, o.resumedInTouch, o.refusedInTouch)
		if o.complete {
			complete++
		}
		if o.resumedInTouch > 0 {
			resumed++
			if o.refusedInTouch < o.resumedInTouch {
				went++
			}
		}
	}
	b.note("%d streams, %d complete; %d taken up again at machines in touch, %d went on; %d of %d new streams began", len(outcomes), complete, resumed, went, newBegun, newAsked)
	if resumed >= minResumed && float64(went)/float64(resumed) < 0.5*float64(newBegun)/float64(newAsked) {
		return fmt.Sprintf("LOST: of %d streams that consumers took up again at machines in touch %d went on, while %d of %d new streams began", resumed, went, newBegun, newAsked), nil
	}
	return "", nil
}

func streamRequest(id string, left time.Duration, after int, resumes string) request {
	r := request{ID: id, Method: "POST", Target: "/chat/1", Key: "key-1", Body: []byte("hello"), Deadline: left, Extra: map[string]string{
		"Model": "m", "Token-Count": "300,80", "Prompt-Prefix": "5c1e07a2:100," + id[:8] + ":200"}}
	if resumes != "" {
		r.Extra["Last-Event-Id"], r.Extra["Resumes"] = strconv.Itoa(after), resumes
	}
	return r
}

// followStream is a consumer that takes its stream up again until its deadline.
func (b *bed) followStream(number int, inTouchFrom *time.Time, mu *sync.Mutex) streamOutcome {
	first := newID()
	o := streamOutcome{id: first}
	started, last := time.Now(), 0
	for try := 0; time.Since(started) < streamWait-time.Second; try++ {
		id, resumes := first, ""
		if try > 0 {
			id = newID()
			if last > 0 {
				resumes = first
			}
			o.resumed++
		}
		mu.Lock()
		inTouch := !inTouchFrom.IsZero() && time.Now().After(*inTouchFrom)
		mu.Unlock()
		c, err := dial(b.daemons[(number+try)%3].address())
		if err == nil {
			a := c.begin(streamRequest(id, streamWait-time.Since(started), last, resumes))
			if try > 0 && inTouch {
				o.resumedInTouch++
				if a.Status != 200 {
					o.refusedInTouch++
				}
			}
			if a.Status == 200 {
				var whole bool
				last, whole = c.events(last)
				if whole && last == streamEvents {
					o.complete = true
					c.close()
					return o
				}
			}
			b.note("stream %s, try %d as %s: %d %s, event %d", first, try+1, id, a.Status, strings.TrimSpace(a.Body), last)
			c.close()
		}
		time.Sleep(resumePause)
	}
	return o
}
