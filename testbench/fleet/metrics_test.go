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
		t.Errorf("cross-region: %v", got)
	}
	if got := metrics.SumSuffix("sent_bytes"); got != 115 {
		t.Errorf("all: %v", got)
	}
	if got := metrics.Sum("up"); got != 1 {
		t.Errorf("up: %v", got)
	}
}

func TestSettingsLeaveOutWhatIsNotSet(t *testing.T) {
	document, err := settingsDocument(settings.Settings{
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

func TestProcessorTimeOfThisProcess(t *testing.T) {
	for begin := time.Now(); time.Since(begin) < 50*time.Millisecond; {
	}
	took, err := processorTime(os.Getpid())
	if err != nil || took <= 0 || took > time.Hour {
		t.Errorf("%v %v", took, err)
	}
}
