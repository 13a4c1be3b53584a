package cluster

import (
	"context"
	"math/rand/v2"
	"time"

	"hawthornstream/internal/ports"
)

// vmListJitter is the width of the range over which the time between two reads
// of the VM list is spread, as a fraction of the period.
const vmListJitter = 0.2

// pollVMList reads the VM list at once and then every period.
func (m *Manager) pollVMList(ctx context.Context) {
	for {
		m.readVMList(ctx)
		timer := time.NewTimer(withJitter(m.options.VMListPeriod))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

// withJitter returns the period, changed at random by at most half of
// vmListJitter up or down.
func withJitter(period time.Duration) time.Duration {
	return time.Duration(float64(period) * (1 + vmListJitter*(rand.Float64()-0.5)))
}

// readVMList reads the VM list once. The last accepted list stays in use when
// the read fails or the list is rejected.
func (m *Manager) readVMList(ctx context.Context) {
	list, err := m.options.VMList.List(ctx)
	if err != nil {
		m.countVMListRead("unavailable")
		if ctx.Err() == nil {
			m.options.Logger.Warn().Str("event", "vm-list-unavailable").Err(err).Msg("")
		}
		return
	}
	verdict, peers := m.applyVMList(list)
	m.countVMListRead(string(verdict))
	switch verdict {
	case listAccepted:
		m.vmListAccepted.Store(true)
		m.options.Transport.SetPeers(peers)
		m.notifyFleetChange()
	case listEmpty, listShrunk:
		m.options.Logger.Warn().Str("event", "vm-list-rejected").Str("reason", string(verdict)).Int("vms", len(list)).Msg("")
	}
}

// applyVMList applies a list to the table and the view if it is accepted. It
// then returns the VMs of all other daemons that a list has contained, as the
// peers.
func (m *Manager) applyVMList(list []ports.VM) (listVerdict, []ports.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	verdict := m.listFilter.update(list, now)
	if verdict != listAccepted {
		return verdict, nil
	}
	var daemons []ports.VM
	for _, vm := range m.listFilter.accepted {
		if vm.Kind == ports.VMKindDaemon {
			daemons = append(daemons, vm)
		}
	}
	m.table.ApplyVMList(daemons, now)
	m.view.Store(m.view.Load().withServers(m.listFilter.accepted))
	m.publishView()
	return verdict, m.table.KnownVMs()
}

func (m *Manager) countVMListRead(result string) {
	m.options.Scope.Tagged(map[string]string{"result": result}).Counter("vm_list_reads").Inc(1)
}
