package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"hawthornstream/internal/core/fieldcheck"
)

// Validate checks a document's ranges and references. It fails with
// *InvalidDocumentError, which lists all faults.
func Validate(document Document) error {
	if faults := check(document); len(faults) > 0 {
		return &InvalidDocumentError{Faults: faults}
	}
	return nil
}

func check(document Document) []fieldcheck.Fault {
	faults := fieldcheck.Validate(document)
	faults = fieldcheck.Merge(faults, checkServices(document))
	faults = fieldcheck.Merge(faults, checkClasses(document))
	faults = fieldcheck.Merge(faults, checkRoutes(document))
	faults = fieldcheck.Merge(faults, checkKeys(document))
	faults = fieldcheck.Merge(faults, checkStops(document))
	return faults
}

func checkServices(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	names := classNames(document)
	for _, name := range sortedKeys(document.Services) {
		class := document.Services[name].DefaultClass
		if _, found := document.Classes[class]; !found {
			path := fmt.Sprintf("services[%s].defaultClass", name)
			faults = append(faults, fault(path, class, "one of the classes: "+names))
		}
	}
	return faults
}

func classNames(document Document) string {
	var names []string
	for _, name := range sortedKeys(document.Classes) {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}

func checkClasses(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	for _, name := range sortedKeys(document.Classes) {
		class := document.Classes[name]
		if class.FirstTokenWithin > class.AnswerWithin {
			path := fmt.Sprintf("classes[%s].firstTokenWithin", name)
			allowed := fmt.Sprintf("at most answerWithin, %s", class.AnswerWithin.Value())
			faults = append(faults, fault(path, class.FirstTokenWithin, allowed))
		}
	}
	return faults
}

func checkKeys(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	owners := map[string]string{}
	for _, id := range sortedKeys(document.Workspaces) {
		for i, digest := range document.Workspaces[id].KeyDigests {
			path := fmt.Sprintf("workspaces[%s].keyDigests[%d]", id, i)
			if earlier, taken := owners[digest]; taken {
				faults = append(faults, fault(path, digest, "a digest that stands nowhere else, not at "+earlier))
				continue
			}
			owners[digest] = path
		}
	}
	return faults
}

func checkStops(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	seen := map[VMName]bool{}
	for i, stop := range document.PlannedStops {
		if seen[stop.VM] {
			path := fmt.Sprintf("plannedStops[%d].vm", i)
			faults = append(faults, fault(path, stop.VM, "each VM once"))
		}
		seen[stop.VM] = true
	}
	return faults
}

func fault(path string, value any, allowed string) fieldcheck.Fault {
	shown, _ := json.Marshal(value)
	return fieldcheck.NewFault(path, string(shown), allowed)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
