package main

import (
	"fmt"
	"time"
)

const (
	// configApply is the bound within which a version is in force.
	configApply = 2500 * time.Millisecond
	// contact is the time without disruption after which a machine is in touch.
	contact = 4 * time.Second
)

// namesCase changes the configuration once: a tenant, its key and a route are added and
// another tenant's second key is dropped. The disruption is the name of the added tenant.
func namesCase(b *bed, trouble bool) (string, error) {
	for _, zone := range zoneNames {
		if _, err := b.addDaemon(zone, 134); err != nil {
			return "", err
		}
		if _, err := b.addWorker("i-"+zone, "order-app", zone, 6, 30*time.Millisecond); err != nil {
			return "", err
		}
	}
	pay := route("r-pay", "/pay/", "non_idempotent", "order-app", values{"timeoutMs": 1200, "targetLatencyMs": 200})
	refund := route("r-refund", "/refund/", "non_idempotent", "order-app", values{"timeoutMs": 1200, "targetLatencyMs": 200})
	services := []any{plainService("order-app")}
	b.configure(7, []any{pay}, services, []any{tenant("hule930", "key-kept", "key-dropped")})
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	time.Sleep(contact)
	send := func(d *daemon, target, key string) (answer, error) {
		c, err := dial(d.address())
		if err != nil {
			return answer{}, err
		}
		defer c.close()
		a := c.do(request{ID: newID(), Method: "POST", Target: target, Key: key, Body: []byte("capture"), Deadline: 1200 * time.Millisecond})
		b.note("%s POST %s with %s: %s", d.name, target, key, a.String())
		return a, nil
	}
	for _, d := range b.daemons {
		for _, key := range []string{"key-kept", "key-dropped"} {
			if a, err := send(d, "/pay/1", key); err != nil || a.Status != 200 {
				return "", fmt.Errorf("the first configuration is not served: %v %s", err, a.String())
			}
		}
	}
	name := "ops-agency.mn"
	if trouble {
		name = "ops@agency.mn"
	}
	b.note("version 11 drops key-dropped, adds the tenant %q with key-added and the route /refund/", name)
	b.configure(11, []any{pay, refund}, services, []any{tenant("hule930", "key-kept"), tenant(name, "key-added")})
	time.Sleep(configApply + time.Second)
	var broken string
	for round := range 3 {
		for _, d := range b.daemons {
			for _, check := range []struct {
				target, key string
				allowed     bool
			}{{"/pay/2", "key-dropped", false}, {"/pay/2", "key-added", true}, {"/refund/2", "key-kept", true}} {
				a, err := send(d, check.target, check.key)
				if err != nil {
					return "", err
				}
				stale := check.allowed && (a.Status == 401 || a.Status == 403 || a.Status == 404) || !check.allowed && a.Status == 200
				if stale && broken == "" {
					broken = fmt.Sprintf("CONFIG: %.1f s after the ack, %s handles %s with %s as only the older version allows: %d",
						(configApply+time.Second).Seconds()+float64(round)*3, d.name, check.target, check.key, a.Status)
				}
			}
		}
		time.Sleep(3 * time.Second)
	}
	for _, r := range allRuns(b.workers) {
		b.note("%s ran %s %s of tenant %q", r.Worker, r.ID, r.Target, r.Tenant)
	}
	return broken, nil
}
