package fleet

import (
	"os"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/settings"
)

func TestMetricsSumByLabels(t *testing.T) {
	metrics := parseMetrics(strings.NewReader(`# HELP a b
peer_sent_bytes{kind="grants",scope="cross-region"} 10
peer_sent_bytes{kind="demand",scope="cross-region"} 5
peer_sent_bytes{kind="demand",scope="domain"} 1e2
up 1
`))
	if got := metrics.Sum("peer_sent_bytes", "scope", "cross-region"); got != 15 {
		t.Errorf("sum of the cross-region samples: got %v, want 15", got)
	}
	if got := metrics.SumBySuffix("sent_bytes"); got != 115 {
		t.Errorf("sum by suffix: got %v, want 115", got)
	}
	if got := metrics.Sum("up"); got != 1 {
		t.Errorf("sum without labels: got %v, want 1", got)
	}
}

func TestEncodeSettingsOmitsZeroValues(t *testing.T) {
	document, err := encodeSettings(settings.Settings{
		Listen: settings.Listen{Callers: "127.0.0.1:1"},
		Stop:   settings.Stop{AnnouncePeriod: configuration.Duration(time.Second)},
	})
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(document), "limits") || !strings.Contains(string(document), `"announce": "1s"`) {
		t.Errorf("%s", document)
	}
}

func TestCPUTimeOfThisProcess(t *testing.T) {
	for begin := time.Now(); time.Since(begin) < 50*time.Millisecond; {
	}
	used, err := cpuTime(os.Getpid())
	if err != nil || used <= 0 || used > time.Hour {
		t.Errorf("CPU time %v, error %v", used, err)
	}
}
