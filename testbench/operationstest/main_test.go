// Package operationstest tests, with real processes, how configurations are edited
// and distributed and what hawthornctl reports. It contains only tests.
package operationstest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
	"hawthornstream/testbench/standin/engine"
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleet.RemoveBinaries()
	os.Exit(code)
}

// options returns the options of a fleet with the given number of daemons and one
// engine. Up to nine daemons make up three failure domains of three.
func options(daemons int) fleet.Options {
	return fleet.Options{
		Daemons: daemons,
		Engines: []fleet.EngineService{{Name: "drafter", Servers: 1, Engine: engine.Config{TokensPerSecond: 500}}},
	}
}

// runCtl runs hawthornctl against daemons and returns its exit code, standard
// output and standard error. It may be called from any goroutine.
func runCtl(t *testing.T, daemons []*fleet.Daemon, args ...string) (int, string, string) {
	t.Helper()
	binary, err := fleet.ClientBinary()
	if err != nil {
		t.Error(err)
		return -1, "", ""
	}
	var servers []string
	for _, daemon := range daemons {
		servers = append(servers, daemon.OperatorsURL())
	}
	command := exec.CommandContext(t.Context(), binary, args...)
	command.Env = append(os.Environ(), "HAWTHORNCTL_KEY="+fleet.OperatorKey, "HAWTHORNCTL_SERVER="+strings.Join(servers, ","))
	var out, stderr bytes.Buffer
	command.Stdout, command.Stderr = &out, &stderr
	err = command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Error(err)
		return -1, "", ""
	}
	return command.ProcessState.ExitCode(), out.String(), stderr.String()
}

// mustRunCtl runs hawthornctl, fails the test unless it exits with 0, and returns
// its standard output.
func mustRunCtl(t *testing.T, daemons []*fleet.Daemon, args ...string) string {
	t.Helper()
	code, out, stderr := runCtl(t, daemons, args...)
	if code != 0 {
		t.Fatalf("hawthornctl %v: exit code %d: %s", args, code, stderr)
	}
	return out
}

// writeChangedDocument writes the document of the fleet, with another answer
// deadline for the class question, to a file and returns its path.
func writeChangedDocument(t *testing.T, f *fleet.Fleet, deadline time.Duration) string {
	t.Helper()
	document := f.Document()
	classes := map[ports.ClassName]configuration.Class{}
	for name, class := range document.Classes {
		classes[name] = class
	}
	question := classes[fleet.ClassQuestion]
	question.AnswerWithin = configuration.Duration(deadline)
	classes[fleet.ClassQuestion] = question
	document.Classes = classes
	data, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "configuration.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// apply submits a document with another deadline, based on the given revision, and
// fails the test when it is not accepted.
func apply(t *testing.T, f *fleet.Fleet, daemons []*fleet.Daemon, base string, deadline time.Duration) {
	t.Helper()
	mustRunCtl(t, daemons, "apply", "-base", base, writeChangedDocument(t, f, deadline))
}

// revisionInForce returns the revision in force at a daemon, or 0 when the daemon
// does not answer.
func revisionInForce(daemon *fleet.Daemon) configuration.RevisionNumber {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	status, err := daemon.Status(ctx)
	if err != nil {
		return 0
	}
	return status.Revision
}

// awaitRevision waits until the given revision or a later one is in force at all
// daemons.
func awaitRevision(t *testing.T, daemons []*fleet.Daemon, number configuration.RevisionNumber) {
	t.Helper()
	for _, daemon := range daemons {
		fleet.Eventually(t, string(daemon.ID())+" has the revision in force", func() bool {
			return revisionInForce(daemon) >= number
		})
	}
}
