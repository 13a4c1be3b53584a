package core

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// forbiddenImports are packages that would bring I/O, locks or the outer layers
// of the daemon into the decision logic. An entry also forbids its subpackages.
var forbiddenImports = []string{
	"hawthornstream/internal/adapters",
	"hawthornstream/internal/app",
	"hawthornstream/internal/settings",
	"io/ioutil", "math/rand", "net", "os", "sync", "syscall",
}

// allowedImports are exceptions to forbiddenImports: random generators with an
// explicit seed, and the parsing of addresses.
var allowedImports = map[string]bool{"math/rand/v2": true, "net/netip": true}

// clockFunctions are the functions of package time that read the clock or wait.
var clockFunctions = map[string]bool{
	"After": true, "AfterFunc": true, "NewTicker": true, "NewTimer": true,
	"Now": true, "Since": true, "Sleep": true, "Tick": true, "Until": true,
}

func TestPackagesUseNoIOClockOrGoroutine(t *testing.T) {
	checkedFiles := 0
	err := filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		checkedFiles++
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, path, nil, 0)
		if err != nil {
			return err
		}
		checkImports(t, path, file)
		checkClockAndGoroutines(t, fileSet, file)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if checkedFiles == 0 {
		t.Error("no file was checked")
	}
}

func checkImports(t *testing.T, path string, file *ast.File) {
	t.Helper()
	for _, spec := range file.Imports {
		importPath, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, forbidden := range forbiddenImports {
			matches := importPath == forbidden || strings.HasPrefix(importPath, forbidden+"/")
			if matches && !allowedImports[importPath] {
				t.Errorf("%s imports %s", path, importPath)
			}
		}
	}
}

func checkClockAndGoroutines(t *testing.T, fileSet *token.FileSet, file *ast.File) {
	t.Helper()
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.GoStmt:
			t.Errorf("%s starts a goroutine", fileSet.Position(node.Pos()))
		case *ast.SelectorExpr:
			qualifier, ok := node.X.(*ast.Ident)
			if ok && qualifier.Name == "time" && clockFunctions[node.Sel.Name] {
				t.Errorf("%s reads the clock", fileSet.Position(node.Pos()))
			}
		}
		return true
	})
}
