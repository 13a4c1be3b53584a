package jsondepth

import (
	"encoding/json"
	"strings"
	"testing"
)

// nested returns an array of the given depth.
func nested(depth int) string {
	return strings.Repeat("[", depth) + strings.Repeat("]", depth)
}

func TestLimitReplacesOnlyDeepValues(t *testing.T) {
	deepest := strings.Repeat("[", MaxDepth-2) + "null,null" + strings.Repeat("]", MaxDepth-2)
	deep := strings.Repeat("[", MaxDepth-2) + nested(20_000) + ", {}" + strings.Repeat("]", MaxDepth-2)
	text := ` [1e999 , {"a":"]\"[", "b" : %} ,"` + "\xff" + `\ud800",` + nested(MaxDepth-1) + "]\n"
	want := strings.ReplaceAll(strings.ReplaceAll(text, "%", deepest), ", {}", ", null")
	got, err := Limit([]byte(strings.ReplaceAll(text, "%", deep)))
	if err != nil || strings.ReplaceAll(string(got), "null, null", "null,null") != want {
		t.Errorf("got %s, %v; want %s", got, err, want)
	}
}

// One element that is nested beyond the limit of encoding/json must not fail the others.
func TestUnmarshalBesideDeepElement(t *testing.T) {
	for _, depth := range []int{1, MaxDepth, 9_999, 10_000, 20_000, 1 << 19} {
		var elements []json.RawMessage
		if err := Unmarshal([]byte("[1,"+nested(depth)+",2]"), &elements); err != nil || len(elements) != 3 || string(elements[2]) != "2" {
			t.Errorf("depth %d: got %.100s, %v", depth, elements, err)
		}
	}
	for _, text := range []string{"", "NaN", "[", "[1}", "[" + nested(20_000), nested(20_000) + "]", nested(20_000) + "7"} {
		if err := Unmarshal([]byte(text), new(any)); err == nil {
			t.Errorf("decoded %.20s", text)
		}
	}
}

// The tokens of a text may end where its arrays are still open.
func TestLimitRefusesOpenText(t *testing.T) {
	for _, text := range []string{"[", "[0,[]", `{"a":{}`, strings.Repeat("[", 20_000)} {
		if limited, err := Limit([]byte(text)); err == nil {
			t.Errorf("%.20s became %.20s", text, limited)
		}
	}
}

// Text within the limit stays as it is.
func FuzzLimit(f *testing.F) {
	for _, text := range []string{`[1,{"a":[]}]`, `{"a":1,"a":{"b":2}}`, `[1e999]`, "[", `{"a"`, `["\ud800"]`, "[1] 2"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if !json.Valid([]byte(text)) {
			return
		}
		limited, err := Limit([]byte(text))
		if err != nil || !json.Valid(limited) {
			t.Fatalf("%s: got %s, %v", text, limited, err)
		}
		if len(text) < MaxDepth && string(limited) != text {
			t.Errorf("%s became %s", text, limited)
		}
	})
}
