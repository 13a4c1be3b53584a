package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Size is a number of bytes. In JSON it is a string with a unit, such as "16KiB".
type Size int64

const (
	kibibyte Size = 1 << 10
	mebibyte Size = 1 << 20
	gibibyte Size = 1 << 30
)

type sizeUnit struct {
	suffix string
	size   Size
}

// sizeUnits lists "B" last, since the other suffixes end with it too.
var sizeUnits = []sizeUnit{
	{suffix: "KiB", size: kibibyte},
	{suffix: "MiB", size: mebibyte},
	{suffix: "GiB", size: gibibyte},
	{suffix: "B", size: 1},
}

// InvalidSizeError reports a size that has no unit, is malformed or is out of
// range. Text is the JSON value.
type InvalidSizeError struct {
	Text string
}

// Error implements error.
func (e *InvalidSizeError) Error() string {
	return fmt.Sprintf("invalid size %s: want a string with a unit, such as \"16KiB\"", e.Text)
}

// Form describes the JSON form of a size for messages about invalid fields.
func (Size) Form() string {
	return `a string with a unit, such as "16KiB"`
}

// Bytes returns the size in bytes.
func (s Size) Bytes() int64 {
	return int64(s)
}

// String implements fmt.Stringer. It uses the largest unit that divides the size
// without a remainder.
func (s Size) String() string {
	for i := len(sizeUnits) - 2; i >= 0; i-- {
		unit := sizeUnits[i]
		if s != 0 && s%unit.size == 0 {
			return strconv.FormatInt(int64(s/unit.size), 10) + unit.suffix
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// MarshalJSON implements json.Marshaler.
func (s Size) MarshalJSON() ([]byte, error) {
	return json.Marshal(s.String())
}

// UnmarshalJSON implements json.Unmarshaler. It fails with *InvalidSizeError.
func (s *Size) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &InvalidSizeError{Text: string(data)}
	}
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		count, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || count < 0 || count > math.MaxInt64/int64(unit.size) {
			break
		}
		*s = Size(count) * unit.size
		return nil
	}
	return &InvalidSizeError{Text: strconv.Quote(text)}
}
