package fieldcheck

import (
	"strings"
	"testing"
	"unicode/utf8"
)

type testPart struct {
	Count int            `json:"count" validate:"between=1 5" fieldcheck:"notzero"`
	Names []string       `json:"names"`
	Sizes map[string]int `json:"sizes"`
	Part  *struct{}      `json:"-"`
}

type testDocument struct {
	Parts []testPart `json:"parts"`
	Ratio float64    `json:"ratio" validate:"between=0.5 2"`
}

func joinPaths(faults []Fault) string {
	var paths []string
	for _, fault := range faults {
		paths = append(paths, fault.Path)
	}
	return strings.Join(paths, " ")
}

func TestDecodeReportsPathOfEachFault(t *testing.T) {
	for text, want := range map[string]string{
		`{"parts": [{"count": 3, "names": ["a"], "sizes": {"x": 1}}], "ratio": 1}`: "",
		`{"parts": [{"count": "3"}, {"count": 1.5}, {"count": 0}]}`:                "parts[0].count parts[1].count parts[2].count",
		`{"parts": [{"names": ["a", 2]}], "ratio": true}`:                          "parts[0].names[1] ratio",
		`{"parts": [{"sizes": {"x": null, "y": []}}]}`:                             "parts[0].sizes[x] parts[0].sizes[y]",
		`{"parts": {}, "other": 1}`:                                                "parts other",
		`{"ratio": 1, "ratio": 2}`:                                                 "ratio",
		`{"Ratio": 1}`:                                                             "Ratio",
		`{"parts": [{"Part": {}}]}`:                                                "parts[0].Part",
	} {
		var target testDocument
		if got := joinPaths(Decode([]byte(text), &target)); got != want {
			t.Errorf("%s: got faults at %q, want %q", text, got, want)
		}
	}
}

func TestDecodeReportsInvalidTextAsOneFault(t *testing.T) {
	for _, text := range []string{"", "{", "{} {}", `{"a": 1,}`, "null", "[]"} {
		var target testDocument
		if faults := Decode([]byte(text), &target); len(faults) != 1 || faults[0].Path != "" {
			t.Errorf("%q: got %v, want one fault without a path", text, faults)
		}
	}
}

func TestDecodeKeepsAbsentFields(t *testing.T) {
	target := testDocument{Ratio: 1.5}
	if faults := Decode([]byte(`{}`), &target); len(faults) != 0 || target.Ratio != 1.5 {
		t.Errorf("got faults %v and %+v, want no fault and ratio 1.5", faults, target)
	}
}

func TestValidateChecksBothBounds(t *testing.T) {
	for ratio, valid := range map[float64]bool{0.49: false, 0.5: true, 2: true, 2.01: false} {
		if faults := Validate(testDocument{Ratio: ratio}); (len(faults) == 0) != valid {
			t.Errorf("ratio %v: got faults %v", ratio, faults)
		}
	}
}

func TestMergeKeepsEarlierFaultOfPath(t *testing.T) {
	earlier := []Fault{{Path: "a"}, {Path: "b[1]"}}
	later := []Fault{{Path: "a"}, {Path: "a.x"}, {Path: "ab"}, {Path: "b[1].y"}, {Path: "b[10]"}}
	if got := joinPaths(Merge(earlier, later)); got != "a b[1] ab b[10]" {
		t.Errorf("got paths %q", got)
	}
}

func TestNewFaultTruncatesLongValue(t *testing.T) {
	fault := NewFault("a", strings.Repeat("ä", maxValueBytes), "less")
	if len(fault.Value) > maxValueBytes+len("…") || !utf8.ValidString(fault.Value) {
		t.Errorf("value not truncated to valid UTF-8: %q", fault.Value)
	}
}
