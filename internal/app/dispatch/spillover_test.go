package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	core "hawthornstream/internal/core/dispatch"
	"hawthornstream/internal/ports"
)

// spilloverFleet is a fleet of two failure domains with three daemons and two engines each,
// whose configuration has the given section.
func spilloverFleet(t *testing.T, section *configuration.Spillover) *exchangeFleet {
	f := newExchangeFleet(t, 2, 3)
	environment := f.nodes["d0-0"].fakeEnvironment
	environment.configuration.Document.Services = map[ports.ServiceName]configuration.Service{
		"llm": {Kind: configuration.ServiceKindEngine},
	}
	environment.configuration.Document.Spillover = section
	for i := range 4 {
		environment.servers = append(environment.servers, ports.VM{
			Name: ports.VMName(fmt.Sprint("e", i)), Service: "llm", Domain: ports.FailureDomain(fmt.Sprint("z", i/2)), Slots: 64,
		})
	}
	for _, m := range f.managers {
		m.refresh()
		// The calls are played at earlier times.
		m.spilloverUpdatedAt = time.Time{}
	}
	return f
}

// play lets callers ask one domain for twice what its engines can do, at all its daemons
// alike, while all daemons report.
func (f *exchangeFleet) play(now time.Time, duration time.Duration) time.Time {
	for end := now.Add(duration); now.Before(end); {
		now = now.Add(100 * time.Millisecond)
		for name, m := range f.managers {
			work := core.WorkOf(newEngineCall("w1"))
			// A tenth of a second of 10,000 tokens per second, at three daemons.
			work.UniqueTokens, work.PrefixTokens, work.OutputTokens = 333, 0, 0
			if f.nodes[name].self.Domain != "z0" {
				work.UniqueTokens = 10
			}
			m.mu.Lock()
			m.pools["llm"].ChooseForArrival(now, &work, core.AdmissionTerms{})
			m.mu.Unlock()
		}
		f.report(now)
		for _, m := range f.managers {
			m.lockAndUpdate(now)
		}
	}
	return now
}

func (f *exchangeFleet) flow(daemon ports.DaemonID, to ports.FailureDomain) float64 {
	m := f.managers[daemon]
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pools["llm"].Flows()[to]
}

// The daemons of an overloaded domain learn from reports alone what all of them are asked
// for, and send the same part; those of the other domain send nothing back.
func TestDaemonsOfDomainSendTheSamePart(t *testing.T) {
	f := spilloverFleet(t, &configuration.Spillover{})
	// Reports count from the time of their arrival, which is not replaced.
	f.play(time.Now().Add(-5*time.Second), 5*time.Second)
	first := f.flow("d0-0", "z1")
	if first < 0.2 {
		t.Fatalf("%.2f of the calls leave", first)
	}
	for i := range 3 {
		if part := f.flow(ports.DaemonID(fmt.Sprint("d0-", i)), "z1"); math.Abs(part-first) > 0.05 {
			t.Errorf("daemon %d sends %.2f, the first one %.2f", i, part, first)
		}
		if back := f.flow(ports.DaemonID(fmt.Sprint("d1-", i)), "z0"); back > 0 {
			t.Errorf("%.2f of the other domain's calls come back", back)
		}
	}
}

func TestNothingIsReportedWithoutSpillover(t *testing.T) {
	f := spilloverFleet(t, nil)
	now := f.play(time.Now().Add(-2*time.Second), 2*time.Second)
	m := f.managers["d0-0"]
	m.mu.Lock()
	defer m.mu.Unlock()
	if message := m.newLoadMessage(now, ports.ServerListDigest{}); message.Demands != nil || m.pools["llm"].Flows() != nil {
		t.Errorf("reported %v, flows %v", message.Demands, m.pools["llm"].Flows())
	}
}
