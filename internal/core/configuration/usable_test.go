package configuration

import (
	"slices"
	"testing"
	"time"
)

// Each of these entries made the whole document invalid.
func TestWithoutUnusableKeepsTheOtherEntries(t *testing.T) {
	second := Duration(time.Second)
	document := Document{
		Services: map[ServiceName]Service{
			"sound": {Kind: ServiceKindPlain, DefaultClass: "inverted"}, "batch": {Kind: "batch", DefaultClass: "sound"},
			"": {Kind: ServiceKindPlain, DefaultClass: "sound"},
		},
		Classes: map[ClassName]Class{
			"sound": {FirstTokenWithin: second, AnswerWithin: second}, "inverted": {FirstTokenWithin: 2 * second, AnswerWithin: second}, "zero": {},
		},
		Workspaces: map[WorkspaceID]Workspace{
			"a@b": {KeyDigests: []string{digestA}}, "c": {KeyDigests: []string{digestA, digestB}}, "d": {KeyDigests: []string{"short"}}, "e\n": {},
		},
		Routes: map[RouteName]Route{},
		Limits: Limits{Body: -1, TokensPerSecond: 7},
	}
	route := func(class ClassName, prefix string, services ...ServiceName) Route {
		r := Route{Host: "h", PathPrefix: prefix, Class: class}
		for _, service := range services {
			r.Split = append(r.Split, WeightedService{Service: service, Weight: 1})
		}
		return r
	}
	document.Routes["sound"] = route("sound", "/", "sound")
	document.Routes["class"] = route("inverted", "/", "sound")
	document.Routes["service"] = route("sound", "/", "sound", "batch")
	document.Routes["prefix"] = route("sound", "/x", "sound")
	document.Routes["split"] = route("sound", "/")
	usable, faults := WithoutUnusable(document)
	revision, err := NewRevision(1, "", "", time.Now(), usable)
	if err != nil {
		t.Fatal(err)
	}
	if _, found := revision.MatchRoute("h", "/"); !found || len(usable.Routes) != 1 || len(usable.Services) != 1 || len(usable.Classes) != 1 {
		t.Errorf("got %+v", usable)
	}
	if first, _ := revision.WorkspaceByKeyDigest(digestA); first != "a@b" || len(usable.Workspaces) != 2 {
		t.Errorf("the key is that of %q; workspaces %+v", first, usable.Workspaces)
	}
	if other, _ := revision.WorkspaceByKeyDigest(digestB); other != "c" {
		t.Errorf("the key that only c has is that of %q", other)
	}
	var paths []string
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	slices.Sort(paths)
	want := []string{
		"classes[inverted].firstTokenWithin", "classes[zero].firstTokenWithin", "limits.body", "routes[class].class",
		"routes[prefix].pathPrefix", "routes[service].split[1].service", "routes[split].split", "services[]", "services[batch].kind",
		"workspaces[c].keyDigests[0]", "workspaces[d].keyDigests[0]", "workspaces[e\n]",
	}
	if !slices.Equal(paths, want) {
		t.Errorf("got faults at %q, want %q", paths, want)
	}
	if same, faults := WithoutUnusable(mustParse(t, validDocument)); len(faults) > 0 || Digest(same) != Digest(mustParse(t, validDocument)) {
		t.Errorf("a valid document was changed: %v", faults)
	}
}
