// Package docs checks that the tests, scenarios and link targets that the pages name
// exist.
package docs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const repositoryRoot = ".."

var (
	testReference       = regexp.MustCompile("`(Test[A-Z][A-Za-z0-9]+)`")
	testDeclaration     = regexp.MustCompile(`(?m)^func (Test[A-Z][A-Za-z0-9]+)\(`)
	scenarioReference   = regexp.MustCompile(`-scenario ([a-z-]+)`)
	scenarioDeclaration = regexp.MustCompile(`Name: +"([a-z-]+)"`)
	pageLink            = regexp.MustCompile(`\]\(([^)#:]+)[^)]*\)`)
)

// readPages returns the text of each page by its path: all of docs/*.md, README.md and
// CONTRIBUTING.md.
func readPages(t *testing.T) map[string]string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, "docs", "*.md"))
	if err != nil {
		t.Fatal(err)
	}
	paths = append(paths, filepath.Join(repositoryRoot, "README.md"), filepath.Join(repositoryRoot, "CONTRIBUTING.md"))
	texts := make(map[string]string, len(paths))
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts[path] = string(data)
	}
	return texts
}

// declaredTests returns the names of all test functions of the repository.
func declaredTests(t *testing.T) map[string]bool {
	t.Helper()
	tests := make(map[string]bool)
	err := filepath.WalkDir(repositoryRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, match := range testDeclaration.FindAllStringSubmatch(string(data), -1) {
			tests[match[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return tests
}

func TestPagesNameDeclaredTests(t *testing.T) {
	tests := declaredTests(t)
	for path, text := range readPages(t) {
		for _, match := range testReference.FindAllStringSubmatch(text, -1) {
			if !tests[match[1]] {
				t.Errorf("%s names %s, which does not exist", path, match[1])
			}
		}
	}
}

// declaredScenarios returns the names of the scenarios in the sources of the
// experiment tool.
func declaredScenarios(t *testing.T) map[string]bool {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(repositoryRoot, "testbench", "experiment", "scenario*.go"))
	if err != nil {
		t.Fatal(err)
	}
	names := make(map[string]bool)
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range scenarioDeclaration.FindAllStringSubmatch(string(data), -1) {
			names[match[1]] = true
		}
	}
	return names
}

func TestPagesNameDeclaredScenarios(t *testing.T) {
	declared := declaredScenarios(t)
	for path, text := range readPages(t) {
		for _, match := range scenarioReference.FindAllStringSubmatch(text, -1) {
			if !declared[match[1]] {
				t.Errorf("%s names scenario %s, which does not exist", path, match[1])
			}
		}
	}
}

func TestPageLinksHaveTargets(t *testing.T) {
	for path, text := range readPages(t) {
		for _, match := range pageLink.FindAllStringSubmatch(text, -1) {
			target := filepath.Join(filepath.Dir(path), match[1])
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s links to %s: %v", path, match[1], err)
			}
		}
	}
}
