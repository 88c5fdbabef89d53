package logger

import (
	"fmt"
	"strings"
)

// Markdown returns the catalogue as the page docs/EVENTS.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Events\n\n")
	page.WriteString("Each line of the log has a level, the time, the number and the name of an event, followed by names and values. ")
	page.WriteString("Lines about a request give its id as `request`. Keys, prompts and responses are never logged.\n\n")
	page.WriteString("This page is generated from the catalogue in package `logger`; `go test ./logger -update` regenerates it.\n\n")
	page.WriteString("| number | level | name | meaning | what the operator does |\n")
	page.WriteString("|---|---|---|---|---|\n")
	for _, entry := range Catalogue() {
		fmt.Fprintf(&page, "| %d | %s | %s | %s | %s |\n", entry.number, entry.level, entry.name, entry.meaning, entry.action)
	}
	return page.String()
}
