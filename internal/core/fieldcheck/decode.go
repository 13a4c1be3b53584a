package fieldcheck

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// tagValueNotZero is the value of the "fieldcheck" struct tag that rejects an
// explicit zero: the field has to be left out instead.
const tagValueNotZero = "notzero"

// unmarshalerType identifies types that decode their own JSON.
var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// Decode decodes one JSON value into the variable that target points to and
// returns all faults: invalid JSON, unknown and repeated fields, null, wrong
// types. Fields that are absent from data keep their values, so target may hold
// defaults.
func Decode(data []byte, target any) []Fault {
	d := &decoder{}
	if !json.Valid(data) {
		d.addFault("", string(bytes.TrimSpace(data)), describeSyntaxError(data))
		return d.faults
	}
	d.decodeValue("", data, reflect.ValueOf(target).Elem())
	return d.faults
}

// describeSyntaxError includes the JSON package's error, which says where data
// stops being valid JSON.
func describeSyntaxError(data []byte) string {
	var discarded any
	err := json.Unmarshal(data, &discarded)
	return fmt.Sprintf("one JSON value (%v)", err)
}

// decoder collects the faults of one Decode call.
type decoder struct {
	faults []Fault
}

func (d *decoder) addFault(path, value, allowed string) {
	d.faults = append(d.faults, NewFault(path, value, allowed))
}

func (d *decoder) decodeValue(path string, data []byte, target reflect.Value) {
	data = bytes.TrimSpace(data)
	if string(data) == "null" {
		d.addFault(path, "null", describeForm(target.Type()))
		return
	}
	if target.Addr().Type().Implements(unmarshalerType) {
		d.decodeLeaf(path, data, target)
		return
	}
	switch target.Kind() {
	case reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decodeValue(path, data, target.Elem())
	case reflect.Struct:
		d.decodeStruct(path, data, target)
	case reflect.Map:
		d.decodeMap(path, data, target)
	case reflect.Slice:
		d.decodeSlice(path, data, target)
	default:
		d.decodeLeaf(path, data, target)
	}
}

// decodeLeaf leaves the decoding to encoding/json: for scalars and for types
// that decode their own JSON.
func (d *decoder) decodeLeaf(path string, data []byte, target reflect.Value) {
	if err := json.Unmarshal(data, target.Addr().Interface()); err != nil {
		d.addFault(path, string(data), describeForm(target.Type()))
	}
}

func (d *decoder) decodeStruct(path string, data []byte, target reflect.Value) {
	fields := fieldsByName(target.Type())
	d.forEachMember(path, data, target.Type(), func(name string, member []byte) {
		memberPath := joinField(path, name)
		field, known := fields[name]
		if !known {
			d.addFault(memberPath, string(member), "no such field")
			return
		}
		value := target.FieldByIndex(field.Index)
		faultsBefore := len(d.faults)
		d.decodeValue(memberPath, member, value)
		if len(d.faults) == faultsBefore && field.Tag.Get("fieldcheck") == tagValueNotZero && value.IsZero() {
			d.addFault(memberPath, string(member), "a value above zero, or no field for the default")
		}
	})
}

func (d *decoder) decodeMap(path string, data []byte, target reflect.Value) {
	mapType := target.Type()
	result := reflect.MakeMap(mapType)
	d.forEachMember(path, data, mapType, func(name string, member []byte) {
		value := reflect.New(mapType.Elem()).Elem()
		d.decodeValue(joinKey(path, name), member, value)
		result.SetMapIndex(reflect.ValueOf(name).Convert(mapType.Key()), value)
	})
	target.Set(result)
}

func (d *decoder) decodeSlice(path string, data []byte, target reflect.Value) {
	var items []json.RawMessage
	if err := json.Unmarshal(data, &items); err != nil {
		d.addFault(path, string(data), describeForm(target.Type()))
		return
	}
	result := reflect.MakeSlice(target.Type(), len(items), len(items))
	for i, item := range items {
		d.decodeValue(fmt.Sprintf("%s[%d]", path, i), item, result.Index(i))
	}
	target.Set(result)
}

// forEachMember calls visit for each member of a JSON object. A repeated name is
// a fault, and visit is called for its first occurrence only.
func (d *decoder) forEachMember(path string, data []byte, valueType reflect.Type, visit func(name string, member []byte)) {
	if len(data) == 0 || data[0] != '{' {
		d.addFault(path, string(data), describeForm(valueType))
		return
	}
	tokens := json.NewDecoder(bytes.NewReader(data))
	if _, err := tokens.Token(); err != nil {
		d.addFault(path, string(data), describeForm(valueType))
		return
	}
	seenNames := map[string]bool{}
	for tokens.More() {
		name, member, err := readMember(tokens)
		if err != nil {
			d.addFault(path, string(data), describeForm(valueType))
			return
		}
		if seenNames[name] {
			d.addFault(joinField(path, name), string(member), "each name once")
			continue
		}
		seenNames[name] = true
		visit(name, member)
	}
}

func readMember(tokens *json.Decoder) (string, json.RawMessage, error) {
	token, err := tokens.Token()
	if err != nil {
		return "", nil, err
	}
	name, ok := token.(string)
	if !ok {
		return "", nil, io.ErrUnexpectedEOF
	}
	var member json.RawMessage
	err = tokens.Decode(&member)
	return name, member, err
}

// fieldsByName returns the exported fields of a struct type by JSON name. Unlike
// encoding/json, its caller matches names exactly, including case.
func fieldsByName(structType reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for i := range structType.NumField() {
		field := structType.Field(i)
		if name := jsonName(field); field.IsExported() && name != "" {
			fields[name] = field
		}
	}
	return fields
}

// jsonName returns the name in the field's "json" tag, or "" when there is none
// or the field is excluded with "-".
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" {
		return ""
	}
	return name
}

func joinField(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func joinKey(path, name string) string {
	return path + "[" + name + "]"
}
