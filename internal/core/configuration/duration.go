package configuration

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration whose JSON form is a string with a unit, such as
// "250ms".
type Duration time.Duration

// InvalidDurationError reports a duration without a unit or with invalid syntax.
type InvalidDurationError struct {
	// Text is the rejected JSON.
	Text string
}

// Error implements error.
func (e *InvalidDurationError) Error() string {
	return fmt.Sprintf("invalid duration %s: want a string with a unit, such as \"250ms\"", e.Text)
}

// Form implements fieldcheck.FormDescriber.
func (Duration) Form() string {
	return `a string with a unit, such as "250ms"`
}

// Value returns the duration as a time.Duration.
func (d Duration) Value() time.Duration {
	return time.Duration(d)
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON implements json.Unmarshaler. It fails with
// *InvalidDurationError.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return &InvalidDurationError{Text: string(data)}
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		return &InvalidDurationError{Text: fmt.Sprintf("%q", text)}
	}
	*d = Duration(value)
	return nil
}
