package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var testTime = time.Unix(1_700_000_000, 0)

// generateDocument returns a valid document that is derived from the numbers.
func generateDocument(numbers []int) Document {
	document := Document{
		Services:   map[ServiceName]Service{},
		Classes:    map[ClassName]Class{"c0": {FirstTokenWithin: Duration(time.Second), AnswerWithin: Duration(time.Minute)}},
		Workspaces: map[WorkspaceID]Workspace{},
	}
	for i, n := range numbers {
		name := fmt.Sprintf("n%d", n%4)
		switch n % 5 {
		case 0:
			document.Services[ServiceName(name)] = Service{Kind: ServiceKindPlain, DefaultClass: "c0", MaxInFlight: n}
		case 1:
			document.Classes[ClassName(name)] = Class{FirstTokenWithin: Duration(time.Second), AnswerWithin: Duration(time.Hour) + Duration(n), Repeatable: n%2 == 0}
		case 2:
			document.Workspaces[WorkspaceID(name)] = Workspace{ShareTarget: float64(n) / 8}
		case 3:
			document.Workspaces[WorkspaceID(name)] = Workspace{KeyDigests: []string{fmt.Sprintf("%064x", i)}}
		case 4:
			stop := PlannedStop{VM: VMName(fmt.Sprintf("vm-%d", i)), NotBefore: testTime.Add(time.Duration(n))}
			document.PlannedStops = append(document.PlannedStops, stop)
		}
	}
	return document
}

func documentGenerator() gopter.Gen {
	return gen.SliceOf(gen.IntRange(1, 200)).Map(generateDocument)
}

func newProperties() *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(7)
	parameters.MinSuccessfulTests = 40
	return gopter.NewProperties(parameters)
}

func TestPatchAndDiffProperties(t *testing.T) {
	p := newProperties()
	p.Property("the patch from a to b, applied to a, yields b", prop.ForAll(
		func(a, b Document) bool {
			got, err := ApplyPatch(a, CreatePatch(a, b))
			return err == nil && Digest(got) == Digest(b)
		}, documentGenerator(), documentGenerator()))
	p.Property("a document has no difference from itself", prop.ForAll(
		func(a Document) bool {
			return len(Diff(a, a)) == 0 && string(CreatePatch(a, a)) == "{}"
		}, documentGenerator()))
	p.Property("a difference is empty only for equal documents", prop.ForAll(
		func(a, b Document) bool {
			return (len(Diff(a, b)) == 0) == (Digest(a) == Digest(b))
		}, documentGenerator(), documentGenerator()))
	p.TestingRun(t)
}

func TestDocumentAtReturnsEveryListedRevision(t *testing.T) {
	p := newProperties()
	p.Property("DocumentAt returns the accepted document", prop.ForAll(
		func(accepted []Document) bool {
			chain := Chain{}
			for i, document := range accepted {
				next, err := chain.Append(Edit{Base: chain.CurrentNumber(), ApplyID: fmt.Sprint(i), Document: document}, testTime)
				if err != nil {
					return false
				}
				chain = encodeAndParse(t, next)
			}
			for _, summary := range chain.History {
				document, known := chain.DocumentAt(summary.Number)
				if !known || Digest(document) != Digest(accepted[summary.Number-1]) || summary.Digest != Digest(document) {
					return false
				}
			}
			return true
		}, gen.SliceOfN(9, documentGenerator())))
	p.TestingRun(t)
}

// encodeAndParse returns the chain after a round trip through its encoded form.
func encodeAndParse(t *testing.T, chain Chain) Chain {
	t.Helper()
	data, err := chain.Encode()
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := ParseChain(data)
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

func mustAppend(t *testing.T, chain Chain, text string) Chain {
	t.Helper()
	next, err := chain.Append(Edit{
		Base:     chain.CurrentNumber(),
		ApplyID:  fmt.Sprintf("apply-%d", chain.CurrentNumber()+1),
		Author:   "alice",
		Document: mustParse(t, text),
	}, testTime)
	if err != nil {
		t.Fatal(err)
	}
	return next
}

func TestAppendToStaleBaseReturnsConflictWithDifference(t *testing.T) {
	first := mustAppend(t, Chain{}, validDocument)
	second := mustAppend(t, first, strings.Replace(validDocument, `"30s"`, `"40s"`, 1))
	third := mustAppend(t, second, strings.Replace(validDocument, `"30s"`, `"50s"`, 1))
	_, err := third.Append(Edit{Base: 1, ApplyID: "late", Document: mustParse(t, validDocument)}, testTime)
	var conflict *ConflictError
	if !errors.As(err, &conflict) {
		t.Fatalf("got %v", err)
	}
	want := Change{Path: "classes.short.answerWithin", Old: json.RawMessage(`"30s"`), New: json.RawMessage(`"50s"`)}
	if conflict.Current != 3 || conflict.Base != 1 || conflict.Oldest != 1 || conflict.Author != "alice" {
		t.Errorf("got %+v", conflict)
	}
	if len(conflict.Difference) != 1 || conflict.Difference[0].Path != want.Path ||
		string(conflict.Difference[0].Old) != string(want.Old) || string(conflict.Difference[0].New) != string(want.New) {
		t.Errorf("got difference %s", conflict.Difference)
	}
}

func TestAppendTruncatesHistory(t *testing.T) {
	chain := Chain{}
	texts := []string{validDocument, strings.Replace(validDocument, `"30s"`, `"40s"`, 1)}
	for i := range 3 * maxHistoryEntries {
		chain = mustAppend(t, chain, texts[i%2])
	}
	if len(chain.History) != maxHistoryEntries {
		t.Errorf("the history has %d entries", len(chain.History))
	}
	if !slices.IsSortedFunc(chain.History, func(a, b RevisionSummary) int { return int(b.Number) - int(a.Number) }) {
		t.Error("the history is not sorted from newest to oldest")
	}
	if _, known := chain.DocumentAt(chain.History[len(chain.History)-1].Number - 1); known {
		t.Error("a dropped revision is still known")
	}
}

func TestEncodeRejectsOversizedChain(t *testing.T) {
	document := mustParse(t, validDocument)
	document.Workspaces = map[WorkspaceID]Workspace{}
	for i := range 30_000 {
		sum := sha256.Sum256([]byte{byte(i), byte(i >> 8)})
		id := WorkspaceID(fmt.Sprintf("workspace-%d", i))
		document.Workspaces[id] = Workspace{KeyDigests: []string{hex.EncodeToString(sum[:])}}
	}
	_, err := Chain{Current: &Revision{Number: 1, Document: document}}.Encode()
	var tooLarge *ChainTooLargeError
	if !errors.As(err, &tooLarge) || tooLarge.Size <= tooLarge.Limit {
		t.Errorf("got %v", err)
	}
}

func TestParseChainRejectsCorruptValue(t *testing.T) {
	data, err := json.Marshal(mustAppend(t, Chain{}, validDocument))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := ParseChain(compress(data)); err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		"",
		"{}",
		`{"current": null}`,
		strings.Replace(string(data), `"30s"`, `"31s"`, 1),
		strings.Replace(string(data), `"number":1`, `"number":0`, 2),
		strings.Replace(string(data), `"engine"`, `"steam"`, 1),
	} {
		_, err := ParseChain(compress([]byte(text)))
		var corrupt *CorruptChainError
		if !errors.As(err, &corrupt) {
			t.Errorf("%.60q: got %v", text, err)
		}
	}
	compressed := compress(data)
	for _, value := range [][]byte{nil, data, compressed[:len(compressed)/2]} {
		_, err := ParseChain(value)
		var corrupt *CorruptChainError
		if !errors.As(err, &corrupt) {
			t.Errorf("%d bytes: got %v", len(value), err)
		}
	}
}
