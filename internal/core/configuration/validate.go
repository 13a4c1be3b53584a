package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"hawthornstream/internal/core/fieldcheck"
)

// Validate checks the ranges and cross-references of a document. It fails with
// *InvalidDocumentError, which lists all faults.
func Validate(document Document) error {
	if faults := findFaults(document); len(faults) > 0 {
		return &InvalidDocumentError{Faults: faults}
	}
	return nil
}

func findFaults(document Document) []fieldcheck.Fault {
	faults := fieldcheck.Validate(document)
	faults = fieldcheck.Merge(faults, checkServices(document))
	faults = fieldcheck.Merge(faults, checkClasses(document))
	faults = fieldcheck.Merge(faults, checkRoutes(document))
	faults = fieldcheck.Merge(faults, checkKeyDigests(document))
	faults = fieldcheck.Merge(faults, checkPlannedStops(document))
	return faults
}

// checkNames reports names that an operator may not give. All other names in the document
// refer to these.
func checkNames(document Document) []fieldcheck.Fault {
	faults := checkNamesOf("services", document.Services)
	faults = append(faults, checkNamesOf("classes", document.Classes)...)
	faults = append(faults, checkNamesOf("workspaces", document.Workspaces)...)
	faults = append(faults, checkNamesOf("routes", document.Routes)...)
	for _, name := range sortedKeys(document.Workspaces) {
		path := fmt.Sprintf("workspaces[%s].allowedRegions", name)
		faults = append(faults, checkRegionNames(path, document.Workspaces[name].AllowedRegions)...)
	}
	for _, name := range sortedKeys(document.Routes) {
		path := fmt.Sprintf("routes[%s].allowedRegions", name)
		faults = append(faults, checkRegionNames(path, document.Routes[name].AllowedRegions)...)
	}
	return faults
}

func checkNamesOf[K ~string, V any](section string, entries map[K]V) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	for _, name := range sortedKeys(entries) {
		if !fieldcheck.IsValidName(string(name)) {
			faults = append(faults, newFault(fmt.Sprintf("%s[%s]", section, name), name, fieldcheck.NameFormat))
		}
	}
	return faults
}

func checkRegionNames(path string, regions []Region) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	for i, region := range regions {
		if !fieldcheck.IsValidName(string(region)) {
			faults = append(faults, newFault(fmt.Sprintf("%s[%d]", path, i), region, fieldcheck.NameFormat))
		}
	}
	return faults
}

// checkServices reports services whose default class is undefined.
func checkServices(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	validClasses := joinClassNames(document)
	for _, name := range sortedKeys(document.Services) {
		class := document.Services[name].DefaultClass
		if _, found := document.Classes[class]; !found {
			path := fmt.Sprintf("services[%s].defaultClass", name)
			faults = append(faults, newFault(path, class, "one of the classes: "+validClasses))
		}
	}
	return faults
}

func joinClassNames(document Document) string {
	var names []string
	for _, name := range sortedKeys(document.Classes) {
		names = append(names, string(name))
	}
	return strings.Join(names, ", ")
}

// checkClasses reports classes whose first-token target exceeds their deadline.
func checkClasses(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	for _, name := range sortedKeys(document.Classes) {
		for _, fault := range checkClass(document.Classes[name]) {
			fault.Path = fmt.Sprintf("classes[%s].%s", name, fault.Path)
			faults = append(faults, fault)
		}
	}
	return faults
}

// checkKeyDigests reports digests that occur more than once in the document.
func checkKeyDigests(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	firstPaths := map[string]string{}
	for _, id := range sortedKeys(document.Workspaces) {
		for i, digest := range document.Workspaces[id].KeyDigests {
			path := fmt.Sprintf("workspaces[%s].keyDigests[%d]", id, i)
			if firstPath, duplicate := firstPaths[digest]; duplicate {
				faults = append(faults, newFault(path, digest, "a digest that stands nowhere else, not at "+firstPath))
				continue
			}
			firstPaths[digest] = path
		}
	}
	return faults
}

// maxYear is the last year that JSON can express; the first is zero.
const maxYear = 9999

// checkPlannedStops reports VMs that have more than one planned stop, and times that
// JSON can't express in UTC.
func checkPlannedStops(document Document) []fieldcheck.Fault {
	var faults []fieldcheck.Fault
	seenVMs := map[VMName]bool{}
	for i, stop := range document.PlannedStops {
		if seenVMs[stop.VM] {
			path := fmt.Sprintf("plannedStops[%d].vm", i)
			faults = append(faults, newFault(path, stop.VM, "each VM once"))
		}
		seenVMs[stop.VM] = true
		if year := stop.NotBefore.UTC().Year(); year < 0 || year > maxYear {
			path := fmt.Sprintf("plannedStops[%d].notBefore", i)
			faults = append(faults, newFault(path, stop.NotBefore.String(), "a time in the years 0 to 9999 in UTC"))
		}
	}
	return faults
}

// newFault returns a fault that shows the value as JSON.
func newFault(path string, value any, allowed string) fieldcheck.Fault {
	encoded, _ := json.Marshal(value)
	return fieldcheck.NewFault(path, string(encoded), allowed)
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
