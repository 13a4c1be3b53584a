package configuration

import (
	"encoding/json"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// schemaObject holds the parts of a JSON schema that list fields.
type schemaObject struct {
	Required   []string                `json:"required"`
	Properties map[string]any          `json:"properties"`
	Defs       map[string]schemaObject `json:"$defs"`
}

func TestSchemaListsEveryField(t *testing.T) {
	data, err := os.ReadFile("../../../docs/configuration.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	var schema schemaObject
	if err := json.Unmarshal(data, &schema); err != nil {
		t.Fatal(err)
	}
	for name, testCase := range map[string]struct {
		object schemaObject
		goType reflect.Type
	}{
		"document":    {schema, reflect.TypeFor[Document]()},
		"service":     {schema.Defs["service"], reflect.TypeFor[Service]()},
		"class":       {schema.Defs["class"], reflect.TypeFor[Class]()},
		"workspace":   {schema.Defs["workspace"], reflect.TypeFor[Workspace]()},
		"plannedStop": {schema.Defs["plannedStop"], reflect.TypeFor[PlannedStop]()},
		"route":       {schema.Defs["route"], reflect.TypeFor[Route]()},
		"spillover":   {schema.Defs["spillover"], reflect.TypeFor[Spillover]()},
		"link":        {schema.Defs["link"], reflect.TypeFor[Link]()},
		"limits":      {schema.Defs["limits"], reflect.TypeFor[Limits]()},
	} {
		var fields []string
		for i := range testCase.goType.NumField() {
			field, _, _ := strings.Cut(testCase.goType.Field(i).Tag.Get("json"), ",")
			fields = append(fields, field)
		}
		slices.Sort(fields)
		if got := slices.Sorted(maps.Keys(testCase.object.Properties)); !slices.Equal(got, fields) {
			t.Errorf("%s: the schema has %v, the type %v", name, got, fields)
		}
	}
}
