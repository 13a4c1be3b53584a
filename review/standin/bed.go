package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// bed is a small deployment: a store, workers and daemons on loopback addresses.
type bed struct {
	root, folder string
	store        *store
	workers      []*worker
	daemons      []*daemon
	zones        map[string]string
	started      time.Time

	mu     sync.Mutex
	record bytes.Buffer
}

func newBed() (*bed, error) {
	root, err := filepath.Abs("../..")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "hawthornstreamd")); err != nil {
		return nil, fmt.Errorf("build the system first: %w", err)
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	b := &bed{
		root: root, folder: folder, started: time.Now(),
		zones: map[string]string{"hcm-a": "hcm", "hanoi-a": "hanoi", "danang-a": "danang"},
	}
	b.store, err = startStore("127.0.0.1")
	return b, err
}

// close ends all that was started.
func (b *bed) close() {
	for _, d := range b.daemons {
		d.stop()
		d.log.Close()
	}
	for _, w := range b.workers {
		w.close()
	}
	if b.store != nil {
		b.store.close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(b.folder)
	} else {
		fmt.Println("kept", b.folder)
	}
}

// note adds a line to the record.
func (b *bed) note(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(&b.record, "%8.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, values...))
}

// addWorker starts a worker and registers it in the store.
func (b *bed) addWorker(name, service, zone string, slots int, work time.Duration) (*worker, error) {
	w, err := startWorker("127.0.0.1", name, service, zone, slots, work)
	if err != nil {
		return nil, err
	}
	b.workers = append(b.workers, w)
	b.store.set("servers", name, w.spec("ready"))
	return w, nil
}

// addDaemon prepares a daemon on a loopback address of its own.
func (b *bed) addDaemon(zone string, memoryMb int) (*daemon, error) {
	for range 50 {
		random := rand.Uint32()
		ip := fmt.Sprintf("127.%d.%d.%d", 10+random%200, (random>>8)%250, 1+(random>>16)%250)
		base := 20000 + int(random>>20)
		ports := []int{base, base + 1, base + 16, base + 31}
		if !allFree(ip, ports) {
			continue
		}
		d, err := newDaemon(b.root, b.folder, machine{
			name: fmt.Sprintf("front-%s-%d", zone, len(b.daemons)+1), ip: ip, zone: zone, memoryMb: memoryMb,
			front: ports[0], ready: ports[1], internal: [2]int{ports[2], ports[3]},
			storeAddress: b.store.address, zones: b.zones,
		})
		if err != nil {
			return nil, err
		}
		b.daemons = append(b.daemons, d)
		return d, nil
	}
	return nil, fmt.Errorf("no free loopback address")
}

func allFree(ip string, ports []int) bool {
	for _, port := range ports {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}

// startDaemons starts all daemons and waits until they are ready.
func (b *bed) startDaemons() error {
	for _, d := range b.daemons {
		if err := d.start(); err != nil {
			return err
		}
		b.note("%s starts at %s", d.name, d.address())
	}
	for _, d := range b.daemons {
		if !d.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s is not ready", d.name)
		}
	}
	b.note("all daemons are ready")
	return nil
}

// contact is the time without disruption after which a machine is in touch.
const contact = 4 * time.Second

var zoneNames = []string{"hcm-a", "hanoi-a", "danang-a"}

const host = "orders.example"

type values = map[string]any

func route(name, prefix, kind, service string, overrides values) values {
	r := values{
		"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "timeoutMs": 15000, "targetLatencyMs": 600,
		"priority": 1, "service": service, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
	}
	for key, value := range overrides {
		r[key] = value
	}
	return r
}

func plainService(name string) values {
	return values{"name": name, "healthPath": "/health", "maxConns": 100, "protocol": "h1", "tls": false}
}

func engineService(name string) values {
	return values{
		"name": name, "healthPath": "/health", "maxConns": 620, "protocol": "h1", "tls": false,
		"engine": values{"slots": 128, "kvCapacity": 858385, "kvTokenBytes": 18432, "linkMbps": 180000.0,
			"stride": 6, "most": 12, "models": []any{values{"name": "m"}}},
	}
}

func tenant(name string, keys ...string) values {
	return values{"name": name, "apiKeys": keys, "priority": 1}
}

// configure writes a version of the configuration.
func (b *bed) configure(version int, routes, services, tenants []any) {
	b.store.set("config", "main", values{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": values{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "tokensPerS": 730000},
	})
	b.note("the store acknowledges version %d of the configuration", version)
}
