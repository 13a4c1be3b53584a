package backendhttp

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

const (
	// MaxRetryAfter is the longest Retry-After of a backend server that is honored.
	MaxRetryAfter = time.Hour
	// maxQuotedBytes limits the part of an invalid value that an error shows.
	maxQuotedBytes = 40
)

// retryAfterProblem says what is wrong with a Retry-After.
type retryAfterProblem string

const (
	retryAfterNotANumber retryAfterProblem = "not-a-number"
	retryAfterNegative   retryAfterProblem = "negative"
	retryAfterTooLong    retryAfterProblem = "too-long"
)

// RetryAfterError reports a Retry-After of a backend server that is not a number of
// seconds between zero and MaxRetryAfter.
type RetryAfterError struct {
	// Value is the beginning of the field's value.
	Value   string
	problem retryAfterProblem
}

// Error implements error.
func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("Retry-After %q is invalid: %s", e.Value, e.problem)
}

// parseRetryAfter returns the delay in the field Retry-After, which is a number of
// seconds that may have a fraction, or zero if the field is missing. It fails with
// *RetryAfterError; the delay is then MaxRetryAfter if the value is too long, and zero
// if it is negative or not a number, which includes dates.
func parseRetryAfter(header http.Header) (time.Duration, error) {
	value := header.Get("Retry-After")
	if value == "" {
		return 0, nil
	}
	// A value out of range is returned as an infinity.
	seconds, err := strconv.ParseFloat(value, 64)
	invalid := &RetryAfterError{Value: value[:min(len(value), maxQuotedBytes)]}
	switch {
	case err != nil && !math.IsInf(seconds, 0) || math.IsNaN(seconds):
		invalid.problem = retryAfterNotANumber
		return 0, invalid
	case seconds < 0:
		invalid.problem = retryAfterNegative
		return 0, invalid
	case seconds > MaxRetryAfter.Seconds():
		invalid.problem = retryAfterTooLong
		return MaxRetryAfter, invalid
	default:
		return time.Duration(seconds * float64(time.Second)), nil
	}
}

// RetryAfter returns the delay in the answer's field Retry-After, zero if it has none.
// An invalid value is counted and returned as *RetryAfterError, with MaxRetryAfter for a
// longer delay and zero for anything else.
func (e *Exchange) RetryAfter() (time.Duration, error) {
	delay, err := parseRetryAfter(e.Response.Header)
	var invalid *RetryAfterError
	if errors.As(err, &invalid) {
		e.client.invalidRetryAfter.Inc(string(invalid.problem))
	}
	return delay, err
}
