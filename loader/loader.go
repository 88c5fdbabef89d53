package loader

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

// maxFileBytes bounds a settings file.
const maxFileBytes = 1 << 20

// Load reads and checks a settings file. The error is of kind Unreadable, or
// of kind Invalid and then joins a Fault for everything that is wrong.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail("load", Unreadable, "%w", err)
	}
	return Parse(path, data)
}

// Parse checks the text of a settings file; the name stands in the faults. It
// reads no other file: those that the settings name are checked by CheckFiles.
func Parse(name string, data []byte) (*Settings, error) {
	parser := &parser{file: name, settings: &Settings{}, table: table()}
	if len(data) > maxFileBytes || !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		parser.reject(0, "the file", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("UTF-8 text of at most %d bytes", maxFileBytes))
		return nil, parser.failure()
	}
	parser.scanner = scan(name, normalise(string(data)))
	parser.faults = append(parser.faults, parser.scanner.faults...)
	parser.names()
	if parser.read() {
		parser.values()
		parser.relations()
	}
	if len(parser.faults) > 0 {
		return nil, parser.failure()
	}
	return parser.settings, nil
}

// normalise drops a byte order mark and makes every line end alike.
func normalise(text string) string {
	text = strings.TrimPrefix(text, "\ufeff")
	text = strings.ReplaceAll(text, "\r\n", "\n")
	return strings.ReplaceAll(text, "\r", "\n")
}

// parser gathers settings and the faults met on the way.
type parser struct {
	file     string
	scanner  *scanner
	settings *Settings
	table    []setting
	// found holds the texts of the settings that stand in the file.
	found  map[string]string
	faults []*Fault
}

func (parser *parser) reject(line int, name, found, allowed string) {
	parser.faults = append(parser.faults, &Fault{file: parser.file, line: line, name: name, found: found, allowed: allowed})
}

// rejectValue rejects a setting by its name, at the line where it stands.
func (parser *parser) rejectValue(section, name, found, allowed string) {
	parser.reject(parser.scanner.lineOf(section, name), joined(section, name), found, allowed)
}

// failure joins all faults in the order of the file.
func (parser *parser) failure() error {
	slices.SortStableFunc(parser.faults, func(a, b *Fault) int { return cmp.Compare(a.line, b.line) })
	faults := make([]error, 0, len(parser.faults))
	for _, fault := range parser.faults {
		faults = append(faults, fault)
	}
	return fail("parse", Invalid, "%w", errors.Join(faults...))
}

// names rejects unknown sections, unknown settings and settings that stand twice.
func (parser *parser) names() {
	sections := make(map[string][]string)
	for _, setting := range parser.table {
		sections[setting.section] = append(sections[setting.section], setting.name)
	}
	for section, line := range parser.scanner.sections {
		if sections[section] == nil {
			parser.reject(line, section, "an unknown section", "one of "+strings.Join(sectionNames(parser.table), ", "))
		}
	}
	first := make(map[string]int)
	for _, place := range parser.scanner.places {
		name := joined(place.section, place.name)
		if line, doubled := first[name]; doubled {
			parser.reject(place.line, name, fmt.Sprintf("the setting a second time (first on line %d)", line), "one such line")
			continue
		}
		first[name] = place.line
		allowed, known := sections[place.section]
		switch {
		case place.section == "":
			parser.reject(place.line, name, "a setting before any section", "a section line first")
		case known && !slices.Contains(allowed, place.name):
			parser.reject(place.line, name, "an unknown setting", "one of "+strings.Join(allowed, ", "))
		}
	}
}

// read hands the accepted lines to the INI library and tells whether it could
// read them.
func (parser *parser) read() bool {
	options := ini.LoadOptions{
		IgnoreInlineComment:     true,
		IgnoreContinuation:      true,
		PreserveSurroundedQuote: true,
		KeyValueDelimiters:      "=",
		SkipUnrecognizableLines: true,
	}
	file, err := ini.LoadSources(options, []byte(parser.scanner.text()))
	if err != nil {
		parser.reject(0, "the file", err.Error(), "INI text")
		return false
	}
	parser.found = make(map[string]string)
	for _, setting := range parser.table {
		if section := file.Section(setting.section); section.HasKey(setting.name) {
			parser.found[joined(setting.section, setting.name)] = section.Key(setting.name).Value()
		}
	}
	return true
}

// values checks each setting against the table.
func (parser *parser) values() {
	for _, setting := range parser.table {
		text, ok := parser.found[joined(setting.section, setting.name)]
		switch {
		case ok && text == "" && !setting.mayBeEmpty:
			parser.rejectValue(setting.section, setting.name, "nothing", setting.allowed)
			continue
		case !ok && setting.required:
			parser.rejectValue(setting.section, setting.name, "no such setting", setting.allowed)
			continue
		case !ok || text == "":
			text = setting.fallback
		}
		if text == "" {
			continue
		}
		if setting.bind(parser.settings, text) {
			continue
		}
		parser.rejectValue(setting.section, setting.name, setting.shown(text), setting.allowed)
	}
}
