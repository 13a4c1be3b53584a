package fieldcheck

import "reflect"

// FormDescriber is implemented by types whose JSON form is not that of their
// underlying type. Decode looks for it at run time.
type FormDescriber interface {
	// Form describes the accepted JSON for an operator, such as `a string with a
	// unit, such as "250ms"`.
	Form() string
}

// describeForm returns a description of the JSON that a type accepts.
func describeForm(valueType reflect.Type) string {
	if describer, ok := reflect.Zero(valueType).Interface().(FormDescriber); ok {
		return describer.Form()
	}
	switch valueType.Kind() {
	case reflect.Pointer:
		return describeForm(valueType.Elem())
	case reflect.Struct, reflect.Map:
		if valueType.PkgPath() == "time" {
			return `a time, such as "2026-01-31T08:00:00Z"`
		}
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64, reflect.Float32:
		return "a number"
	default:
		return "a whole number"
	}
}
