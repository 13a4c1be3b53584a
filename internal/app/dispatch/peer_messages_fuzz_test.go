package dispatch

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

// fuzzedServers are the servers that the seeds name.
func fuzzedServers() []ports.VM {
	return []ports.VM{
		{Name: "e1", Service: "llm", Domain: "z1", Slots: 4, StartedMillis: 1, SoftwareVersion: "v1"},
		{Name: "e2", Service: "llm", Domain: "z2", Slots: 4, StartedMillis: 2, SoftwareVersion: "v2"},
	}
}

// seedMessages are messages at the limits of what their fields can hold.
func seedMessages() []ports.Message {
	least, most := int64(math.MinInt64), int64(math.MaxInt64)
	return []ports.Message{
		&ports.LoadMessage{},
		&ports.LoadMessage{
			Sequence: math.MaxUint64, Domain: "unknown",
			Servers: []ports.ServerLoad{
				{Service: "llm", Server: "e1", Calls: math.MinInt, PendingTokens: math.MinInt, MemoryTokens: math.MaxInt},
				{Service: "gone", Server: "gone", Calls: -1},
			},
			Rates:          []ports.WorkspaceRates{{Workspace: "w1", Demand: least, Granted: most, Shed: least}},
			CachedPrefixes: []ports.CachedPrefix{{Service: "gone"}, {Service: "llm", PrefixHash: 1, Server: "gone"}},
			ServerEnds:     []ports.ServerEnd{{Part: 1, Server: 1, AgeMillis: least}, {Part: 1, Server: 2, AgeMillis: most}},
			SoundAnswers:   []ports.SoundAnswer{{Part: 1, AgeMillis: least}},
			SignsOfLife:    []ports.SignOfLife{{Server: 1, AgeMillis: most}},
			QuarantineEnds: []ports.ServerEnd{{}},
			ServerLimits: []ports.ServerLimitReport{
				{Server: "e1", StartedMillis: 1, IsSet: true, RequestsPerSecond: math.NaN(), AgeMillis: least},
				{Server: "e2", StartedMillis: 2, IsSet: true, RequestsPerSecond: math.Inf(1), AgeMillis: most},
				{Server: "e2", StartedMillis: 2, IsSet: true, RequestsPerSecond: -1},
			},
		},
		&ports.StreamOriginRecords{Groups: []ports.StreamOriginGroup{{Service: "gone", Attempts: []uint64{0, 1}}}},
		&ports.StreamOriginQuery{},
		&ports.StreamOriginAnswer{Attempt: math.MaxUint64},
		&ports.StreamOriginShare{Groups: []ports.StreamOriginGroup{{Service: "gone", Attempts: []uint64{0, 0}}, {}}},
	}
}

// newFuzzedMessage returns an empty message of the kind that a number stands for.
func newFuzzedMessage(kind uint8) ports.Message {
	switch kind % 5 {
	case 0:
		return &ports.LoadMessage{}
	case 1:
		return &ports.StreamOriginRecords{}
	case 2:
		return &ports.StreamOriginQuery{}
	case 3:
		return &ports.StreamOriginShare{}
	default:
		return &ports.StreamOriginAnswer{}
	}
}

// handleFuzzed handles a message as the transport does.
func (m *Manager) handleFuzzed(message ports.Message) {
	switch message := message.(type) {
	case *ports.LoadMessage:
		m.handleLoadMessage("d2", message)
	case *ports.StreamOriginRecords:
		m.origins.handleRecords(time.Now(), message)
	case *ports.StreamOriginQuery:
		m.origins.handleQuery(time.Now(), "d2", message)
	case *ports.StreamOriginAnswer:
		m.origins.handleAnswer(message)
	case *ports.StreamOriginShare:
		m.checkpoints.handleShare(time.Now(), "d2", message)
		m.checkpoints.table.Next(time.Now(), map[ports.ServiceName]bool{"gone": true}, true)
	}
}

// A peer sends whatever its decoder accepts: the daemon must go on, and still decide about
// calls and report to others.
func FuzzPeerMessages(f *testing.F) {
	for _, message := range seedMessages() {
		payload, err := cbor.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		for kind := range uint8(5) {
			f.Add(kind, payload)
		}
	}
	f.Fuzz(func(t *testing.T, kind uint8, payload []byte) {
		message := newFuzzedMessage(kind)
		if cbor.Unmarshal(payload, message) != nil {
			return
		}
		m := newTestManager(t, fuzzedServers()...)
		m.handleFuzzed(message)
		m.lockAndUpdate(time.Now())
		now := time.Now()
		m.mu.Lock()
		m.peersMergedAt = time.Time{}
		m.mergePeerLoads(now)
		m.newLoadMessage(now, ports.ServerListDigest{})
		m.newAggregateMessage(now, ports.ServerListDigest{}, true)
		m.mu.Unlock()
		call := newEngineCall("w1")
		call.Deadline = now.Add(20 * time.Millisecond)
		if slot, err := m.Acquire(context.Background(), call); err == nil {
			slot.Progress(1)
			slot.Release(ports.RunReport{FirstByteAfter: time.Millisecond})
		}
		if choice, ok := m.pools["llm"].Choose(now, &core.Work{}, core.AdmissionTerms{}); ok && choice.Server == nil {
			t.Error("a choice without a server")
		}
	})
}
