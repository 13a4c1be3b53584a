package dispatch

import (
	"fmt"
	"testing"
	"time"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/core/streamorigin"
	"hawthornstream/internal/ports"
)

// BenchmarkLoadMessage measures what one received report costs a daemon whose failure
// domain has 33 daemons, each with calls on 20 of 100 servers.
func BenchmarkLoadMessage(b *testing.B) {
	const daemons, servers, used = 33, 100, 20
	environment := &fakeEnvironment{}
	f := &exchangeFleet{}
	node := &exchangeNode{fakeEnvironment: environment, fleet: f, self: ports.VM{Name: "d0", Domain: "z1"}}
	m := newExchangeManager(node)
	pool := core.NewPool(node.self)
	pool.SetService(true, 0)
	var vms []ports.VM
	for i := range servers {
		vms = append(vms, ports.VM{Name: ports.VMName(fmt.Sprintf("i-%08x", i)), Domain: "z1", Slots: 12})
	}
	pool.SetServers(vms)
	m.pools["llm"] = pool
	var messages []*ports.LoadMessage
	for d := range daemons {
		message := &ports.LoadMessage{}
		for i := range used {
			message.Servers = append(message.Servers, ports.ServerLoad{
				Service: "llm", Server: vms[(d*7+i*3)%servers].Name, Calls: 2, PendingTokens: 3000, MemoryTokens: 20_000,
			})
		}
		messages = append(messages, message)
	}
	b.ResetTimer()
	for i := range b.N {
		message := *messages[i%daemons]
		message.Sequence = uint64(i + 1)
		m.handleLoadMessage(ports.DaemonID(fmt.Sprintf("d%d", i%daemons)), &message)
	}
}

// BenchmarkRecordStreamOrigin measures the cost of one stream's origin in the daemon that
// records it, flushed by twos, as at a hundred streams a second.
func BenchmarkRecordStreamOrigin(b *testing.B) {
	for _, perDomain := range []int{3, 133} {
		b.Run(fmt.Sprint(3*perDomain), func(b *testing.B) {
			origins := newExchangeFleet(b, 3, perDomain).managers["d0-0"].origins
			origin := streamorigin.Origin{Service: "llm", SoftwareVersion: "v1"}
			for i := range b.N {
				origins.recordFirstEvent(time.Now(), ports.RequestID(fmt.Sprint(i)), origin, core.Regions{})
				if i%2 == 1 {
					origins.flush()
				}
			}
		})
	}
}
