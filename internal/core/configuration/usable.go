package configuration

import (
	"fmt"

	"hawthornstream/internal/core/fieldcheck"
)

// WithoutUnusable returns the document without the services, classes, workspaces and routes
// that make it invalid, and a fault for each of them. A limit that is invalid gets its
// default, as does the default class of a service. A key that two workspaces have stays with
// the first one by name.
//
// Load pattern: a platform accepts documents by rules of its own. An entry that can't be used
// must not keep the keys and routes that the others drop in force.
func WithoutUnusable(document Document) (Document, []fieldcheck.Fault) {
	f := &entryFilter{}
	document.Classes = keepUsable(f, "classes", document.Classes, checkClass)
	document.Services = keepUsable(f, "services", withDefaultClasses(document), nil)
	document.Workspaces = keepUsable(f, "workspaces", document.Workspaces, nil)
	f.dropRepeatedKeys(document.Workspaces)
	document.Routes = keepUsable(f, "routes", document.Routes, func(route Route) []fieldcheck.Fault {
		return checkRoute("", route, document)
	})
	if faults := fieldcheck.Validate(document.Limits); len(faults) > 0 {
		f.add("limits", faults[0])
		document.Limits = Limits{}
	}
	return document, f.faults
}

// entryFilter collects the faults of the entries that are left out.
type entryFilter struct {
	faults []fieldcheck.Fault
}

// add adds a fault whose path is relative to an entry.
func (f *entryFilter) add(entry string, fault fieldcheck.Fault) {
	if fault.Path != "" {
		entry += "." + fault.Path
	}
	fault.Path = entry
	f.faults = append(f.faults, fault)
}

// keepUsable returns the entries without faults. Of each other entry, the first fault is
// added. check may be nil.
func keepUsable[K ~string, V any](
	f *entryFilter, section string, entries map[K]V, check func(V) []fieldcheck.Fault,
) map[K]V {
	usable := make(map[K]V, len(entries))
	for _, name := range sortedKeys(entries) {
		entry := entries[name]
		faults := fieldcheck.Validate(entry)
		if !fieldcheck.IsLabel(string(name)) {
			faults = append(faults, newFault("", name, fieldcheck.LabelFormat))
		}
		if check != nil {
			faults = append(faults, check(entry)...)
		}
		if len(faults) > 0 {
			f.add(fmt.Sprintf("%s[%s]", section, name), faults[0])
			continue
		}
		usable[name] = entry
	}
	return usable
}

// checkClass reports a class whose first-token target exceeds its deadline.
func checkClass(class Class) []fieldcheck.Fault {
	if class.FirstTokenWithin <= class.AnswerWithin {
		return nil
	}
	allowed := fmt.Sprintf("at most answerWithin, %s", class.AnswerWithin.Value())
	return []fieldcheck.Fault{newFault("firstTokenWithin", class.FirstTokenWithin, allowed)}
}

// withDefaultClasses returns the services, those without a defined default class with the
// first class by name.
func withDefaultClasses(document Document) map[ServiceName]Service {
	classes := sortedKeys(document.Classes)
	services := make(map[ServiceName]Service, len(document.Services))
	for name, service := range document.Services {
		if _, defined := document.Classes[service.DefaultClass]; !defined && len(classes) > 0 {
			service.DefaultClass = classes[0]
		}
		services[name] = service
	}
	return services
}

// dropRepeatedKeys leaves out keys that an earlier workspace has.
func (f *entryFilter) dropRepeatedKeys(workspaces map[WorkspaceID]Workspace) {
	seen := make(map[string]bool)
	for _, name := range sortedKeys(workspaces) {
		workspace := workspaces[name]
		var digests []string
		for i, digest := range workspace.KeyDigests {
			if seen[digest] {
				f.add(fmt.Sprintf("workspaces[%s]", name), newFault(fmt.Sprintf("keyDigests[%d]", i), digest, "a digest that stands nowhere else"))
				continue
			}
			seen[digest] = true
			digests = append(digests, digest)
		}
		workspace.KeyDigests = digests
		workspaces[name] = workspace
	}
}
