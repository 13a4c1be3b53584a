package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMb = 134
	// bodyBytes is the size of a request body, of the 4194304 bytes that the configuration
	// allows, and uploadTime the time in which a consumer sends it. The consumers of a hot
	// tenant together send 96 MB a second to a machine with a link of 1,000 Mbit/s.
	bodyBytes  = 4_000_000
	uploadTime = 2500 * time.Millisecond
	// usualConsumers is the usual number of the tenant's consumers at each machine, and
	// hotFactor how many times as many a hot tenant has.
	usualConsumers = 8
	hotFactor      = 7.5
	// rampStep is the time between two consumers that a hot tenant adds.
	rampStep = 115 * time.Millisecond
	// lostAllowed is the number of requests that LOST lets pass. A day fails by Fault if the
	// processes of faultMachines machines end by themselves faultEnds times each.
	lostAllowed   = 3
	faultMachines = 2
	faultEnds     = 3
)

// memoryCase has a tenant whose consumers send large bodies on kept connections. The
// disruption is that the tenant sends hotFactor times its usual. The stand-in of the
// platform kills a process that exceeds its memory, and starts it again.
func memoryCase(b *bed, trouble bool) (string, error) {
	for _, zone := range zoneNames {
		if _, err := b.addDaemon(zone, memoryMb); err != nil {
			return "", err
		}
		if _, err := b.addWorker("i-"+zone, "order-app", zone, 40, time.Second); err != nil {
			return "", err
		}
	}
	upload := route("r-upload", "/upload/", "non_idempotent", "order-app", values{"timeoutMs": 15000, "targetLatencyMs": 6000})
	lookup := route("r-lookup", "/lookup/", "idempotent", "order-app", values{"timeoutMs": 15000, "targetLatencyMs": 6000})
	b.configure(7, []any{upload, lookup}, []any{plainService("order-app")}, []any{tenant("hule930", "key-1")})
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	time.Sleep(contact)
	var meters []*memoryMeter
	for _, d := range b.daemons {
		d.restartOnExit()
		meters = append(meters, watchMemory(b, d))
	}
	var all answers
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var consumers sync.WaitGroup
	begin := time.Now()
	hot, end := begin.Add(8*time.Second), begin.Add(21*time.Second)
	for _, d := range b.daemons {
		for i := range usualConsumers {
			consumers.Go(func() { uploadUntil(d, &all, body, begin.Add(time.Duration(i)*300*time.Millisecond), end) })
		}
		for i := range int(hotFactor*usualConsumers) - usualConsumers {
			if trouble {
				consumers.Go(func() { uploadUntil(d, &all, body, hot.Add(time.Duration(i)*rampStep), end) })
			}
		}
	}
	if trouble {
		b.note("from %.1f s on the tenant sends %.1f times its usual", hot.Sub(b.started).Seconds(), hotFactor)
	}
	consumers.Wait()
	largest, kills, failing := 0.0, 0, 0
	for i, m := range meters {
		used, ends := m.stop()
		b.note("%s: largest memory %.0f MB, killed %d times", b.daemons[i].name, used, ends)
		largest, kills = max(largest, used), kills+ends
		if ends >= faultEnds {
			failing++
		}
	}
	ran := make(map[string]run)
	for _, r := range allRuns(b.workers) {
		ran[r.ID] = r
	}
	lost, answered := 0, 0
	for _, a := range all.all {
		r, passedOn := ran[a.ID]
		b.note("%s, kept connection %t, passed on %t (%d B)", a.String(), a.Kept, passedOn, r.Bytes)
		if a.Status == 200 && a.Whole {
			answered++
		}
		if a.Kept && a.Status == 0 && passedOn && !a.WholeAt.IsZero() {
			lost++
		}
	}
	b.note("%d requests, %d answered with 200; largest memory %.0f MB, killed %d times, %d machines %d times or more; %d requests of kept connections passed on and closed without an answer",
		len(all.all), answered, largest, kills, failing, faultEnds, lost)
	if answered < 20 {
		return "", fmt.Errorf("only %d requests were answered", answered)
	}
	switch {
	case lost > lostAllowed:
		return fmt.Sprintf("LOST: %d requests of kept connections were passed on to sound workers and closed without an answer; processes exceeded their memory %d times", lost, kills), nil
	case failing >= faultMachines:
		return fmt.Sprintf("Fault: the processes of %d machines exceeded their memory %d times or more", failing, faultEnds), nil
	}
	return "", nil
}

// uploadUntil is a consumer that sends lookups and uploads by turns on kept connections.
func uploadUntil(entry *daemon, all *answers, body []byte, from, end time.Time) {
	time.Sleep(time.Until(from))
	for time.Now().Before(end) {
		c, err := dial(entry.address())
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for sent := 0; time.Now().Before(end); sent++ {
			r := request{ID: newID(), Method: "GET", Target: "/lookup/1", Key: "key-1", Deadline: 15 * time.Second}
			if sent%2 == 1 {
				r = request{ID: newID(), Method: "POST", Target: "/upload/1", Key: "key-1", Body: body, Deadline: 15 * time.Second, UploadFor: uploadTime}
			}
			a := c.do(r)
			all.add(a)
			if !a.Whole || a.Close || a.Status != 200 {
				break
			}
		}
		c.close()
		time.Sleep(100 * time.Millisecond)
	}
}

// memoryMeter watches the memory of a daemon and kills it as the platform does.
type memoryMeter struct {
	stopped chan struct{}
	done    sync.WaitGroup
	largest float64
	kills   int
}

func watchMemory(b *bed, d *daemon) *memoryMeter {
	m := &memoryMeter{stopped: make(chan struct{})}
	m.done.Go(func() {
		ticker := time.NewTicker(5 * time.Millisecond)
		defer ticker.Stop()
		killed := 0
		for {
			select {
			case <-m.stopped:
				return
			case <-ticker.C:
			}
			used, pid := d.residentMb()
			m.largest = max(m.largest, used)
			if used <= float64(d.memoryMb) || pid == killed {
				continue
			}
			b.note("%s uses %.0f MB of %d: the platform kills it", d.name, used, d.memoryMb)
			d.signal(syscall.SIGKILL)
			killed = pid
			m.kills++
		}
	})
	return m
}

// stop returns the largest memory in MB and the number of kills.
func (m *memoryMeter) stop() (largest float64, kills int) {
	close(m.stopped)
	m.done.Wait()
	return m.largest, m.kills
}
