package limpetcleat_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestOperationsPageHasEveryCode checks that the operations page lists every error code of requests
// that package server rejects before they reach the core exactly once, and that every event number
// on the page is in the event catalogue.
func TestOperationsPageHasEveryCode(t *testing.T) {
	content, err := os.ReadFile("docs/OPERATIONS.md")
	assert.NilError(t, err)
	page := string(content)
	for _, code := range stringConstants(t, "server/failure.go", "code") {
		assert.Equal(t, strings.Count(page, "\n| `"+code+"` | "), 1, code)
	}
	events, err := os.ReadFile("docs/EVENTS.md")
	assert.NilError(t, err)
	for _, found := range regexp.MustCompile(`\b[12][0-9]{3}\b`).FindAllString(page, -1) {
		assert.Assert(t, strings.Contains(string(events), "\n| "+found+" | "), "event %s is not in the catalogue", found)
	}
}

// stringConstants returns the values of the string constants in a file whose names have the
// prefix.
func stringConstants(t *testing.T, path, prefix string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	assert.NilError(t, err)
	var values []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, prefix) {
			return true
		}
		if literal, ok := spec.Values[0].(*ast.BasicLit); ok && literal.Kind == token.STRING {
			value, err := strconv.Unquote(literal.Value)
			assert.NilError(t, err)
			values = append(values, value)
		}
		return true
	})
	assert.Assert(t, len(values) > 0)
	return values
}

// TestProofsNameTests checks that the tests and models named on the page of proofs exist.
func TestProofsNameTests(t *testing.T) {
	page, err := os.ReadFile("docs/PROOFS.md")
	assert.NilError(t, err)
	var files []string
	for _, pattern := range []string{"*_test.go", "*/*_test.go", "*/*/*_test.go"} {
		found, err := filepath.Glob(pattern)
		assert.NilError(t, err)
		files = append(files, found...)
	}
	var tests strings.Builder
	for _, file := range files {
		data, err := os.ReadFile(file)
		assert.NilError(t, err)
		tests.Write(data)
	}
	names := regexp.MustCompile("`((?:Test|Fuzz)[A-Za-z0-9]+)`").FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(names) > 0)
	for _, name := range names {
		assert.Check(t, strings.Contains(tests.String(), "func "+name[1]+"("), name[1])
	}
	for _, model := range regexp.MustCompile("`(spec/[a-z_]+\\.pml)`").FindAllStringSubmatch(string(page), -1) {
		_, err := os.Stat(model[1])
		assert.Check(t, err, model[1])
	}
}
