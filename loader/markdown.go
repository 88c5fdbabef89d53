package loader

import (
	"fmt"
	"strings"
)

// Markdown returns the page of the settings, docs/SETTINGS.md.
func Markdown() string {
	var page strings.Builder
	page.WriteString("# Settings\n\n")
	page.WriteString("A node reads its settings from one INI file, `limpetcleat serve -settings FILE`; `limpetcleat check -settings FILE` tells every fault of a file without starting. ")
	page.WriteString("Names are in camel case and told apart by case. A comment has a line of its own that begins with `#` or `;`. Unknown names and names that stand twice are faults.\n\n")
	page.WriteString("This page is generated from the table in package `loader`; `go test ./loader -update` writes it anew.\n")
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

// defaultText tells what holds when the setting is missing.
func (setting setting) defaultText() string {
	switch {
	case setting.required:
		return "none, it must be set"
	case setting.fallback == "":
		return "none"
	default:
		return setting.fallback
	}
}
