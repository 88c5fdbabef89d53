package loader

import "strings"

// settingLine is one "name = value" line of a settings file.
type settingLine struct {
	section string
	name    string
	// line counts from 1.
	line int
}

// scanner records the line numbers of sections and settings, which the INI library does not
// provide, and rejects the lines that are neither.
type scanner struct {
	file string
	// settingLines lists the settings in the order of the file.
	settingLines []settingLine
	// sections maps each section to the line where it first occurs.
	sections map[string]int
	// lines is the text with the rejected lines replaced by empty lines.
	lines  []string
	faults []*Fault
}

// multilineQuotes returns the quotes that begin a multi-line value for the INI library.
func multilineQuotes() []string { return []string{"`", `"""`, "'''"} }

// scan scans the text line by line.
func scan(file, text string) *scanner {
	scanner := &scanner{file: file, sections: make(map[string]int)}
	section := ""
	scanner.lines = strings.Split(text, "\n")
	for index, line := range scanner.lines {
		section = scanner.scanLine(section, index+1, strings.TrimSpace(line))
	}
	return scanner
}

// scanLine scans one line and returns the section of the next line.
func (scanner *scanner) scanLine(section string, number int, text string) string {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
		return section
	case text[0] == '[':
		return scanner.scanSection(section, number, text)
	}
	name, value, ok := strings.Cut(text, "=")
	if !ok || strings.TrimSpace(name) == "" {
		scanner.rejectLine(number, section, "a line that is no setting", `a line "name = value"`)
		return section
	}
	for _, mark := range multilineQuotes() {
		if strings.HasPrefix(strings.TrimSpace(value), mark) || strings.HasPrefix(text, mark) {
			scanner.rejectLine(number, qualifiedName(section, strings.TrimSpace(name)), "a value that begins with "+mark, "a value on one line without such a quote")
			return section
		}
	}
	scanner.settingLines = append(scanner.settingLines, settingLine{section: section, name: strings.TrimSpace(name), line: number})
	return section
}

// scanSection scans a section line and returns its section, or the previous section if the line is
// invalid.
func (scanner *scanner) scanSection(previous string, number int, text string) string {
	end := strings.IndexByte(text, ']')
	if end < 0 || strings.TrimSpace(text[1:end]) == "" || strings.TrimSpace(text[end+1:]) != "" {
		scanner.rejectLine(number, previous, "a line that is no section", `a line "[section]"`)
		return previous
	}
	section := strings.TrimSpace(text[1:end])
	if _, seen := scanner.sections[section]; !seen {
		scanner.sections[section] = number
	}
	return section
}

// rejectLine records a fault and blanks its line, so that the INI library skips it.
func (scanner *scanner) rejectLine(line int, name, found, allowed string) {
	if name == "" {
		name = "the file"
	}
	scanner.lines[line-1] = ""
	scanner.faults = append(scanner.faults, &Fault{file: scanner.file, line: line, name: name, found: found, allowed: allowed})
}

// text returns the accepted lines; rejected lines are empty, so that line numbers are kept.
func (scanner *scanner) text() string { return strings.Join(scanner.lines, "\n") }

// lineOf returns the line of the first occurrence of a setting, or 0 if the file lacks it.
func (scanner *scanner) lineOf(section, name string) int {
	for _, settingLine := range scanner.settingLines {
		if settingLine.section == section && settingLine.name == name {
			return settingLine.line
		}
	}
	return 0
}

// qualifiedName returns "section.name", or the name alone before any section.
func qualifiedName(section, name string) string {
	if section == "" {
		return name
	}
	return section + "." + name
}
