package fieldcheck

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-playground/validator/v10"
)

// The validation tags that this package adds to those of the validator package.
const (
	tagBetween   = "between"
	tagAddrPort  = "ipport"
	tagAddrPorts = "ipports"
	tagKeyDigest = "keydigest"
	tagName      = "name"
	tagLabel     = "label"
)

var (
	keyDigestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
	namePattern      = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
)

// NameFormat describes the names that IsValidName accepts.
const NameFormat = "1 to 63 letters, digits, '.', '_' or '-', the first a letter or digit"

// maxLabelBytes is the length of the longest label.
const maxLabelBytes = 256

// LabelFormat describes the labels that IsLabel accepts.
const LabelFormat = "1 to 256 bytes of printable characters, without a space at either end"

// KeyDigestFormat describes the digests that IsKeyDigest accepts.
const KeyDigestFormat = "a SHA-256 digest: 64 characters of lower-case hexadecimal"

// IsValidName returns whether a name has the format that NameFormat describes.
func IsValidName(name string) bool {
	return namePattern.MatchString(name)
}

// IsLabel returns whether a text that names something has the format that LabelFormat
// describes: a header field and a line of the log can hold it. The replacement character
// shows that a part was unreadable.
func IsLabel(text string) bool {
	if text == "" || len(text) > maxLabelBytes || strings.TrimSpace(text) != text {
		return false
	}
	return !strings.ContainsFunc(text, func(r rune) bool { return r == utf8.RuneError || !unicode.IsPrint(r) })
}

// IsKeyDigest returns whether text is a SHA-256 digest in lower-case hexadecimal.
func IsKeyDigest(text string) bool {
	return keyDigestPattern.MatchString(text)
}

// ParseAddrPorts parses "ip:port" or "ip:first-last", with first not above last. It
// returns the first address and the last port.
func ParseAddrPorts(text string) (first netip.AddrPort, last uint16, ok bool) {
	colon := strings.LastIndexByte(text, ':')
	dash := strings.LastIndexByte(text, '-')
	end := text
	if dash > colon {
		text, end = text[:dash], text[:colon+1]+text[dash+1:]
	}
	first, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}, 0, false
	}
	lastAddress, err := netip.ParseAddrPort(end)
	if err != nil || lastAddress.Port() < first.Port() {
		return netip.AddrPort{}, 0, false
	}
	return first, lastAddress.Port(), true
}

var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	mustRegister(v, tagBetween, isBetween)
	mustRegister(v, tagAddrPort, func(field validator.FieldLevel) bool {
		_, err := netip.ParseAddrPort(field.Field().String())
		return err == nil
	})
	mustRegister(v, tagAddrPorts, func(field validator.FieldLevel) bool {
		_, _, ok := ParseAddrPorts(field.Field().String())
		return ok
	})
	mustRegister(v, tagKeyDigest, func(field validator.FieldLevel) bool {
		return IsKeyDigest(field.Field().String())
	})
	mustRegister(v, tagName, func(field validator.FieldLevel) bool {
		return IsValidName(field.Field().String())
	})
	mustRegister(v, tagLabel, func(field validator.FieldLevel) bool {
		return IsLabel(field.Field().String())
	})
	return v
}

func mustRegister(v *validator.Validate, tag string, check validator.Func) {
	if err := v.RegisterValidation(tag, check); err != nil {
		panic(err)
	}
}

// Validate checks a struct against its "validate" tags and returns all faults.
// In addition to the tags of the validator package it supports
//   - between: two inclusive bounds, separated by a space and each in the JSON
//     form of the field's type, without quotes,
//   - ipport: an IP address and port,
//   - ipports: a text that ParseAddrPorts accepts,
//   - keydigest: a text that IsKeyDigest accepts,
//   - name: a text that IsValidName accepts,
//   - label: a text that IsLabel accepts.
func Validate(value any) []Fault {
	err := structValidator.Struct(value)
	failures, ok := err.(validator.ValidationErrors)
	if !ok {
		return nil
	}
	faults := make([]Fault, 0, len(failures))
	for _, failure := range failures {
		_, path, _ := strings.Cut(failure.Namespace(), ".")
		encoded, _ := json.Marshal(failure.Value())
		faults = append(faults, NewFault(path, string(encoded), describeAllowed(failure)))
	}
	return faults
}

// describeAllowed describes the values that the failed tag accepts.
func describeAllowed(failure validator.FieldError) string {
	switch failure.Tag() {
	case tagBetween:
		return strings.Replace(failure.Param(), " ", " to ", 1)
	case tagAddrPort:
		return `an IP address and port, such as "10.0.0.1:8080"`
	case tagAddrPorts:
		return `an IP address with a port or a range of ports, such as "10.0.0.1:8080" or "10.0.0.1:8080-8090"`
	case tagKeyDigest:
		return KeyDigestFormat
	case tagName:
		return NameFormat
	case tagLabel:
		return LabelFormat
	case "required":
		return "a value (required)"
	case "http_url":
		return `a URL, such as "http://10.0.0.1:8080"`
	case "oneof":
		return "one of " + strings.ReplaceAll(failure.Param(), " ", ", ")
	case "unique":
		return "each value once"
	default:
		return fmt.Sprintf("%s %s", failure.Tag(), failure.Param())
	}
}

// isBetween returns whether a numeric field, or one with a unit such as a
// duration, lies within the two inclusive bounds of its tag.
func isBetween(field validator.FieldLevel) bool {
	lower, upper, _ := strings.Cut(field.Param(), " ")
	value := field.Field()
	return compare(value, parseBound(value.Type(), lower)) >= 0 && compare(value, parseBound(value.Type(), upper)) <= 0
}

// parseBound parses a bound as JSON of the field's type. It panics on an invalid
// bound, which is a programming error in a struct tag.
func parseBound(fieldType reflect.Type, text string) reflect.Value {
	target := reflect.New(fieldType)
	data := []byte(text)
	if fieldType.Kind() != reflect.Float64 && target.Type().Implements(unmarshalerType) {
		data, _ = json.Marshal(text)
	}
	if err := json.Unmarshal(data, target.Interface()); err != nil {
		panic(err)
	}
	return target.Elem()
}

func compare(a, b reflect.Value) int {
	if a.CanFloat() {
		return compareOrdered(a.Float(), b.Float())
	}
	return compareOrdered(a.Int(), b.Int())
}

func compareOrdered[T int64 | float64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}
