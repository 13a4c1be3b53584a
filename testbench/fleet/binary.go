package fleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
)

// daemonPackage and clientPackage are the import paths of the product's programs.
const (
	daemonPackage = "hawthornstream/cmd/hawthornstreamd"
	clientPackage = "hawthornstream/cmd/hawthornctl"
)

var (
	buildDaemonOnce      = sync.OnceValues(func() (string, error) { return buildBinary(daemonPackage, raceEnabled) })
	buildPlainDaemonOnce = sync.OnceValues(func() (string, error) { return buildBinary(daemonPackage, false) })
	buildClientOnce      = sync.OnceValues(func() (string, error) { return buildBinary(clientPackage, raceEnabled) })
)

// DaemonBinary returns the path of the daemon's binary, which it builds once per
// test process.
func DaemonBinary() (string, error) {
	return buildDaemonOnce()
}

// DaemonBinaryWithoutRaceDetector is like DaemonBinary for tests that measure memory, of which
// the race detector takes a multiple.
func DaemonBinaryWithoutRaceDetector() (string, error) {
	if !raceEnabled {
		return DaemonBinary()
	}
	return buildPlainDaemonOnce()
}

// ClientBinary returns the path of the operators' client, which it builds once per
// test process.
func ClientBinary() (string, error) {
	return buildClientOnce()
}

var binaryDirectory = sync.OnceValues(func() (string, error) {
	return os.MkdirTemp("", "hawthornstream-programs-")
})

// RemoveBinaries deletes the binaries that this process has built.
func RemoveBinaries() {
	if directory, err := binaryDirectory(); err == nil {
		_ = os.RemoveAll(directory)
	}
}

func buildBinary(packagePath string, withRaceDetector bool) (string, error) {
	linkEntryPoints()
	directory, err := binaryDirectory()
	if err != nil {
		return "", err
	}
	arguments := []string{"build"}
	if withRaceDetector {
		directory = filepath.Join(directory, "race")
		arguments = append(arguments, "-race")
	}
	binaryPath := filepath.Join(directory, filepath.Base(packagePath))
	command := exec.CommandContext(context.Background(), "go", append(arguments, "-o", binaryPath, packagePath)...)
	if output, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w: %s", packagePath, err, strings.TrimSpace(string(output)))
	}
	return binaryPath, nil
}
