package audit

import (
	"time"

	"hawthornstream/internal/ports"
)

// minCountedWait is how long a call may be on its way before it counts as waiting. It
// covers the time to hand over a slot between regions.
const minCountedWait = 50 * time.Millisecond

// utilisationSampleInterval is the time between the samples at which slots are
// counted.
const utilisationSampleInterval = 10 * time.Millisecond

// ServerCapacity is the number of slots of one backend server and the time, from From
// until before Until, in which they can be used. A zero Until means no end.
type ServerCapacity struct {
	Server string
	Slots  int
	From   time.Time
	Until  time.Time
}

// Utilisation is the use of a service's slots while calls waited.
type Utilisation struct {
	// UsedFraction is the used fraction of the usable slot time, 1 if no call ever
	// waited.
	UsedFraction float64
	// BacklogTime is how long some call had been waiting for longer than
	// minCountedWait.
	BacklogTime time.Duration
}

// MeasureUtilisation computes the utilisation of a service between from and to. It
// counts only the time at which some call had been waiting for longer than it takes
// to hand over a slot between regions.
func MeasureUtilisation(evidence Evidence, service ports.ServiceName, capacities []ServerCapacity, from, to time.Time) Utilisation {
	var waiting []interval
	for _, waits := range waitIntervals(evidence, service) {
		for _, wait := range waits {
			if wait.length() > minCountedWait {
				waiting = append(waiting, interval{wait.from.Add(minCountedWait), wait.to})
			}
		}
	}
	waiting = intersectIntervals(mergeIntervals(waiting), []interval{{from, to}})
	sampleCount := int(to.Sub(from)/utilisationSampleInterval) + 1
	used := usedSlotCounts(evidence, service, capacities, from, sampleCount)
	result := Utilisation{UsedFraction: 1}
	var usedSum, slotSum float64
	for _, wait := range waiting {
		result.BacklogTime += wait.length()
		for i := int(wait.from.Sub(from) / utilisationSampleInterval); i < int(wait.to.Sub(from)/utilisationSampleInterval); i++ {
			at := from.Add(time.Duration(i) * utilisationSampleInterval)
			usedSum += float64(used[i])
			slotSum += float64(slotCountAt(capacities, at))
		}
	}
	if slotSum > 0 {
		result.UsedFraction = usedSum / slotSum
	}
	return result
}

// usedSlotCounts counts, for each sample time, the running requests on the servers
// whose slots can be used then.
func usedSlotCounts(evidence Evidence, service ports.ServiceName, capacities []ServerCapacity, from time.Time, sampleCount int) []int {
	capacityByServer := make(map[string]ServerCapacity)
	for _, server := range capacities {
		capacityByServer[server.Server] = server
	}
	used := make([]int, sampleCount)
	for _, run := range evidence.Runs {
		if run.Service != string(service) || run.StartedAt.IsZero() {
			continue
		}
		first := max(0, int(run.StartedAt.Sub(from)/utilisationSampleInterval))
		for i := first; i < sampleCount; i++ {
			at := from.Add(time.Duration(i) * utilisationSampleInterval)
			if !run.EndedAt.IsZero() && !at.Before(run.EndedAt) {
				break
			}
			if capacityByServer[run.Server].usableAt(at) && !at.Before(run.StartedAt) {
				used[i]++
			}
		}
	}
	return used
}

func slotCountAt(capacities []ServerCapacity, at time.Time) int {
	slots := 0
	for _, server := range capacities {
		if server.usableAt(at) {
			slots += server.Slots
		}
	}
	return slots
}

func (c ServerCapacity) usableAt(at time.Time) bool {
	return c.Slots > 0 && !at.Before(c.From) && (c.Until.IsZero() || at.Before(c.Until))
}
