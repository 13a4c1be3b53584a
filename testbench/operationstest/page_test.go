package operationstest

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"hawthornstream/testbench/fleet"
)

// shellBlockPattern matches the shell blocks of a page, whose commands must run as
// printed.
var shellBlockPattern = regexp.MustCompile("(?s)```sh\n(.*?)```")

func TestCommandsInOperationsPageRunAsPrinted(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := shellBlockPattern.FindAllStringSubmatch(string(page), -1)
	if len(blocks) == 0 {
		t.Fatal("the page has no commands")
	}
	f := fleet.StartTest(t, options(2))
	client, err := fleet.ClientBinary()
	if err != nil {
		t.Fatal(err)
	}
	directory := t.TempDir()
	for _, block := range blocks {
		command := exec.CommandContext(t.Context(), "bash", "-euo", "pipefail", "-c", block[1])
		command.Dir = directory
		command.Env = append(os.Environ(),
			"PATH="+filepath.Dir(client)+":"+os.Getenv("PATH"),
			"HAWTHORNCTL_KEY="+fleet.OperatorKey,
			"HAWTHORNCTL_SERVER="+f.Daemons[0].OperatorsURL()+","+f.Daemons[1].OperatorsURL(),
			"CALLERS="+f.Daemons[0].CallersURL(),
			"CALLER_KEY="+fleet.CallerKey("alpha"),
		)
		output, err := command.CombinedOutput()
		if err != nil {
			t.Errorf("%s\n%v\n%s", block[1], err, output)
		}
		if strings.Contains(block[1], "answerWithin") && !strings.Contains(string(output), `"2m0s" -> "3m0s"`) {
			t.Errorf("%s\n%s", block[1], output)
		}
	}
	awaitRevision(t, f.Daemons, 4)
}
