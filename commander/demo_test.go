package commander_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/commander"
)

func TestDemoShowsEveryClass(t *testing.T) {
	got := run(t, "demo", "-for", "1s")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	lines := strings.Split(strings.TrimSpace(got.out), "\n")
	assert.Equal(t, len(lines), 7, got.out)
	containsAll(t, lines[0], []string{"attainment", "goodput", "wasted", "refused"})
	for index, class := range []string{"orderDesk", "waitingManager", "counterQuery", "restockProposal", "seasonDigest"} {
		assert.Assert(t, strings.HasPrefix(lines[1+index], class+" "), lines[1+index])
	}
	assert.Assert(t, !strings.Contains(got.out, "silent") && !strings.Contains(got.out, "foreign"), got.out)
	containsAll(t, lines[6], []string{"goodput", "wasted work", "tokens computed"})
}

func TestDemoServesForItsTime(t *testing.T) {
	got := run(t, "demo", "-serve", "-for", "1ms")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{"callers are served at http://127.0.0.1:"})
	assert.Equal(t, run(t, "demo", "-for", "-1s").code, commander.ExitUsage)
}
