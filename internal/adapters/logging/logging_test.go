package logging

import (
	"regexp"
	"strings"
	"testing"
)

func TestEventIsOneLogfmtLine(t *testing.T) {
	var out strings.Builder
	logger := New(&out, "info")
	logger.Debug().Str("event", "hidden").Msg("")
	logger.Info().Str("event", "call-ended").Str("detail", "two words").Int("status", 200).Msg("")

	want := regexp.MustCompile(`^time=\S+ level=info event="call-ended" detail="two words" status=200\n$`)
	if !want.MatchString(out.String()) {
		t.Errorf("log %q", out.String())
	}
}
