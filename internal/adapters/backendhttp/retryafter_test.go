package backendhttp

import (
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Backend servers state fractions of seconds, and a faulty one any text. A delay must
// neither be cut to whole seconds nor overflow.
func TestRetryAfterIsReadWithFractionsAndBounded(t *testing.T) {
	for value, want := range map[string]struct {
		delay   time.Duration
		problem retryAfterProblem
	}{
		"":                              {0, ""},
		"0":                             {0, ""},
		"3":                             {3 * time.Second, ""},
		"0.8":                           {800 * time.Millisecond, ""},
		"1.5":                           {1500 * time.Millisecond, ""},
		"3600":                          {MaxRetryAfter, ""},
		"3600.5":                        {MaxRetryAfter, retryAfterTooLong},
		"9999999999":                    {MaxRetryAfter, retryAfterTooLong},
		"1e999":                         {MaxRetryAfter, retryAfterTooLong},
		"Inf":                           {MaxRetryAfter, retryAfterTooLong},
		"-Inf":                          {0, retryAfterNegative},
		"-1":                            {0, retryAfterNegative},
		"-1e999":                        {0, retryAfterNegative},
		"NaN":                           {0, retryAfterNotANumber},
		"soon":                          {0, retryAfterNotANumber},
		"1.5s":                          {0, retryAfterNotANumber},
		"1,5":                           {0, retryAfterNotANumber},
		"Fri, 31 Dec 2027 23:59:59 GMT": {0, retryAfterNotANumber},
	} {
		delay, err := parseRetryAfter(http.Header{"Retry-After": {value}})
		var invalid *RetryAfterError
		if errors.As(err, &invalid) != (want.problem != "") || invalid != nil && invalid.problem != want.problem || delay != want.delay {
			t.Errorf("%q is read as %s, %v", value, delay, err)
		}
	}
	long := strings.Repeat("x", 10_000)
	if _, err := parseRetryAfter(http.Header{"Retry-After": {long}}); err == nil || len(err.Error()) > 200 {
		t.Errorf("the error of a long value is %v", err)
	}
}
