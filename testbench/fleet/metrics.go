package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTicksPerSecond is the unit of the times in /proc (USER_HZ), which Linux
// fixes at 100.
const clockTicksPerSecond = 100

// Sample is the value of one time series of a daemon's metrics.
type Sample struct {
	Name   string
	Labels map[string]string
	Value  float64
}

// Metrics are the samples of one scrape.
type Metrics []Sample

// Metrics scrapes the daemon's metrics.
func (d *Daemon) Metrics(ctx context.Context) (Metrics, error) {
	body, status, err := d.Get(ctx, "/metrics")
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("metrics of %s: status %d", d.VM.Name, status)
	}
	return parseMetrics(strings.NewReader(string(body))), nil
}

// Get sends a GET request for the path to the daemon's operators' address, with
// the operator's key. It returns the body and the HTTP status code.
func (d *Daemon) Get(ctx context.Context, path string) (body []byte, status int, err error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, d.OperatorsURL()+path, nil)
	if err != nil {
		return nil, 0, err
	}
	request.Header.Set("Authorization", "Bearer "+OperatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = io.ReadAll(response.Body)
	return body, response.StatusCode, err
}

// Sum returns the sum of the samples with the name whose labels include the given
// ones, in alternating names and values.
func (m Metrics) Sum(name string, labels ...string) float64 {
	var sum float64
	for _, sample := range m {
		if sample.Name == name && sample.hasLabels(labels) {
			sum += sample.Value
		}
	}
	return sum
}

// SumBySuffix is like Sum, for all names that end with the suffix.
func (m Metrics) SumBySuffix(suffix string, labels ...string) float64 {
	var sum float64
	for _, sample := range m {
		if strings.HasSuffix(sample.Name, suffix) && sample.hasLabels(labels) {
			sum += sample.Value
		}
	}
	return sum
}

func (s *Sample) hasLabels(labels []string) bool {
	for i := 0; i+1 < len(labels); i += 2 {
		if s.Labels[labels[i]] != labels[i+1] {
			return false
		}
	}
	return true
}

func parseMetrics(text io.Reader) Metrics {
	var metrics Metrics
	scanner := bufio.NewScanner(text)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		if sample, ok := parseSample(scanner.Text()); ok {
			metrics = append(metrics, sample)
		}
	}
	return metrics
}

func parseSample(line string) (Sample, bool) {
	if line == "" || line[0] == '#' {
		return Sample{}, false
	}
	separator := strings.LastIndexByte(line, ' ')
	if separator < 0 {
		return Sample{}, false
	}
	value, err := strconv.ParseFloat(line[separator+1:], 64)
	if err != nil {
		return Sample{}, false
	}
	name, rest, _ := strings.Cut(line[:separator], "{")
	sample := Sample{Name: name, Value: value, Labels: make(map[string]string)}
	for pair := range strings.SplitSeq(strings.TrimSuffix(rest, "}"), ",") {
		key, quoted, ok := strings.Cut(pair, "=")
		if ok {
			sample.Labels[key] = strings.Trim(quoted, `"`)
		}
	}
	return sample, true
}

// CPUTime returns the user and system CPU time that the daemon's process has
// used.
func (d *Daemon) CPUTime() (time.Duration, error) {
	return cpuTime(d.PID())
}

func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The second field is the name in brackets, which may contain spaces; rest
	// begins with the third field.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 14 - 3, 15 - 3
	if len(fields) <= systemField {
		return 0, fmt.Errorf("/proc/%d/stat has too few fields", pid)
	}
	var ticks int64
	for _, field := range []string{fields[userField], fields[systemField]} {
		count, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += count
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}

// ResidentBytes returns the resident memory of the daemon's process.
func (d *Daemon) ResidentBytes() (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.PID()))
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, fmt.Errorf("/proc/%d/statm has too few fields", d.PID())
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), err
}
