package main

import (
	"fmt"
	"time"
)

// startCase starts the daemons on machines with different memory. The disruption is that
// one zone's machine has 2,048 MB.
func startCase(b *bed, trouble bool) (string, error) {
	for i, zone := range zoneNames {
		memory := 536
		if trouble && i == 0 {
			memory = 2048
		}
		if _, err := b.addDaemon(zone, memory); err != nil {
			return "", err
		}
		if _, err := b.addWorker("i-"+zone, "order-app", zone, 6, 30*time.Millisecond); err != nil {
			return "", err
		}
	}
	pay := route("r-pay", "/pay/", "non_idempotent", "order-app", values{"timeoutMs": 1200, "targetLatencyMs": 200})
	b.configure(7, []any{pay}, []any{plainService("order-app")}, []any{tenant("hule930", "key-1")})
	for _, d := range b.daemons {
		d.restartOnExit()
		if err := d.start(); err != nil {
			return "", err
		}
		b.note("%s starts with %d MB of memory", d.name, d.memoryMb)
	}
	time.Sleep(10 * time.Second)
	broken := ""
	for _, d := range b.daemons {
		d.mu.Lock()
		ended := d.ended
		d.mu.Unlock()
		ready := d.isReady()
		b.note("%s: %d ends of its process by itself in 10 s, ready %t", d.name, ended, ready)
		if ended > 0 && !ready {
			broken = fmt.Sprintf("Fault: the program does not start on %s, whose process ended by itself %d times in 10 s", d.name, ended)
		}
	}
	return broken, nil
}
