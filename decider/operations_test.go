package decider

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// TestOperationsPageHasEveryRefusal checks the table of the page against the
// refusal reasons: each reason has one row, with its status and a valid
// outcome.
func TestOperationsPageHasEveryRefusal(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATIONS.md")
	assert.NilError(t, err)
	row := regexp.MustCompile("(?m)^\\| `([A-Za-z]+)` \\| (\\d+) \\| `([A-Za-z]+)` \\| (yes|no) \\| \\S.* \\| \\S.* \\|$")
	outcomes := []string{string(definer.NotRun), string(definer.Unknown), string(definer.Ran)}
	rows := make(map[string]string)
	for _, found := range row.FindAllStringSubmatch(string(page), -1) {
		assert.Equal(t, rows[found[1]], "", "%s has two rows", found[1])
		rows[found[1]] = found[2]
		assert.Assert(t, found[3] == outcomes[0] || found[3] == outcomes[1] || found[3] == outcomes[2], found[0])
	}
	for reason, template := range refusalTemplates() {
		assert.Equal(t, rows[string(reason)], strconv.Itoa(template.status), reason)
	}
	assert.Equal(t, len(rows), len(refusalTemplates()))
}
