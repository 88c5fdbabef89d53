package faults_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// row is one fault of a matrix, with the name of the test that covers its cells.
type row struct{ fault, test string }

// matrixText returns the matrices as Markdown tables, generated from the tests' tables.
func matrixText() string {
	var reservations, streams, changes []row
	for _, fault := range reservationFaults() {
		reservations = append(reservations, row{fault.name, "TestReservationFaults"})
	}
	for _, fault := range streamFaults() {
		streams = append(streams, row{fault.name, "TestStreamFaults"})
	}
	for _, fault := range changeFaults() {
		changes = append(changes, row{fault.name, "TestConfigurationFaults"})
	}
	return markdownTable("A call that may run at most once", stepNames(reservationSteps()), reservations) +
		markdownTable("A streamed answer", stepNames(streamSteps()), streams) +
		markdownTable("A change of the configuration", []string{stepWriting, stepWritten, stepSpreading}, changes)
}

func stepNames(steps []step) []string {
	var names []string
	for _, step := range steps {
		names = append(names, step.name)
	}
	return names
}

func markdownTable(title string, steps []string, rows []row) string {
	var text strings.Builder
	text.WriteString("### " + title + "\n\n| test | " + strings.Join(steps, " | ") + " |\n|---" + strings.Repeat("|---", len(steps)) + "|\n")
	for _, row := range rows {
		text.WriteString("| " + row.test + "/" + row.fault + strings.Repeat(" | met", len(steps)) + " |\n")
	}
	return text.String() + "\n"
}

// TestFaultsPage checks that docs/FAULTS.md contains the generated tables; with -args update it
// rewrites the tables on the page.
func TestFaultsPage(t *testing.T) {
	const begin, end = "<!-- matrices begin -->\n", "<!-- matrices end -->\n"
	path := filepath.Join("..", "..", "docs", "FAULTS.md")
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	before, rest, found := strings.Cut(string(data), begin)
	assert.Assert(t, found)
	shown, after, found := strings.Cut(rest, end)
	assert.Assert(t, found)
	wanted := "\n" + matrixText()
	if flag.Arg(0) == "update" {
		assert.NilError(t, os.WriteFile(path, []byte(before+begin+wanted+end+after), 0o600))
		return
	}
	assert.Equal(t, shown, wanted)
}
