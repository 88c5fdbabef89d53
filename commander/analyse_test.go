package commander_test

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/commander"
)

const analysedLog = `level=info time=2026-12-01T10:00:00Z event=3101 request=a rule=short upstream=one basis="expectedMs=100"
level=info time=2026-12-01T10:00:01Z event=3103 request=a rule=short reason=served mayHaveRun=true sends=1 firstMs=600 totalMs=1000 gapMs=3
no log line
`

// TestAnalyse guards against flags that do not reach the analysis, and against plots in a format
// other than the file's name says.
func TestAnalyse(t *testing.T) {
	directory := t.TempDir()
	log := writeFile(t, directory, "node.log", analysedLog)
	plot := filepath.Join(directory, "day.svg")
	got := run(t, "analyse", "-objective", "short=500ms/400ms", "-tables", "rules", "-output", "csv", "-plot", plot, log)
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{"rule,objectiveMs,", "\nshort,500,400,1,1,1,0,0,"})
	assert.Equal(t, got.problems, "limpetcleat analyse: 1 of 3 lines are unreadable, the first is "+log+":3\n")
	drawn, err := os.ReadFile(plot)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(drawn), "<svg"))

	var rows map[string][]map[string]any
	got = run(t, "analyse", "-output", "json", log, log)
	decode(t, got.out, &rows)
	assert.Equal(t, rows["input"][0]["lines"], 6.0)
	containsAll(t, got.problems, []string{"2 of 6 lines", `no objectives of rule "short"`})
}

// TestAnalyseReadsStandardInput guards against a command without files that reads nothing.
func TestAnalyseReadsStandardInput(t *testing.T) {
	input, err := os.Open(writeFile(t, t.TempDir(), "node.log", analysedLog))
	assert.NilError(t, err)
	replaceStandardInput(t, input)
	got := run(t, "analyse", "-tables", "predictions")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{"\none       1         "})
	containsAll(t, got.problems, []string{"standard input:3"})
}

// TestAnalyseEndsOnInterrupt guards against a command that waits for input that never comes and
// cannot be interrupted.
func TestAnalyseEndsOnInterrupt(t *testing.T) {
	input, unused, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { unused.Close() })
	replaceStandardInput(t, input)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	got := runContext(ctx, "analyse")
	assert.Equal(t, got.code, commander.ExitFailed)
	containsAll(t, got.problems, []string{"standard input: context canceled"})
}

func replaceStandardInput(t *testing.T, input *os.File) {
	t.Helper()
	standard := os.Stdin
	os.Stdin = input
	t.Cleanup(func() { os.Stdin = standard })
}
