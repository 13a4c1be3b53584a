package operatorhttp

import (
	"maps"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"hawthornstream/internal/ports"
)

func (s *Server) getHealth(w http.ResponseWriter, _ *http.Request) {
	s.writeJSON(w, struct {
		Healthy bool `json:"healthy"`
	}{Healthy: true})
}

func (s *Server) getReadiness(w http.ResponseWriter, _ *http.Request) {
	failed := s.failedChecks()
	if len(failed) > 0 {
		p := newProblem(http.StatusServiceUnavailable, ports.OperatorReasonNotReady, "the daemon takes no new calls")
		p.NotReady = failed
		s.writeProblem(w, p)
		return
	}
	s.writeJSON(w, struct {
		Ready bool `json:"ready"`
	}{Ready: true})
}

func (s *Server) failedChecks() []ports.FailedCheck {
	var failed []ports.FailedCheck
	for _, check := range s.params.ReadinessChecks {
		if reason := check.Reason(); reason != "" {
			failed = append(failed, ports.FailedCheck{Check: check.Name, Reason: reason})
		}
	}
	return failed
}

func (s *Server) getStatus(w http.ResponseWriter, _ *http.Request) {
	status := ports.DaemonStatus{
		VM:          s.params.Directory.Self(),
		Incarnation: s.params.Directory.Incarnation(),
		NotReady:    s.failedChecks(),
		Daemons:     s.params.Directory.Daemons(),
		Shards:      s.shardOwners(),
		Services:    []ports.ServiceStatus{},
	}
	status.Ready = len(status.NotReady) == 0
	if current := s.params.Configuration.Current(); current != nil {
		status.Revision = current.Number
		status.Digest = current.Digest
	}
	if s.params.Sharing != nil {
		status.Services = append(status.Services, s.params.Sharing.Services()...)
	}
	if s.params.Evacuations != nil {
		status.Evacuations = s.params.Evacuations.Evacuations()
	}
	if s.params.Handover != nil {
		status.Handover = s.params.Handover.HandoverStatus()
	}
	s.writeJSON(w, status)
}

func (s *Server) shardOwners() []ports.ShardOwner {
	owners := []ports.ShardOwner{}
	current := s.params.Configuration.Current()
	if current == nil {
		return owners
	}
	for _, service := range slices.Sorted(maps.Keys(current.Document.Services)) {
		for _, shard := range s.params.Directory.Shards(service) {
			owners = append(owners, ports.ShardOwner{
				Shard:   shard.ID,
				Service: service,
				Owner:   shard.Owner,
				Servers: len(shard.Servers),
			})
		}
	}
	return owners
}

func (s *Server) getExplanation(w http.ResponseWriter, r *http.Request) {
	id := ports.RequestID(mux.Vars(r)["request"])
	if s.params.CallHistory != nil {
		if trace, known := s.params.CallHistory.Explain(id); known {
			s.writeJSON(w, trace)
			return
		}
	}
	s.writeProblem(w, newProblem(http.StatusNotFound, ports.OperatorReasonUnknownRequest,
		"this daemon does not know request "+string(id)+" any more; ask the daemon that took it"))
}
