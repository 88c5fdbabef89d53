package loader

import "strings"

// place is one "name = value" line of a settings file.
type place struct {
	section string
	name    string
	// line counts from 1.
	line int
}

// scanner finds the lines of sections and settings, which the INI library does
// not tell. It reports the lines that are neither.
type scanner struct {
	file string
	// places are in the order of the file.
	places []place
	// sections maps each section to its first line.
	sections map[string]int
	// lines holds the text with the rejected lines left empty.
	lines  []string
	faults []*Fault
}

// multiline returns the marks that would begin a value of several lines.
func multiline() []string { return []string{"`", `"""`, "'''"} }

// scan reads the text line by line.
func scan(file, text string) *scanner {
	scanner := &scanner{file: file, sections: make(map[string]int)}
	section := ""
	scanner.lines = strings.Split(text, "\n")
	for index, line := range scanner.lines {
		section = scanner.line(section, index+1, strings.TrimSpace(line))
	}
	return scanner
}

// line takes in one line and returns the section that holds for the next.
func (scanner *scanner) line(section string, number int, text string) string {
	switch {
	case text == "" || text[0] == '#' || text[0] == ';':
		return section
	case text[0] == '[':
		return scanner.section(section, number, text)
	}
	name, value, ok := strings.Cut(text, "=")
	if !ok || strings.TrimSpace(name) == "" {
		scanner.reject(number, section, "a line that is no setting", `a line "name = value"`)
		return section
	}
	for _, mark := range multiline() {
		if strings.HasPrefix(strings.TrimSpace(value), mark) || strings.HasPrefix(text, mark) {
			scanner.reject(number, joined(section, strings.TrimSpace(name)), "a value that begins with "+mark, "a value on one line without such a mark")
			return section
		}
	}
	scanner.places = append(scanner.places, place{section: section, name: strings.TrimSpace(name), line: number})
	return section
}

func (scanner *scanner) section(previous string, number int, text string) string {
	end := strings.IndexByte(text, ']')
	if end < 0 || strings.TrimSpace(text[1:end]) == "" || strings.TrimSpace(text[end+1:]) != "" {
		scanner.reject(number, previous, "a line that is no section", `a line "[section]"`)
		return previous
	}
	section := strings.TrimSpace(text[1:end])
	if _, seen := scanner.sections[section]; !seen {
		scanner.sections[section] = number
	}
	return section
}

func (scanner *scanner) reject(line int, name, found, allowed string) {
	if name == "" {
		name = "the file"
	}
	scanner.lines[line-1] = ""
	scanner.faults = append(scanner.faults, &Fault{file: scanner.file, line: line, name: name, found: found, allowed: allowed})
}

// text returns the accepted lines, each at its own place.
func (scanner *scanner) text() string { return strings.Join(scanner.lines, "\n") }

// lineOf returns the first line of a setting, or 0.
func (scanner *scanner) lineOf(section, name string) int {
	for _, place := range scanner.places {
		if place.section == section && place.name == name {
			return place.line
		}
	}
	return 0
}

func joined(section, name string) string {
	if section == "" {
		return name
	}
	return section + "." + name
}
