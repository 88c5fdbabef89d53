package limpetcleat_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestCoreIsSequential checks that the packages of the deterministic core start no goroutines and
// use no channels. The linter checks their imports and calls.
func TestCoreIsSequential(t *testing.T) {
	for _, name := range []string{"admitter", "claimer", "decider", "definer", "detector", "estimator", "limiter", "matcher", "scheduler", "sectioner"} {
		t.Run(name, func(t *testing.T) {
			files, err := filepath.Glob(filepath.Join(name, "*.go"))
			assert.NilError(t, err)
			assert.Assert(t, len(files) > 0)
			for _, file := range files {
				if !strings.HasSuffix(file, "_test.go") {
					checkSequential(t, file)
				}
			}
		})
	}
}

// checkSequential reports every statement and type of concurrency in the file as an error.
func checkSequential(t *testing.T, file string) {
	t.Helper()
	positions := token.NewFileSet()
	parsed, err := parser.ParseFile(positions, file, nil, parser.SkipObjectResolution)
	assert.NilError(t, err)
	ast.Inspect(parsed, func(node ast.Node) bool {
		switch node.(type) {
		case *ast.GoStmt, *ast.SelectStmt, *ast.ChanType, *ast.SendStmt:
			t.Errorf("%s: the core runs in one goroutine", positions.Position(node.Pos()))
		}
		return true
	})
}
