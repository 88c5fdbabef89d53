package loader

import (
	"fmt"
	"strings"
)

// Markdown returns the settings as the page docs/SETTINGS.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Settings\n\n")
	page.WriteString("A node reads its settings from one INI file, `limpetcleat serve -settings FILE`; `limpetcleat check -settings FILE` reports all faults of a file without starting the node. ")
	page.WriteString("Names are in camel case and case-sensitive. A comment is on a line of its own that begins with `#` or `;`. Unknown and repeated names are faults.\n\n")
	page.WriteString("This page is generated from the table in package `loader`; `go test ./loader -update` regenerates it.\n")
	section := ""
	for _, setting := range table() {
		if setting.section != section {
			section = setting.section
			fmt.Fprintf(&page, "\n## [%s]\n\n| name | meaning | allowed | default |\n|---|---|---|---|\n", section)
		}
		fmt.Fprintf(&page, "| %s | %s | %s | %s |\n", setting.name, setting.meaning, setting.allowed, setting.defaultText())
	}
	return page.String()
}

// defaultText describes the default for the page.
func (setting setting) defaultText() string {
	switch {
	case setting.required:
		return "none, it must be set"
	case setting.defaultValue == "":
		return "none"
	default:
		return setting.defaultValue
	}
}
