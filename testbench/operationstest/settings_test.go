package operationstest

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"hawthornstream/testbench/fleet"
)

// checkSettings runs the daemon with -check on a settings file and returns its exit
// code and combined output.
func checkSettings(t *testing.T, settings string) (int, string) {
	t.Helper()
	binary, err := fleet.DaemonBinary()
	if err != nil {
		t.Fatal(err)
	}
	output, err := exec.CommandContext(t.Context(), binary, "-settings", settings, "-check").CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatal(err)
	}
	if exit != nil {
		return exit.ExitCode(), string(output)
	}
	return 0, string(output)
}

func TestCheckReportsAllSettingsErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	text := `{"vm": {"name": "vm-1", "zone": "a"}, "listen": {"callers": 80}, "limits": {"body": "1TiB"}}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, output := checkSettings(t, path)
	if code != 2 {
		t.Errorf("unexpected exit code %d", code)
	}
	for _, field := range []string{"vm.zone", "vm.region", "listen.callers", "platform.objectAPI", "operators.keyDigests", "limits.body"} {
		if !strings.Contains(output, field) {
			t.Errorf("%s is not reported: %s", field, output)
		}
	}
}

func TestCheckAcceptsExampleSettings(t *testing.T) {
	for _, deployment := range []string{"agency", "hoamai"} {
		if code, output := checkSettings(t, "../../examples/"+deployment+"/settings.json"); code != 0 {
			t.Errorf("%s: exit code %d: %s", deployment, code, output)
		}
	}
}

func TestCheckFailsWhenFileIsMissing(t *testing.T) {
	if code, output := checkSettings(t, filepath.Join(t.TempDir(), "none.json")); code != 2 {
		t.Errorf("exit code %d: %s", code, output)
	}
}
