package streamorigin

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hawthornstream/internal/core/placement"
	"hawthornstream/internal/ports"
)

const meanStreamDuration = 1800 * time.Millisecond

// checkpointedDaemon is a daemon with its checkpoint in a store that answers at once.
type checkpointedDaemon struct {
	checkpoint *Checkpoint
	stored     []CheckpointEntry
	writeAt    time.Time
	writes     int
	inProgress map[AttemptKey]Origin
	ends       map[AttemptKey]time.Time
}

func newCheckpointedDaemon() *checkpointedDaemon {
	return &checkpointedDaemon{
		checkpoint: NewCheckpoint(), inProgress: make(map[AttemptKey]Origin), ends: make(map[AttemptKey]time.Time),
	}
}

// update does what the checkpoint decides.
func (d *checkpointedDaemon) update(now time.Time, several map[ports.ServiceName]bool) {
	action, entries := d.checkpoint.Next(now, several, true)
	switch action {
	case CheckpointWrite:
		d.stored = entries
		d.writes++
		d.checkpoint.RecordWritten(1, entries)
	case CheckpointRemove:
		d.stored = nil
		d.writes++
		d.checkpoint.RecordRemoved(1)
	}
}

// begin begins a stream, which ends after the duration.
func (d *checkpointedDaemon) begin(now time.Time, key AttemptKey, origin Origin, duration time.Duration) {
	d.checkpoint.Begin(now, key, origin)
	d.inProgress[key], d.ends[key] = origin, now.Add(duration)
}

func (d *checkpointedDaemon) endStreams(now time.Time) {
	for key, end := range d.ends {
		if !now.Before(end) {
			d.checkpoint.Complete(key)
			delete(d.ends, key)
			delete(d.inProgress, key)
		}
	}
}

var (
	severalOfLLM = map[ports.ServiceName]bool{"llm": true}
	noneSeveral  = map[ports.ServiceName]bool{}
)

// checkpointedFleet is a fleet whose daemons find their writers.
type checkpointedFleet struct {
	vms     []ports.VM
	daemons map[ports.DaemonID]*checkpointedDaemon
	writers map[ports.DaemonID]ports.DaemonID
	period  time.Duration
}

func newCheckpointedFleet(count int) *checkpointedFleet {
	f := &checkpointedFleet{
		vms: fleetOf(count), daemons: make(map[ports.DaemonID]*checkpointedDaemon), writers: make(map[ports.DaemonID]ports.DaemonID),
	}
	hash := placement.NewRendezvousHash(f.vms)
	for _, vm := range f.vms {
		writer, writers := Writer(vm, hash, f.vms)
		f.daemons[vm.Name], f.writers[vm.Name] = newCheckpointedDaemon(), writer
		f.period = CheckpointInterval(writers, 0)
	}
	return f
}

// update does what the daemon's checkpoint decides. One of ten messages is lost.
func (f *checkpointedFleet) update(now time.Time, name ports.DaemonID, random *rand.Rand) {
	d, writer := f.daemons[name], f.writers[name]
	if writer == name {
		d.update(now, severalOfLLM)
	} else if action, entries := d.checkpoint.Next(now, severalOfLLM, false); action == CheckpointShare && random.Float64() < 0.9 {
		f.daemons[writer].checkpoint.AddShare(now, name, entries)
	}
	d.writeAt = now.Add(f.period)
}

// All daemons are killed at any moment of a release. The store holds at least half of the
// streams in progress, and the writes of the fleet stay within its rate.
func TestStoreHoldsStreamsInProgressWhenAllDaemonsAreKilled(t *testing.T) {
	const tick, duration = 10 * time.Millisecond, 10 * time.Second
	for _, count := range []int{1, 7, 13, 59, 195} {
		random := rand.New(rand.NewPCG(43, uint64(count)))
		start, f := time.Unix(1, 0), newCheckpointedFleet(count)
		for _, vm := range f.vms {
			f.daemons[vm.Name].writeAt = start.Add(time.Duration(random.Float64() * float64(f.period)))
		}
		var inProgress, known, key, maxStored int
		for now := start; now.Before(start.Add(duration)); now = now.Add(tick) {
			for _, vm := range f.vms {
				d := f.daemons[vm.Name]
				d.endStreams(now)
				if random.Float64() < 0.2 {
					key++
					origin := Origin{Service: "llm", SoftwareVersion: fmt.Sprint("v", key%2)}
					d.begin(now, AttemptKey(key), origin, time.Duration(2*random.Float64()*float64(meanStreamDuration)))
				}
				if !now.Before(d.writeAt) {
					f.update(now, vm.Name, random)
				}
			}
			if now.Sub(start) < duration/2 || now.Sub(start)%time.Second != 0 {
				continue
			}
			stored := make(map[AttemptKey]Origin)
			for _, d := range f.daemons {
				for _, entry := range d.stored {
					stored[entry.Attempt] = entry.Origin
				}
				maxStored = max(maxStored, len(d.stored))
			}
			for _, d := range f.daemons {
				for key, origin := range d.inProgress {
					inProgress++
					if at, ok := stored[key]; ok {
						known++
						if at != origin {
							t.Errorf("%+v is stored as %+v", origin, at)
						}
					}
				}
			}
		}
		writes := 0
		for _, d := range f.daemons {
			writes += d.writes
		}
		rate, share := float64(writes)/duration.Seconds(), float64(known)/float64(inProgress)
		t.Logf("%d daemons: %.2f of the streams in progress are stored, %.1f writes a second, at most %d in one", count, share, rate, maxStored)
		if share < 0.5 || rate > 1.1*maxCheckpointRate {
			t.Errorf("%d daemons: %.2f of the streams in progress are stored with %.1f writes a second", count, share, rate)
		}
	}
}

// In a large fleet a few daemons of each failure domain write for it, each for about as many,
// and daemons that agree on the fleet agree on them.
func TestFewDaemonsWriteForLargeFleet(t *testing.T) {
	for _, count := range []int{1, maxWriters, maxWriters + 1, 59, 195} {
		vms := fleetOf(count)
		hash, domains := placement.NewRendezvousHash(vms), make(map[ports.DaemonID]ports.FailureDomain)
		for _, vm := range vms {
			domains[vm.Name] = vm.Domain
		}
		served := make(map[ports.DaemonID]int)
		for _, vm := range vms {
			writer, writers := Writer(vm, hash, vms)
			served[writer]++
			if domains[writer] != vm.Domain || writers != min(count, maxWriters) {
				t.Errorf("%d daemons: %s of %s writes for %s, one of %d", count, writer, domains[writer], vm.Name, writers)
			}
		}
		most := slices.Max(slices.Collect(maps.Values(served)))
		if len(served) > maxWriters || most > 3*count/len(served) {
			t.Errorf("%d daemons: %v", count, served)
		}
	}
	newcomer := ports.VM{Name: "new", Domain: "z9"}
	if writer, _ := Writer(newcomer, placement.NewRendezvousHash(fleetOf(59)), fleetOf(59)); writer != "new" {
		t.Errorf("%s writes for the only daemon of a domain", writer)
	}
}

// A daemon that is lost can't share any more: its writer keeps its streams for their callers,
// and then drops them. A daemon that no longer writes removes its checkpoint.
func TestWriterKeepsStreamsOfLostDaemon(t *testing.T) {
	now, writer, lost := time.Unix(1, 0), newCheckpointedDaemon(), newCheckpointedDaemon()
	lost.checkpoint.Begin(now, 1, Origin{"llm", "v1"})
	action, entries := lost.checkpoint.Next(now, severalOfLLM, false)
	if action != CheckpointShare {
		t.Fatalf("got %v", action)
	}
	writer.checkpoint.AddShare(now, "lost", entries)
	now = now.Add(ResumptionPeriod - 1)
	writer.update(now, severalOfLLM)
	if len(writer.stored) != 1 {
		t.Errorf("the store holds %v", writer.stored)
	}
	now = now.Add(1)
	writer.checkpoint.Begin(now, 2, Origin{"llm", "v2"})
	writer.update(now, severalOfLLM)
	if len(writer.stored) != 1 || writer.stored[0].Attempt != 2 {
		t.Errorf("the store holds %v", writer.stored)
	}
	if action, _ := writer.checkpoint.Next(now, severalOfLLM, false); action != CheckpointShare {
		t.Errorf("got %v while its streams are in progress", action)
	}
	writer.checkpoint.Complete(2)
	if action, _ := writer.checkpoint.Next(now, severalOfLLM, false); action != CheckpointRemove {
		t.Errorf("got %v", action)
	}
}

// In the steady state of one version, and while nothing begins, the store gets no calls.
func TestCheckpointIsWrittenOnlyWhenTheStoreLacksAStream(t *testing.T) {
	now, d := time.Unix(1, 0), newCheckpointedDaemon()
	d.checkpoint.Begin(now, 1, Origin{"llm", "v1"})
	d.update(now, noneSeveral)
	if d.writes > 0 {
		t.Fatal("written while one version serves")
	}
	expect := func(step string, writes, stored int) {
		t.Helper()
		if d.writes != writes || len(d.stored) != stored {
			t.Errorf("%s: %d writes and %d streams in the store, want %d and %d", step, d.writes, len(d.stored), writes, stored)
		}
	}
	d.update(now, severalOfLLM)
	expect("another version is seen", 1, 1)
	d.update(now, severalOfLLM)
	expect("nothing changed", 1, 1)
	d.checkpoint.Begin(now, 2, Origin{"llm", "v2"})
	d.checkpoint.Begin(now, 3, Origin{"other", "v2"})
	d.update(now, severalOfLLM)
	expect("a stream began", 2, 2)
	d.checkpoint.Complete(1)
	d.update(now, severalOfLLM)
	expect("a stream completed", 2, 2)
	d.checkpoint.Break(now, 2)
	d.update(now, noneSeveral)
	expect("one version is left, a caller may come back", 2, 2)
	now = now.Add(ResumptionPeriod)
	d.update(now, noneSeveral)
	expect("no caller comes back", 3, 0)
	d.update(now, noneSeveral)
	expect("removed", 3, 0)
}

// A write gets no answer and takes effect, and then one version is left.
func TestCheckpointWhoseWriteGotNoAnswerIsRemoved(t *testing.T) {
	now, c := time.Unix(1, 0), NewCheckpoint()
	c.Begin(now, 1, Origin{"llm", "v1"})
	for range 2 {
		if action, _ := c.Next(now, severalOfLLM, true); action != CheckpointWrite {
			t.Fatalf("got %v", action)
		}
	}
	c.Complete(1)
	if action, _ := c.Next(now, noneSeveral, true); action != CheckpointRemove {
		t.Errorf("got %v", action)
	}
}

// A daemon that is killed again before the callers have come back still knows the streams of
// its first process, and drops them once no caller comes back.
func TestStreamsOutliveSecondKill(t *testing.T) {
	now, d := time.Unix(1, 0), newCheckpointedDaemon()
	d.checkpoint.Begin(now, 1, Origin{"llm", "v1"})
	d.update(now, severalOfLLM)
	for process := range 3 {
		stored := d.stored
		d = newCheckpointedDaemon()
		d.checkpoint.Restore(now, stored)
		d.checkpoint.Begin(now, AttemptKey(10+process), Origin{"llm", "v2"})
		d.update(now, severalOfLLM)
		now = now.Add(ResumptionPeriod / 2)
	}
	if len(d.stored) != 4 {
		t.Errorf("the store holds %v", d.stored)
	}
	d.checkpoint.Begin(now, 1, Origin{"llm", "v1"})
	now = now.Add(ResumptionPeriod)
	d.checkpoint.Begin(now, 20, Origin{"llm", "v2"})
	d.update(now, severalOfLLM)
	if len(d.stored) != 3 || d.checkpoint.streams[1] == nil || d.checkpoint.streams[10] != nil {
		t.Errorf("the store holds %v", d.stored)
	}
}

// The store is restored from a copy that lacks what was written, or has what was removed.
func TestCheckpointIsWrittenAgainInNewEra(t *testing.T) {
	now, d := time.Unix(1, 0), newCheckpointedDaemon()
	d.checkpoint.Begin(now, 1, Origin{"llm", "v1"})
	_, entries := d.checkpoint.Next(now, severalOfLLM, true)
	d.checkpoint.RecordWritten(3, entries)
	if action, _ := d.checkpoint.Next(now, severalOfLLM, true); action != CheckpointKeep {
		t.Errorf("got %v", action)
	}
	d.checkpoint.ObserveEra(4)
	action, entries := d.checkpoint.Next(now, severalOfLLM, true)
	if action != CheckpointWrite || len(entries) != 1 {
		t.Errorf("got %v %v", action, entries)
	}
	d.checkpoint.RecordWritten(3, entries)
	if action, _ := d.checkpoint.Next(now, severalOfLLM, true); action != CheckpointWrite {
		t.Errorf("a write that was answered in an earlier era counts: %v", action)
	}
	d.checkpoint.RecordWritten(4, entries)
	d.checkpoint.Complete(1)
	if action, _ := d.checkpoint.Next(now, noneSeveral, true); action != CheckpointRemove {
		t.Errorf("got %v", action)
	}
	d.checkpoint.RecordRemoved(4)
	d.checkpoint.ObserveEra(5)
	if action, _ := d.checkpoint.Next(now, noneSeveral, true); action != CheckpointRemove {
		t.Errorf("got %v", action)
	}
	fresh := NewCheckpoint()
	fresh.ObserveEra(1)
	fresh.ObserveEra(2)
	if action, _ := fresh.Next(now, noneSeveral, true); action != CheckpointKeep {
		t.Errorf("a daemon that wrote nothing: got %v", action)
	}
}

// The callers of a crowd of streams that break at once don't fill the store.
func TestCheckpointIsBounded(t *testing.T) {
	now, d := time.Unix(1, 0), newCheckpointedDaemon()
	for key := range AttemptKey(MaxCheckpointStreams + 500) {
		now = now.Add(time.Microsecond)
		d.checkpoint.Begin(now, key, Origin{"llm", "v1"})
		d.checkpoint.Break(now, key)
	}
	d.update(now, severalOfLLM)
	if len(d.stored) != MaxCheckpointStreams || d.stored[0].Attempt != MaxCheckpointStreams+499 {
		t.Errorf("%d streams from %d on", len(d.stored), d.stored[0].Attempt)
	}
	d.checkpoint.Expire(now.Add(ResumptionPeriod))
	if d.checkpoint.Len() > 0 {
		t.Errorf("%d streams are left", d.checkpoint.Len())
	}
}

// Several versions count as in progress for the lifetime of their streams.
func TestVersionsThatHaveLeftCountForTheLifetimeOfStreams(t *testing.T) {
	versions, now := RecentVersions{}, time.Unix(1, 0)
	versions.Observe(now, "v1")
	if versions.AreSeveral(now) {
		t.Error("one version")
	}
	versions.Observe(now.Add(Lifetime/2), "v2")
	if !versions.AreSeveral(now.Add(Lifetime-1)) || versions.AreSeveral(now.Add(Lifetime)) {
		t.Error("v1 does not count for its lifetime")
	}
}

// Daemons whose VMs are replaced leave their checkpoints behind. One daemon removes them
// after the streams have ended, and none of a daemon that is alive or writes.
func TestCheckpointsOfGoneDaemonsAreRemoved(t *testing.T) {
	alive := []ports.VM{{Name: "d2"}, {Name: "d3"}}
	at := func(name ports.DaemonID, revision uint64) StoredCheckpoint {
		return StoredCheckpoint{Daemon: name, Version: ports.StoreVersion{Era: 1, Revision: revision}}
	}
	now, s := time.Unix(1, 0), Sweeper{}
	first := []StoredCheckpoint{at("d2", 10), at("gone", 11), at("late", 12), at("d3", 13)}
	if got := s.Sweep(now, first, nil); len(got) > 0 {
		t.Errorf("removed at the start: %v", got)
	}
	if s.Due(now.Add(SweepInterval-1), "d2", alive, true) || s.Due(now.Add(SweepInterval), "d3", alive, true) {
		t.Error("swept too early, or by several daemons")
	}
	now = now.Add(SweepInterval)
	if !s.Due(now, "d2", alive, false) {
		t.Error("never swept")
	}
	got := s.Sweep(now, []StoredCheckpoint{at("d2", 10), at("gone", 11), at("late", 14), at("d3", 13)}, alive)
	if len(got) != 1 || got[0] != at("gone", 11) {
		t.Errorf("removed %v", got)
	}
	now = now.Add(SweepInterval)
	if got := s.Sweep(now, []StoredCheckpoint{at("late", 14)}, alive); len(got) != 1 {
		t.Errorf("removed %v", got)
	}
	s.Sweep(now, nil, alive)
	if s.Due(now.Add(SweepInterval), "d2", alive, false) || !s.Due(now.Add(SweepInterval), "d2", alive, true) {
		t.Error("the store is asked in the steady state")
	}
}
