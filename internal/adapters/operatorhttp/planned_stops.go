package operatorhttp

import (
	"net/http"
	"slices"
	"time"

	"github.com/gorilla/mux"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/fieldcheck"
	"hawthornstream/internal/ports"
)

// plannedStopRetention is how long a planned stop stays listed after its time.
// Older ones are dropped when the next stop is planned.
const plannedStopRetention = 24 * time.Hour

func (s *Server) getPlannedStops(w http.ResponseWriter, _ *http.Request) {
	list := ports.StopList{Stops: []configuration.PlannedStop{}}
	if current := s.params.Configuration.Current(); current != nil {
		list.Revision = current.Number
		list.Stops = append(list.Stops, current.Document.PlannedStops...)
	}
	s.writeJSON(w, list)
}

// postPlannedStop adds a planned stop and replaces an earlier one of the same VM.
func (s *Server) postPlannedStop(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	if err != nil {
		s.writeProblem(w, problemFromError(err))
		return
	}
	var stop configuration.PlannedStop
	faults := fieldcheck.Decode(data, &stop)
	faults = fieldcheck.Merge(faults, fieldcheck.Validate(stop))
	if len(faults) > 0 {
		s.writeProblem(w, problemFromError(&configuration.InvalidDocumentError{Faults: faults}))
		return
	}
	now := time.Now()
	if stop.NotBefore.IsZero() {
		// A stop without a time would also apply to a daemon that is started later
		// on the same VM.
		stop.NotBefore = now
	}
	s.editPlannedStops(w, r, func(stops []configuration.PlannedStop) ([]configuration.PlannedStop, error) {
		return append(withoutVM(withoutExpired(stops, now), stop.VM), stop), nil
	})
}

func (s *Server) deletePlannedStop(w http.ResponseWriter, r *http.Request) {
	vm := ports.VMName(mux.Vars(r)["vm"])
	s.editPlannedStops(w, r, func(stops []configuration.PlannedStop) ([]configuration.PlannedStop, error) {
		rest := withoutVM(stops, vm)
		if len(rest) == len(stops) {
			return nil, &problemError{problem: newProblem(http.StatusNotFound, ports.OperatorReasonUnknownStop,
				"no stop is planned for "+string(vm))}
		}
		return rest, nil
	})
}

// editPlannedStops stores the result of change as the next revision and answers
// with its summary or the problem.
func (s *Server) editPlannedStops(w http.ResponseWriter, r *http.Request, change func([]configuration.PlannedStop) ([]configuration.PlannedStop, error)) {
	applyID, err := readApplyID(r)
	if err != nil {
		s.writeProblem(w, problemFromError(err))
		return
	}
	s.applyEdit(w, func() (configuration.RevisionSummary, error) {
		return s.params.Editor.EditStops(r.Context(), ports.StopsEdit{ApplyID: applyID, Author: operatorNameOf(r), Change: change})
	})
}

// withoutExpired returns a copy of the list without the stops whose time is more
// than plannedStopRetention ago.
func withoutExpired(stops []configuration.PlannedStop, now time.Time) []configuration.PlannedStop {
	return slices.DeleteFunc(slices.Clone(stops), func(stop configuration.PlannedStop) bool {
		return !stop.NotBefore.IsZero() && stop.NotBefore.Before(now.Add(-plannedStopRetention))
	})
}

// withoutVM returns a copy of the list without the VM's stop.
func withoutVM(stops []configuration.PlannedStop, vm ports.VMName) []configuration.PlannedStop {
	return slices.DeleteFunc(slices.Clone(stops), func(stop configuration.PlannedStop) bool {
		return stop.VM == vm
	})
}
