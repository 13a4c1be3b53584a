package configuration

import (
	"errors"
	"fmt"
	"testing"
	"time"
)

func routedDocument() Document {
	route := func(host, prefix string, shares ...RouteShare) Route {
		return Route{Host: host, PathPrefix: prefix, Class: "c", Split: shares}
	}
	all := RouteShare{Service: "s1", Weight: 1}
	return Document{
		Services: map[ServiceName]Service{
			"s1": {Kind: ServiceKindPlain, DefaultClass: "c"}, "s2": {Kind: ServiceKindPlain, DefaultClass: "c"},
		},
		Classes: map[ClassName]Class{"c": {FirstTokenWithin: Duration(time.Second), AnswerWithin: Duration(time.Second)}},
		Routes: map[RouteName]Route{
			"root":  route("a.example", "/", all),
			"x":     route("a.example", "/x/", all),
			"x-y":   route("a.example", "/x/y/", RouteShare{Service: "s1", Weight: 90}, RouteShare{Service: "s2", Weight: 10}),
			"other": route("B.example", "/x/", all),
		},
	}
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	revision, err := NewRevision(1, "", "", time.Time{}, routedDocument())
	if err != nil {
		t.Fatal(err)
	}
	for target, want := range map[[2]string]RouteName{
		{"a.example", "/x/y/z"}: "x-y",
		{"a.example", "/x/yz"}:  "x",
		{"A.Example", "/x"}:     "root",
		{"b.example", "/x/1"}:   "other",
		{"b.example", "/y/1"}:   "",
		{"c.example", "/x/1"}:   "",
	} {
		route, found := revision.Route(target[0], target[1])
		if found != (want != "") || found && route.Name != want {
			t.Errorf("%v goes to %+v, want %q", target, route, want)
		}
	}
}

func TestSplitFollowsItsWeights(t *testing.T) {
	revision, err := NewRevision(1, "", "", time.Time{}, routedDocument())
	if err != nil {
		t.Fatal(err)
	}
	route, _ := revision.Route("a.example", "/x/y/")
	second := 0
	for i := range 10000 {
		id := fmt.Sprint("call-", i)
		service := route.ServiceFor(id)
		if service != route.ServiceFor(id) {
			t.Fatal("the tries of a call go to different services")
		}
		if service == "s2" {
			second++
		}
	}
	if second < 800 || second > 1200 {
		t.Errorf("%d of 10000 calls go to the service with a tenth of the weight", second)
	}
}

func TestRoutesOfUnknownServicesAndClassesAreFaults(t *testing.T) {
	document := routedDocument()
	document.Routes["bad"] = Route{
		Host: "a.example", PathPrefix: "x", Class: "none", Split: []RouteShare{{Service: "none", Weight: 1}},
	}
	var invalid *InvalidDocumentError
	if err := Validate(document); !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	paths := map[string]bool{}
	for _, fault := range invalid.Faults {
		paths[fault.Path] = true
	}
	for _, want := range []string{"routes[bad].pathPrefix", "routes[bad].class", "routes[bad].split[0].service"} {
		if !paths[want] {
			t.Errorf("no fault at %s in %v", want, invalid.Faults)
		}
	}
}
