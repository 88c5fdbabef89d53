package limpetcleat_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestProofsNameTests holds the page of proofs to tests and models that exist.
func TestProofsNameTests(t *testing.T) {
	page, err := os.ReadFile("docs/PROOFS.md")
	assert.NilError(t, err)
	files, err := filepath.Glob("*/*_test.go")
	assert.NilError(t, err)
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
