package serverlist

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/ports"
)

const (
	testSeed = 20261204
	// historyStep is the time between two steps of a history.
	historyStep = 250 * time.Millisecond
	// rewriteWithin is how long after a restore a server writes its entry again, and
	// expireAfter how long after it the store removes the entries of servers that
	// don't.
	rewriteWithin = 2 * time.Second
	expireAfter   = 3600 * time.Millisecond
	// settleTime is how long nothing happens at the end of a history.
	settleTime = OutdatedHold + expireAfter
)

// historyEvent is a change of one entry; vm is nil if it was removed.
type historyEvent struct {
	revision uint64
	name     ports.VMName
	vm       *ports.VM
}

// historyStore is a store of entries with its history.
type historyStore struct {
	era, revision uint64
	entries       map[ports.VMName]ports.VM
	events        []historyEvent
}

func (s *historyStore) version() ports.StoreVersion {
	return at(s.era, s.revision)
}

func (s *historyStore) set(name ports.VMName, vm *ports.VM) {
	previous, exists := s.entries[name]
	if vm == nil && !exists || vm != nil && exists && previous == *vm {
		return
	}
	s.revision++
	s.events = append(s.events, historyEvent{revision: s.revision, name: name, vm: vm})
	if vm == nil {
		delete(s.entries, name)
		return
	}
	s.entries[name] = *vm
}

func (s *historyStore) clone() historyStore {
	return historyStore{era: s.era, revision: s.revision, entries: maps.Clone(s.entries), events: slices.Clone(s.events)}
}

// historyDaemon is a daemon with its table. Watchers read the store, all adopt lists of
// each other.
type historyDaemon struct {
	table           *Table
	watches, cutOff bool
	position        ports.StoreVersion
	// knownGone and knownLeaving are the latest starts of servers that the daemon has
	// read to be gone or leaving.
	knownGone, knownLeaving map[ports.VMName]int64
}

func newHistoryDaemon(watches bool) *historyDaemon {
	return &historyDaemon{
		table: NewTable(), watches: watches,
		knownGone: make(map[ports.VMName]int64), knownLeaving: make(map[ports.VMName]int64),
	}
}

// history is a random history of a store that is restored from copies, with servers that
// start and leave, and daemons that are cut off and restarted.
type history struct {
	random  *rand.Rand
	now     time.Time
	store   historyStore
	saved   historyStore
	savedAt time.Time
	// restoredAt is when the store was restored last.
	restoredAt time.Time
	// alive are the servers that write their entries.
	alive   map[ports.VMName]ports.VM
	daemons []*historyDaemon
	faults  []string
}

func newHistory(seed uint64) *history {
	h := &history{
		random: rand.New(rand.NewPCG(seed, 1)), now: start,
		store: historyStore{era: 1, revision: 1, entries: make(map[ports.VMName]ports.VM)},
		alive: make(map[ports.VMName]ports.VM),
	}
	h.save()
	for i := range 5 {
		h.daemons = append(h.daemons, newHistoryDaemon(i < 3))
	}
	return h
}

func (h *history) save() {
	h.saved, h.savedAt = h.store.clone(), h.now
}

func (h *history) randomServer() (ports.VMName, ports.VM, bool) {
	names := slices.Sorted(maps.Keys(h.alive))
	if len(names) == 0 {
		return "", ports.VM{}, false
	}
	name := names[h.random.IntN(len(names))]
	return name, h.alive[name], true
}

// act does one random change.
func (h *history) act() {
	daemon := h.daemons[h.random.IntN(len(h.daemons))]
	switch name, vm, any := h.randomServer(); h.random.IntN(12) {
	case 0, 1, 2:
		name := ports.VMName(fmt.Sprintf("s%d", h.random.IntN(8)))
		started := ports.VM{Name: name, StartedMillis: h.now.UnixMilli()}
		h.alive[name] = started
		h.store.set(name, &started)
	case 3, 4:
		if any {
			vm.Leaving = true
			h.alive[name] = vm
			h.store.set(name, &vm)
		}
	case 5, 6:
		if any {
			delete(h.alive, name)
			h.store.set(name, nil)
		}
	case 7:
		h.save()
	case 8:
		if h.now.Sub(h.savedAt) < 10*time.Second {
			era := h.store.era
			h.store = h.saved.clone()
			h.store.era, h.restoredAt = era+1, h.now
		}
	case 9, 10:
		daemon.cutOff = !daemon.cutOff
	case 11:
		*daemon = *newHistoryDaemon(daemon.watches)
	}
}

// repair lets servers write their entries again, and removes those of servers that are
// gone.
func (h *history) repair() {
	since := h.now.Sub(h.restoredAt)
	for _, name := range slices.Sorted(maps.Keys(h.alive)) {
		if vm := h.alive[name]; since >= rewriteWithin || h.random.IntN(8) == 0 {
			h.store.set(name, &vm)
		}
	}
	if since < expireAfter {
		return
	}
	for _, name := range slices.Sorted(maps.Keys(h.store.entries)) {
		if _, alive := h.alive[name]; !alive {
			h.store.set(name, nil)
		}
	}
}

// read lets a watcher list or watch the store.
func (h *history) read(d *historyDaemon) {
	if d.cutOff {
		d.table.SetPlatformAvailable(h.now, false)
		return
	}
	if version, _ := d.table.Version(); version.IsNewerThan(d.position) {
		d.position = version
	}
	var changes []Change
	if d.position.Era != h.store.era || d.position.Revision > h.store.revision {
		for name, vm := range h.store.entries {
			changes = append(changes, Change{Name: name, VM: &vm})
		}
		d.table.Replace(h.now, h.store.version(), changes)
	} else {
		for _, event := range h.store.events {
			if event.revision > d.position.Revision {
				changes = append(changes, Change{Name: event.name, VM: event.vm, Removed: event.vm == nil})
			}
		}
		d.table.Apply(h.now, h.store.version(), changes)
	}
	d.position = h.store.version()
	d.table.SetPlatformAvailable(h.now, true)
	h.learn(d)
}

// learn records which starts of servers a daemon has read to be leaving or gone.
func (h *history) learn(d *historyDaemon) {
	used := make(map[ports.VMName]ports.VM)
	for _, vm := range d.table.Servers(h.now) {
		used[vm.Name] = vm
		if vm.Leaving {
			d.knownLeaving[vm.Name] = max(d.knownLeaving[vm.Name], vm.StartedMillis)
		}
	}
	for _, event := range h.store.events {
		if _, listed := h.store.entries[event.name]; listed || event.vm == nil {
			continue
		}
		_, alive := h.alive[event.name]
		if _, stillUsed := used[event.name]; !alive && !stillUsed {
			if gone, remembered := d.table.gone[event.name]; remembered {
				d.knownGone[event.name] = max(d.knownGone[event.name], gone.startedMillis)
			}
		}
	}
}

// check records a fault if a daemon uses a server that it has read to be leaving or gone.
func (h *history) check(d *historyDaemon) {
	for _, vm := range d.table.Servers(h.now) {
		if until, known := d.knownGone[vm.Name]; known && vm.StartedMillis <= until {
			h.faults = append(h.faults, fmt.Sprintf("%v: %s of %d is used again", h.now.Sub(start), vm.Name, vm.StartedMillis))
		}
		if until, known := d.knownLeaving[vm.Name]; known && vm.StartedMillis <= until && !vm.Leaving {
			h.faults = append(h.faults, fmt.Sprintf("%v: %s of %d is not leaving", h.now.Sub(start), vm.Name, vm.StartedMillis))
		}
	}
}

// step lets the time of one step pass.
func (h *history) step() {
	h.now = h.now.Add(historyStep)
	h.repair()
	for _, d := range h.daemons {
		if d.watches && (d.cutOff || h.random.IntN(2) == 0) {
			h.read(d)
		}
		peer := h.daemons[h.random.IntN(len(h.daemons))]
		if list := peer.table.Snapshot(h.now); h.random.IntN(2) == 0 {
			d.table.Adopt(h.now, list)
		}
		h.check(d)
	}
}

// settle ends all faults and lets time pass without changes.
func (h *history) settle() {
	for _, d := range h.daemons {
		d.cutOff = false
	}
	for range settleTime / historyStep {
		h.step()
	}
}

// Whatever the order of changes, copies, restores, cuts and restarts: in the end all
// daemons have the store's list, and none goes back to a server that it has read to be
// leaving or gone.
func TestListsConvergeOverAnyHistoryOfRestores(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	parameters.MinSuccessfulTests = 1500
	properties := gopter.NewProperties(parameters)
	properties.Property("lists converge", prop.ForAll(func(seed uint64, steps int) (bool, error) {
		h := newHistory(seed)
		for range steps {
			if h.random.IntN(3) == 0 {
				h.act()
			}
			h.step()
		}
		h.settle()
		if len(h.faults) > 0 {
			return false, fmt.Errorf("seed %d: %s", seed, h.faults[0])
		}
		for i, d := range h.daemons {
			listed := make(map[ports.VMName]ports.VM)
			for _, vm := range d.table.Servers(h.now) {
				listed[vm.Name] = vm
			}
			if !maps.Equal(listed, h.store.entries) || !maps.Equal(listed, h.alive) {
				return false, fmt.Errorf("seed %d: daemon %d lists %v, the store %v", seed, i, listed, h.store.entries)
			}
		}
		return true, nil
	}, gen.UInt64(), gen.IntRange(10, 160)))
	properties.TestingRun(t)
}
