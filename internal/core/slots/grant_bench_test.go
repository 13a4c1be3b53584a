package slots

import (
	"fmt"
	"testing"
	"time"

	"hawthornstream/internal/core/fairshare"
	"hawthornstream/internal/ports"
)

// BenchmarkGrant grants and releases one slot while workspaces wait at many
// entries.
func BenchmarkGrant(b *testing.B) {
	const workspaces = 26
	for _, entries := range []int{6, 24, 90, 360} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			o := NewOwner("owner", 1, fairshare.NewLedger(fairshare.Options{}), fairshare.Options{})
			o.SetServers([]Server{{VM: ports.VM{Name: "server"}, Shard: "shard"}}, 1, start)
			var demands []Demand
			for i := range workspaces {
				demands = append(demands, Demand{
					Workspace:    ports.WorkspaceID(fmt.Sprintf("workspace-%d", i)),
					FirstTokenBy: start.Add(time.Hour), Count: 1 << 30,
				})
			}
			for i := range entries {
				o.SetDemand(ports.DaemonID(fmt.Sprintf("daemon-%d", i)), 0, demands, true)
			}
			for b.Loop() {
				batch := o.Grant(start)[0]
				o.AckGrants(start, batch.Entry, batch.Sequence)
				o.entries[batch.Entry].dropAckedGrants(batch.Sequence)
				key := Key{Entry: batch.Entry, Granter: "owner", GranterIncarnation: 1, ID: batch.Grants[0].ID}
				o.Release(start, key, "", ports.RunReport{Cost: 10}, func(ports.ClassName) time.Duration { return 0 })
			}
		})
	}
}
