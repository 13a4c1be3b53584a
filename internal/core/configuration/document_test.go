package configuration

import (
	"errors"
	"strings"
	"testing"
	"time"
)

const (
	digestA = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
	digestB = "fedcba9876543210fedcba9876543210fedcba9876543210fedcba9876543210"
)

const validDocument = `{
  "services": {"drafter": {"kind": "engine", "defaultClass": "short"}},
  "classes": {"short": {"firstTokenWithin": "1s", "answerWithin": "30s"}},
  "workspaces": {"border": {"keyDigests": ["` + digestA + `"]}}
}`

func mustParse(t *testing.T, text string) Document {
	t.Helper()
	document, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return document
}

func TestParseReportsAllFaultsAtOnce(t *testing.T) {
	text := `{
	  "services": {"a": {"kind": "batch", "defaultClass": "none", "maxInFlight": 0}, "b!": {"kind": "plain", "defaultClass": "short", "weight": 3}},
	  "classes": {"short": {"firstTokenWithin": "2m", "answerWithin": "30s"}, "late": {"firstTokenWithin": "1s"}},
	  "workspaces": {
	    "x": {"shareTarget": -1, "keyDigests": ["` + digestA + `", "zz"]},
	    "y": {"keyDigests": ["` + digestA + `"]}},
	  "plannedStops": [{"vm": "vm-1"}, {"vm": "vm-1", "notBefore": "soon"}]
	}`
	want := map[string]string{
		"services[a].kind":                "one of engine, plain",
		"services[a].defaultClass":        "one of the classes: late, short",
		"services[a].maxInFlight":         "no field for the default",
		"services[b!]":                    "letters",
		"services[b!].weight":             "no such field",
		"classes[short].firstTokenWithin": "at most answerWithin, 30s",
		"classes[late].answerWithin":      "1ms to 24h",
		"classes[late].firstTokenWithin":  "at most answerWithin",
		"workspaces[x].shareTarget":       "0.001 to 1000",
		"workspaces[x].keyDigests[1]":     "64 characters",
		"workspaces[y].keyDigests[0]":     "stands nowhere else",
		"plannedStops[1].notBefore":       "a time",
		"plannedStops[1].vm":              "each VM once",
	}
	_, err := Parse([]byte(text))
	var invalid *InvalidDocumentError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v", err)
	}
	for _, fault := range invalid.Faults {
		allowed, expected := want[fault.Path]
		if !expected || !strings.Contains(fault.Allowed, allowed) {
			t.Errorf("unexpected fault %v", fault)
		}
		delete(want, fault.Path)
	}
	if len(want) > 0 {
		t.Errorf("faults not reported: %v", want)
	}
}

func TestParseRequiresClass(t *testing.T) {
	if _, err := Parse([]byte(`{"services": {}, "classes": {}, "workspaces": {}}`)); err == nil {
		t.Error("a document without classes was accepted")
	}
}

func TestWithDefaultsDoesNotModifyDocument(t *testing.T) {
	document := mustParse(t, validDocument)
	before := Digest(document)
	withDefaults := document.WithDefaults()
	if withDefaults.Services["drafter"].MaxInFlight != DefaultEngineMaxInFlight || withDefaults.Workspaces["border"].ShareTarget != 1 {
		t.Errorf("defaults are missing: %+v", withDefaults)
	}
	if Digest(document) != before {
		t.Error("the document was changed")
	}
}

func TestWorkspaceByKeyDigest(t *testing.T) {
	revision, err := NewRevision(1, "id", "alice", time.Unix(1, 0), mustParse(t, validDocument))
	if err != nil {
		t.Fatal(err)
	}
	if id, found := revision.WorkspaceByKeyDigest(digestA); !found || id != "border" {
		t.Errorf("got %q, %t", id, found)
	}
	if _, found := revision.WorkspaceByKeyDigest(digestB); found {
		t.Error("found a workspace for an unknown digest")
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"classes":{"a":null}}`))
	f.Add([]byte(`[1,{"a":2}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		document, err := Parse(data)
		var invalid *InvalidDocumentError
		if err != nil {
			if !errors.As(err, &invalid) || len(invalid.Faults) == 0 {
				t.Errorf("got %v", err)
			}
			return
		}
		reparsed, err := Parse(Canonical(document))
		if err != nil || Digest(reparsed) != Digest(document) {
			t.Errorf("an accepted document changes when its canonical form is parsed: %v", err)
		}
	})
}

// A time with an offset may be in a year that JSON can't express in UTC. Such a
// document is invalid; its canonical form would not exist.
func TestPlannedStopOutsideYearsOfJSONIsInvalid(t *testing.T) {
	for _, text := range []string{"0000-01-01T00:00:00+05:00", "9999-12-31T23:00:00-05:00"} {
		document, err := Parse([]byte(`{"classes": {"a": {"firstTokenWithin": "1s", "answerWithin": "2s"}}, "services": {}, "plannedStops": [{"vm": "vm-1", "notBefore": "` + text + `"}]}`))
		var invalid *InvalidDocumentError
		if !errors.As(err, &invalid) {
			t.Errorf("%s: got document %+v, %v; want an InvalidDocumentError", text, document, err)
			continue
		}
		if len(invalid.Faults) != 1 || invalid.Faults[0].Path != "plannedStops[0].notBefore" {
			t.Errorf("%s: got faults %+v", text, invalid.Faults)
		}
	}
}
