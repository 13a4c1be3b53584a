package configuration

import "testing"

func TestSpilloverSectionIsValidated(t *testing.T) {
	base := `{"classes":{"c":{"firstTokenWithin":"1s","answerWithin":"10s"}},"spillover":`
	for text, valid := range map[string]bool{
		`{}`: true, `{"crossRegion":{"delay":"12ms","pricePerMegabyte":3}}`: true,
		`{"crossRegion":{"delay":"20s"}}`: false, `{"sameRegion":{"pricePerMegabyte":-1}}`: false, `{"other":1}`: false,
	} {
		document, err := Parse([]byte(base + text + "}"))
		if (err == nil) != valid {
			t.Errorf("%s: %v", text, err)
		}
		if valid && (document.Spillover == nil || document.Spillover.WithDefaults().SameRegion.Delay == 0) {
			t.Errorf("%s: got %+v", text, document.Spillover)
		}
	}
}
