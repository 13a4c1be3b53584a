package fleet

import (
	"runtime"

	"hawthornstream/internal/app"
	"hawthornstream/internal/ctl"
)

// entryPoints refer to all code of the programs under test. The harness builds
// the programs itself, which the go command's test cache does not observe. With
// their code linked into the test binary, a cached test result is valid for that
// code only.
var entryPoints = []any{app.New, ctl.Main}

// linkEntryPoints keeps the linker from removing the programs' code.
func linkEntryPoints() {
	runtime.KeepAlive(entryPoints)
}
