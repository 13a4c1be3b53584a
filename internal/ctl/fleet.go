package ctl

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/google/subcommands"

	"hawthornstream/internal/ports"
)

// serverAnswer is the status that one server answered, or the fault because of
// which it did not.
type serverAnswer struct {
	Server string              `json:"server"`
	Fault  string              `json:"fault,omitempty"`
	Status *ports.DaemonStatus `json:"status,omitempty"`
}

// runAll prints the status of all servers. It fails when none answers.
func (c *statusCommand) runAll(ctx context.Context, client *client) (subcommands.ExitStatus, error) {
	var lastErr error
	answers := make([]serverAnswer, 0, len(client.servers))
	for _, server := range client.servers {
		answer := serverAnswer{Server: server, Status: &ports.DaemonStatus{}}
		if err := client.send(ctx, server, getRequest("/v1/status"), answer.Status); err != nil {
			lastErr = err
			answer.Status, answer.Fault = nil, err.Error()
		}
		answers = append(answers, answer)
	}
	hasStatus := func(answer serverAnswer) bool { return answer.Status != nil }
	if !slices.ContainsFunc(answers, hasStatus) {
		return ExitFailure, lastErr
	}
	return c.printResult(answers, func() { c.printFleet(answers) }), nil
}

func (c *statusCommand) printFleet(answers []serverAnswer) {
	services := map[ports.ServiceName]*ports.ServiceStatus{}
	evacuations := map[ports.FailureDomain]ports.EvacuationStatus{}
	for _, answer := range answers {
		if answer.Status == nil {
			c.printf("%s: %s\n", answer.Server, answer.Fault)
			continue
		}
		status := answer.Status
		c.printf("%s: %s (%s) ready %t, revision %d, daemons believed live %d\n", answer.Server,
			status.VM.Name, status.VM.Domain, status.Ready, status.Revision, len(status.Daemons))
		for _, service := range status.Services {
			for _, to := range slices.Sorted(maps.Keys(service.Flows)) {
				c.printf("  %s: %.2f of the calls run in %s\n", service.Service, service.Flows[to], to)
			}
			mergeService(services, service)
		}
		for _, evacuation := range status.Evacuations {
			evacuations[evacuation.Domain] = mergeEvacuation(evacuations[evacuation.Domain], evacuation)
		}
	}
	c.printEvacuations(slices.SortedFunc(maps.Values(evacuations), func(a, b ports.EvacuationStatus) int {
		return cmp.Compare(a.Domain, b.Domain)
	}))
	for _, name := range slices.Sorted(maps.Keys(services)) {
		c.printService(*services[name])
	}
}

// mergeEvacuation adds one daemon's status of an evacuated domain to that of other
// daemons: the earliest time and the sum of their own calls.
func mergeEvacuation(merged, evacuation ports.EvacuationStatus) ports.EvacuationStatus {
	if merged.Domain == "" || evacuation.Since.Before(merged.Since) {
		merged.Domain, merged.Since = evacuation.Domain, evacuation.Since
	}
	merged.Running += evacuation.Running
	return merged
}

// mergeService adds one daemon's status of a service to that of other daemons. The
// level of a workspace is the highest that any daemon reports.
func mergeService(services map[ports.ServiceName]*ports.ServiceStatus, service ports.ServiceStatus) {
	merged := services[service.Service]
	if merged == nil {
		merged = &ports.ServiceStatus{
			Service: service.Service,
			Queued:  map[ports.WorkspaceID]int{},
			Levels:  map[ports.WorkspaceID]float64{},
		}
		services[service.Service] = merged
	}
	merged.Running += service.Running
	merged.Cold = max(merged.Cold, service.Cold)
	merged.Owned = append(merged.Owned, service.Owned...)
	for workspace, count := range service.Queued {
		merged.Queued[workspace] += count
	}
	for workspace, level := range service.Levels {
		merged.Levels[workspace] = max(merged.Levels[workspace], level)
	}
}
