package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"
)

// plannedSizeDocument returns a document of the size that the fleet is designed
// for: 260 workspaces with two keys each, 29 services and ten classes. The
// variant selects the share target of the first workspace.
func plannedSizeDocument(variant int) Document {
	document := Document{
		Services:   map[ServiceName]Service{},
		Classes:    map[ClassName]Class{},
		Workspaces: map[WorkspaceID]Workspace{},
	}
	for i := range 10 {
		class := Class{FirstTokenWithin: Duration(time.Second), AnswerWithin: Duration(time.Minute)}
		document.Classes[ClassName(fmt.Sprintf("class-%d", i))] = class
	}
	for i := range 29 {
		service := Service{Kind: ServiceKindEngine, DefaultClass: "class-0", MaxInFlight: 64}
		document.Services[ServiceName(fmt.Sprintf("model-%d", i))] = service
	}
	for i := range 260 {
		workspace := Workspace{
			ShareTarget: 1 + float64(variant%100)/100,
			KeyDigests:  []string{testKeyDigest(2 * i), testKeyDigest(2*i + 1)},
		}
		if i > 0 {
			workspace.ShareTarget = 0
		}
		document.Workspaces[WorkspaceID(fmt.Sprintf("workspace-%d", i))] = workspace
	}
	return document
}

func testKeyDigest(seed int) string {
	sum := sha256.Sum256([]byte{byte(seed), byte(seed >> 8)})
	return hex.EncodeToString(sum[:])
}

func BenchmarkAppendAtPlannedSize(b *testing.B) {
	chain := Chain{}
	for i := 0; b.Loop(); i++ {
		next, err := chain.Append(Edit{Base: chain.CurrentNumber(), ApplyID: fmt.Sprint(i), Document: plannedSizeDocument(i)}, testTime)
		if err != nil {
			b.Fatal(err)
		}
		chain = next
	}
	data, err := chain.Encode()
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(len(data)), "object-bytes")
}

func BenchmarkApplyPatchAtPlannedSize(b *testing.B) {
	before, after := plannedSizeDocument(1), plannedSizeDocument(2)
	patch := CreatePatch(before, after)
	for b.Loop() {
		document, err := ApplyPatch(before, patch)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := NewRevision(1, "id", "", testTime, document); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(patch)), "patch-bytes")
	b.ReportMetric(float64(len(Canonical(after))), "document-bytes")
}

func BenchmarkParseChainAtPlannedSize(b *testing.B) {
	chain := Chain{}
	for i := range maxHistoryEntries {
		next, err := chain.Append(Edit{Base: chain.CurrentNumber(), ApplyID: fmt.Sprint(i), Document: plannedSizeDocument(i)}, testTime)
		if err != nil {
			b.Fatal(err)
		}
		chain = next
	}
	data, err := chain.Encode()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := ParseChain(data); err != nil {
			b.Fatal(err)
		}
	}
}
