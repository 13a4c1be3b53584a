package sharing

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/ports"
)

// failingLoads are load reports whose answers are rejected.
type failingLoads struct{}

func (failingLoads) Load(context.Context, ports.VM) (ports.LoadReport, error) {
	return ports.LoadReport{}, errors.New("invalid field")
}

func TestFailedLoadReportIsLogged(t *testing.T) {
	f := newFleet(t, 0, nil)
	f.add("daemon-0")
	m := f.nodes["daemon-0"].manager
	var lines bytes.Buffer
	m.logger, m.loads = logging.New(&lines, "info"), failingLoads{}
	m.probeServer(testService, ports.VM{Name: "server-0"})
	if !strings.Contains(lines.String(), "load-report-failed") || !strings.Contains(lines.String(), "invalid field") {
		t.Errorf("logged %q", lines.String())
	}
}
