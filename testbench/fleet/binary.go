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
	buildDaemonOnce = sync.OnceValues(func() (string, error) { return buildBinary(daemonPackage) })
	buildClientOnce = sync.OnceValues(func() (string, error) { return buildBinary(clientPackage) })
)

// DaemonBinary returns the path of the daemon's binary, which it builds once per
// test process.
func DaemonBinary() (string, error) {
	return buildDaemonOnce()
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

func buildBinary(packagePath string) (string, error) {
	linkEntryPoints()
	directory, err := binaryDirectory()
	if err != nil {
		return "", err
	}
	binaryPath := filepath.Join(directory, filepath.Base(packagePath))
	arguments := []string{"build", "-o", binaryPath}
	if raceEnabled {
		arguments = append(arguments, "-race")
	}
	command := exec.CommandContext(context.Background(), "go", append(arguments, packagePath)...)
	if output, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build %s: %w: %s", packagePath, err, strings.TrimSpace(string(output)))
	}
	return binaryPath, nil
}
