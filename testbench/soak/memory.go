package soak

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const (
	// memoryMiB is the memory of a daemon in a run with Options.EndlessMessages, and
	// usableMemory the fraction of it that the daemon may use.
	memoryMiB    = 80
	usableMemory = 0.85
	// servedTimeout is the longest time in which no call of a workspace may be completed.
	servedTimeout = 5 * time.Second
)

// withMemory returns the settings of a daemon with little memory.
func withMemory(settings string) string {
	limits := fmt.Sprintf(`"limits": {"memory": "%dMiB"`, memoryMiB)
	if strings.Contains(settings, `"limits": {`) {
		return strings.Replace(settings, `"limits": {`, limits+", ", 1)
	}
	return strings.Replace(settings, `"operators": {}`, `"operators": {}, `+limits+`}`, 1)
}

// allowManyConnections lets daemons have many calls at each backend server at once.
func allowManyConnections(spec map[string]any) {
	for _, service := range spec["services"].([]any) {
		service.(map[string]any)["maxConns"] = 1000
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+([0-9]+) kB`)

// peakMiB returns the largest resident memory that a process has had, in MiB; zero if the system
// doesn't tell.
func peakMiB(pid int) int {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	match := peakMemory.FindSubmatch(status)
	if match == nil {
		return 0
	}
	kibibytes, _ := strconv.Atoi(string(match[1]))
	return kibibytes >> 10
}

// watchMemory records the peaks of the daemons' memory, and checks that calls of each workspace
// are completed.
func (r *soakRun) watchMemory(now time.Time) {
	if !r.options.EndlessMessages {
		return
	}
	r.recordPeaks()
	r.checker.checkServed(now)
}

// recordPeaks is called again and again, as a peak is known only while its process runs.
func (r *soakRun) recordPeaks() {
	for _, d := range r.daemons {
		if peak := peakMiB(d.PID()); peak > d.peakMiB {
			r.options.Logf("seed %d: peak memory of %s %d MiB", r.options.Seed, d.Name, peak)
			d.peakMiB = peak
		}
	}
}

// checkMemory checks the peaks of the daemons' memory and returns the highest.
func (r *soakRun) checkMemory() (highest int) {
	if !r.options.EndlessMessages {
		return 0
	}
	r.recordPeaks()
	for _, d := range r.daemons {
		if float64(d.peakMiB) > usableMemory*memoryMiB {
			r.checker.addViolation("memory: %s used %d MiB of %d", d.Name, d.peakMiB, memoryMiB)
		}
		highest = max(highest, d.peakMiB)
	}
	return highest
}

// recordCompletedLocked records a complete and correct answer. c.mu must be held.
func (c *checker) recordCompletedLocked(workspace string, now time.Time) {
	c.completed++
	c.lastCompleted[workspace] = now
}

// checkServed checks when calls of each workspace were last completed. A violation counts once in
// each servedTimeout.
func (c *checker) checkServed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for workspace, last := range c.lastCompleted {
		if now.Sub(last) > servedTimeout {
			c.addViolationLocked("served: no call of workspace %s was completed in %v", workspace, now.Sub(last).Round(time.Millisecond))
			c.lastCompleted[workspace] = now
		}
	}
}
