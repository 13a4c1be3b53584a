package streamorigin

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	testSeed = 20261205
	// minListed is how long a version is listed at least, and servesAfterwards how long its
	// servers still serve after that, in steps of a second.
	minListed, servesAfterwards = 5, 10
	// streamSteps is how long a stream lasts with all its tries, and copyAge the greatest
	// age of a copy from which the store is restored.
	streamSteps, copyAge = 20, 10
	// rewriteSteps is how long servers take to write their entries after a restore.
	rewriteSteps = 2
)

// modelVersion is a version whose servers joined, and perhaps left the list.
type modelVersion struct {
	joined, left int
	isListed     bool
}

// modelStore is what a restore takes back.
type modelStore struct {
	listed []string
	record Record
}

// modelDaemon is a daemon with a list that lags behind.
type modelDaemon struct {
	view   *VersionView
	listed []string
	era    uint64
	// stillFor is how many steps the daemon stands still, and cutFor how many it is cut
	// off from the store; cutSince counts those that have passed.
	stillFor, cutFor, cutSince int
	// updateDue is true if the daemon changes the record in the next step.
	updateDue bool
}

type modelStream struct {
	version string
	began   int
}

// model is a random history of releases, daemons and a store that is restored.
type model struct {
	random     *rand.Rand
	step       int
	store      modelStore
	saved      modelStore
	savedAt    int
	restoredAt int
	era        uint64
	versions   map[string]*modelVersion
	daemons    []*modelDaemon
	streams    []modelStream
}

func newModel(seed uint64) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), versions: make(map[string]*modelVersion), restoredAt: -rewriteSteps}
	for range 3 {
		m.daemons = append(m.daemons, &modelDaemon{view: NewVersionView()})
	}
	m.join("v1")
	for range 3 {
		m.advance()
	}
	m.saved, m.savedAt = m.store, m.step
	return m
}

func (m *model) now() time.Time { return time.Unix(1000, 0).Add(time.Duration(m.step) * time.Second) }

func (m *model) join(version string) {
	if v := m.versions[version]; v != nil && v.isListed {
		return
	}
	m.versions[version] = &modelVersion{joined: m.step, isListed: true}
	m.list()
}

// list brings the entries of all versions that serve into the store.
func (m *model) list() {
	m.store.listed = nil
	for version, v := range m.versions {
		if v.isListed {
			m.store.listed = append(m.store.listed, version)
		}
	}
	slices.Sort(m.store.listed)
}

func (m *model) leave(version string) {
	if v := m.versions[version]; v != nil && v.isListed && m.step-v.joined >= minListed {
		v.isListed, v.left = false, m.step
		m.store.listed = slices.DeleteFunc(slices.Clone(m.store.listed), func(s string) bool { return s == version })
	}
}

// act makes one random change.
func (m *model) act() {
	daemon := m.daemons[m.random.IntN(len(m.daemons))]
	version := fmt.Sprint("v", 1+m.random.IntN(3))
	switch m.random.IntN(10) {
	case 0, 1:
		m.join(version)
	case 2, 3, 4:
		m.leave(version)
	case 5:
		daemon.stillFor = m.random.IntN(8)
	case 6:
		daemon.cutFor = m.random.IntN(8)
	case 7:
		*daemon = modelDaemon{view: NewVersionView()}
	case 8:
		for _, d := range m.daemons {
			*d = modelDaemon{view: NewVersionView()}
		}
	case 9:
		if m.step-m.savedAt <= copyAge {
			m.store, m.restoredAt = m.saved, m.step
			m.era++
		}
	}
}

// advance lets a step pass.
func (m *model) advance() {
	m.step++
	if m.step-m.restoredAt == rewriteSteps {
		m.list()
	}
	if m.random.IntN(copyAge) == 0 {
		m.saved, m.savedAt = m.store, m.step
	}
	for _, d := range m.daemons {
		m.advanceDaemon(d)
	}
}

func (m *model) advanceDaemon(d *modelDaemon) {
	if d.stillFor > 0 {
		d.stillFor--
		return
	}
	isCut := d.cutFor > 0
	if isCut {
		d.cutFor--
		d.cutSince++
	} else {
		d.cutSince = 0
	}
	if !isCut && (d.listed == nil || m.random.IntN(2) == 0) {
		d.listed, d.era = slices.Clone(m.store.listed), m.era
	}
	if d.listed == nil {
		return
	}
	// An outstanding watch hides a cut for three steps.
	d.view.Observe(m.now(), ListObservation{Versions: d.listed, Era: d.era, Fresh: d.cutSince <= 3})
	if d.updateDue && !isCut {
		m.update(d)
	}
	d.updateDue = d.view.NeedsRecord(m.now())
	for _, version := range d.listed {
		if v := m.versions[version]; v.isListed || m.step-v.left <= servesAfterwards {
			m.streams = append(m.streams, modelStream{version: version, began: m.step})
		}
	}
}

func (m *model) update(d *modelDaemon) {
	if d.era != m.era {
		return
	}
	next, changes, rulesOut := d.view.Update(m.now(), m.store.record)
	for _, version := range m.store.listed {
		if rulesOut && !slices.Contains(next.Versions, version) {
			return
		}
	}
	if changes {
		m.store.record = next
	}
	d.view.RecordRead(m.store.record, m.era)
}

// resume returns where a stream that no daemon knows goes on at a daemon.
func (m *model) resume(d *modelDaemon) Decision {
	return Decide(Evidence{Service: "llm", Source: SourceUnknown, Versions: VersionEvidence{
		Known: d.view.Possible(m.now()), IsRead: d.cutFor == 0, Era: m.era, Listed: m.store.listed, Record: m.store.record,
	}})
}

// check returns a fault if a stream in progress would go on at another version.
func (m *model) check() error {
	m.streams = slices.DeleteFunc(m.streams, func(s modelStream) bool { return m.step-s.began > streamSteps })
	for i, d := range m.daemons {
		decision := m.resume(d)
		if decision.Reason != "" || d.stillFor > 0 {
			continue
		}
		for _, stream := range m.streams {
			if stream.version != decision.SoftwareVersion {
				return fmt.Errorf("step %d, daemon %d: a stream of %s begun at step %d goes on at %s",
					m.step, i, stream.version, stream.began, decision.SoftwareVersion)
			}
		}
	}
	return nil
}

// Whatever the order of releases, kills, cuts, pauses and restores: no stream goes on at
// another version, and once one version has served alone for long, all streams go on.
func TestUnknownStreamsStayAtTheirVersionOverAnyHistory(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("no stream changes its version", prop.ForAll(func(seed uint64, steps int) (bool, error) {
		m := newModel(seed)
		for range steps {
			if m.random.IntN(6) == 0 {
				m.act()
			}
			m.advance()
			if err := m.check(); err != nil {
				return false, fmt.Errorf("seed %d: %w", seed, err)
			}
		}
		m.join("v1")
		for range minListed {
			m.advance()
		}
		m.leave("v2")
		m.leave("v3")
		for range 3 * lifetimeSeconds {
			m.advance()
		}
		for i, d := range m.daemons {
			if decision := m.resume(d); decision.SoftwareVersion != "v1" {
				return false, fmt.Errorf("seed %d: daemon %d: %+v", seed, i, decision)
			}
		}
		return true, nil
	}, gen.UInt64(), gen.IntRange(20, 300)))
	properties.TestingRun(t)
}
