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

// schemaObject is the part of a JSON schema that names fields.
type schemaObject struct {
	Required   []string                `json:"required"`
	Properties map[string]any          `json:"properties"`
	Defs       map[string]schemaObject `json:"$defs"`
}

func TestTheSchemaNamesEveryField(t *testing.T) {
	data, err := os.ReadFile("../../../docs/configuration.schema.json")
	if err != nil {
		t.Fatal(err)
	}
	var schema schemaObject
	if err := json.Unmarshal(data, &schema); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		object schemaObject
		kind   reflect.Type
	}{
		"document":    {schema, reflect.TypeFor[Document]()},
		"service":     {schema.Defs["service"], reflect.TypeFor[Service]()},
		"class":       {schema.Defs["class"], reflect.TypeFor[Class]()},
		"workspace":   {schema.Defs["workspace"], reflect.TypeFor[Workspace]()},
		"plannedStop": {schema.Defs["plannedStop"], reflect.TypeFor[PlannedStop]()},
		"route":       {schema.Defs["route"], reflect.TypeFor[Route]()},
		"limits":      {schema.Defs["limits"], reflect.TypeFor[Limits]()},
	} {
		var fields []string
		for i := range c.kind.NumField() {
			field, _, _ := strings.Cut(c.kind.Field(i).Tag.Get("json"), ",")
			fields = append(fields, field)
		}
		slices.Sort(fields)
		if got := slices.Sorted(maps.Keys(c.object.Properties)); !slices.Equal(got, fields) {
			t.Errorf("%s: the schema has %v, the type %v", name, got, fields)
		}
	}
}
