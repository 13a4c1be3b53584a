package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"hawthornstream/internal/ports"
)

// listJitter is the part of the period by which reads of the list are spread.
const listJitter = 0.2

// readLists reads the VM list each period, at once the first time.
func (m *Manager) readLists(ctx context.Context) {
	for {
		m.readList(ctx)
		timer := time.NewTimer(jittered(m.options.ListPeriod))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func jittered(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (1 + listJitter*(rand.Float64()-0.5)))
}

// readList keeps the last list while the platform gives no usable one.
func (m *Manager) readList(ctx context.Context) {
	list, err := m.options.List.List(ctx)
	if err != nil {
		m.countList("unavailable")
		if ctx.Err() == nil {
			m.options.Logger.Warn().Str("event", "vm-list-unavailable").Err(err).Msg("")
		}
		return
	}
	verdict, peers := m.offerList(list)
	m.countList(string(verdict))
	switch verdict {
	case listAccepted:
		m.listRead.Store(true)
		m.options.Transport.SetPeers(peers)
		m.notify()
	case listEmpty, listShrunk:
		m.options.Logger.Warn().Str("event", "vm-list-rejected").Str("reason", string(verdict)).Int("vms", len(list)).Msg("")
	}
}

// offerList takes a list over if it is believed, and returns the VMs of the
// other daemons that it locates.
func (m *Manager) offerList(list []ports.VM) (listVerdict, []ports.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	verdict := m.list.offer(list, now)
	if verdict != listAccepted {
		return verdict, nil
	}
	var daemons []ports.VM
	for _, vm := range m.list.vms {
		if vm.Kind == ports.VMKindDaemon {
			daemons = append(daemons, vm)
		}
	}
	m.table.ApplyVMList(daemons, now)
	m.view.Store(m.view.Load().withServers(m.list.vms))
	m.publish()
	return verdict, m.table.KnownVMs()
}

func (m *Manager) countList(result string) {
	m.options.Scope.Tagged(map[string]string{"result": result}).Counter("vm_list_reads").Inc(1)
}
