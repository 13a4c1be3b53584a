package audit

import (
	"time"

	"hawthornstream/internal/ports"
)

// transitAllowance is how long a call may be on its way before it counts as
// waiting work.
const transitAllowance = 50 * time.Millisecond

// utilisationStep is the distance of the times at which places are counted.
const utilisationStep = 10 * time.Millisecond

// Capacity is the places of one backend server and when they can be used. A
// zero Until has no end.
type Capacity struct {
	Server string
	Places int
	From   time.Time
	Until  time.Time
}

// Utilisation is the use of a service's places while work waited.
type Utilisation struct {
	// Part is used place time over place time, 1 when no work ever waited.
	Part float64
	// Waited is how long work waited.
	Waited time.Duration
}

// Use computes the utilisation of a service within a window: the used part of
// all places' time at which some call had been waiting for longer than it takes
// to hand a place over between regions.
func Use(evidence Evidence, service ports.ServiceName, capacity []Capacity, from, to time.Time) Utilisation {
	var waiting []span
	for _, spans := range waits(evidence, service) {
		for _, wait := range spans {
			if wait.length() > transitAllowance {
				waiting = append(waiting, span{wait.from.Add(transitAllowance), wait.to})
			}
		}
	}
	waiting = intersect(union(waiting), []span{{from, to}})
	steps := int(to.Sub(from)/utilisationStep) + 1
	used := usedPlaces(evidence, service, capacity, from, steps)
	result := Utilisation{Part: 1}
	var sumUsed, sumPlaces float64
	for _, wait := range waiting {
		result.Waited += wait.length()
		for i := int(wait.from.Sub(from) / utilisationStep); i < int(wait.to.Sub(from)/utilisationStep); i++ {
			at := from.Add(time.Duration(i) * utilisationStep)
			sumUsed += float64(used[i])
			sumPlaces += float64(placesAt(capacity, at))
		}
	}
	if sumPlaces > 0 {
		result.Part = sumUsed / sumPlaces
	}
	return result
}

// usedPlaces counts, for each step, the running requests on the servers whose
// places can be used then.
func usedPlaces(evidence Evidence, service ports.ServiceName, capacity []Capacity, from time.Time, steps int) []int {
	servers := make(map[string]Capacity)
	for _, server := range capacity {
		servers[server.Server] = server
	}
	used := make([]int, steps)
	for _, run := range evidence.Runs {
		if run.Service != string(service) || run.StartedAt.IsZero() {
			continue
		}
		first := max(0, int(run.StartedAt.Sub(from)/utilisationStep))
		for i := first; i < steps; i++ {
			at := from.Add(time.Duration(i) * utilisationStep)
			if !run.EndedAt.IsZero() && !at.Before(run.EndedAt) {
				break
			}
			if servers[run.Server].usable(at) && !at.Before(run.StartedAt) {
				used[i]++
			}
		}
	}
	return used
}

func placesAt(capacity []Capacity, at time.Time) int {
	places := 0
	for _, server := range capacity {
		if server.usable(at) {
			places += server.Places
		}
	}
	return places
}

func (c Capacity) usable(at time.Time) bool {
	return c.Places > 0 && !at.Before(c.From) && (c.Until.IsZero() || at.Before(c.Until))
}
