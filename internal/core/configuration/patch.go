package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
)

// PatchError reports a patch that is not a JSON object or does not lead from its
// base to the expected document.
type PatchError struct {
	Cause string
}

// Error implements error.
func (e *PatchError) Error() string {
	return "patch does not apply: " + e.Cause
}

// CreatePatch returns the JSON merge patch (RFC 7396) that turns one document
// into another.
func CreatePatch(from, to Document) []byte {
	patch := createMergePatch(toJSONObject(from), toJSONObject(to))
	data, err := json.Marshal(patch)
	if err != nil {
		// Decoded JSON can always be encoded again.
		panic(err)
	}
	return data
}

// ApplyPatch applies a JSON merge patch to the base and returns the validated
// result. It fails with *PatchError or *InvalidDocumentError.
func ApplyPatch(base Document, patch []byte) (Document, error) {
	var patchObject map[string]any
	if err := decodeObject(patch, &patchObject); err != nil {
		return Document{}, &PatchError{Cause: err.Error()}
	}
	merged, err := json.Marshal(applyMergePatch(toJSONObject(base), patchObject))
	if err != nil {
		return Document{}, &PatchError{Cause: err.Error()}
	}
	return Parse(merged)
}

// toJSONObject returns the document as a generic JSON object, with numbers as
// json.Number so that they lose no precision.
func toJSONObject(document Document) map[string]any {
	var result map[string]any
	if err := decodeObject(Canonical(document), &result); err != nil {
		// Canonical JSON is always one object.
		panic(err)
	}
	return result
}

func decodeObject(data []byte, target *map[string]any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(target); err != nil {
		return &PatchError{Cause: fmt.Sprintf("not a JSON object: %v", err)}
	}
	return nil
}

// createMergePatch marks a removed member by null. This is unambiguous because
// documents contain no null.
func createMergePatch(from, to map[string]any) map[string]any {
	patch := map[string]any{}
	for name := range from {
		if _, inTo := to[name]; !inTo {
			patch[name] = nil
		}
	}
	for name, newValue := range to {
		oldValue, inFrom := from[name]
		if inFrom && reflect.DeepEqual(oldValue, newValue) {
			continue
		}
		oldObject, oldIsObject := oldValue.(map[string]any)
		newObject, newIsObject := newValue.(map[string]any)
		if oldIsObject && newIsObject {
			patch[name] = createMergePatch(oldObject, newObject)
			continue
		}
		patch[name] = newValue
	}
	return patch
}

func applyMergePatch(base, patch map[string]any) map[string]any {
	result := map[string]any{}
	for name, value := range base {
		result[name] = value
	}
	for name, value := range patch {
		nestedPatch, patchIsObject := value.(map[string]any)
		nestedBase, baseIsObject := result[name].(map[string]any)
		switch {
		case value == nil:
			delete(result, name)
		case patchIsObject && baseIsObject:
			result[name] = applyMergePatch(nestedBase, nestedPatch)
		default:
			result[name] = value
		}
	}
	return result
}
