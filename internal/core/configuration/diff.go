package configuration

import (
	"encoding/json"
	"reflect"
)

// Change is one field that differs between two documents.
type Change struct {
	// Path is the field's path, such as "workspaces.shop-1.shareTarget".
	Path string `json:"path"`
	// Old is absent when the field was added.
	Old json.RawMessage `json:"old,omitempty"`
	// New is absent when the field was removed.
	New json.RawMessage `json:"new,omitempty"`
}

// Diff returns the fields that differ between two documents, sorted by name at
// each level. A list is compared as one value: if it differs, the change holds
// the whole old and new list.
func Diff(from, to Document) []Change {
	return diffObjects("", toJSONObject(from), toJSONObject(to), []Change{})
}

// diffObjects appends the differences between two JSON objects to changes.
func diffObjects(path string, from, to map[string]any, changes []Change) []Change {
	for _, name := range sortedKeys(unionOfKeys(from, to)) {
		oldValue, inOld := from[name]
		newValue, inNew := to[name]
		if inOld && inNew && reflect.DeepEqual(oldValue, newValue) {
			continue
		}
		memberPath := joinPath(path, name)
		oldObject, oldIsObject := oldValue.(map[string]any)
		newObject, newIsObject := newValue.(map[string]any)
		if oldIsObject && newIsObject {
			changes = diffObjects(memberPath, oldObject, newObject, changes)
			continue
		}
		changes = append(changes, newChange(memberPath, oldValue, inOld, newValue, inNew))
	}
	return changes
}

// newChange leaves out the value of a side that lacks the field.
func newChange(path string, oldValue any, inOld bool, newValue any, inNew bool) Change {
	result := Change{Path: path}
	if inOld {
		result.Old, _ = json.Marshal(oldValue)
	}
	if inNew {
		result.New, _ = json.Marshal(newValue)
	}
	return result
}

func unionOfKeys(a, b map[string]any) map[string]bool {
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	return names
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
