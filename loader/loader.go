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

// maxFileBytes is the maximum size of a settings file.
const maxFileBytes = 1 << 20

// Load reads and validates a settings file. The error is of kind Unreadable, or of kind Invalid and
// then joins all faults of the file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fail("load", Unreadable, "%w", err)
	}
	return Parse(path, data)
}

// Parse validates the text of a settings file; the faults report the given name of the file. The
// error is of kind Invalid and joins all faults. Parse does not open the files that the settings
// refer to; CheckFiles does.
func Parse(name string, data []byte) (*Settings, error) {
	parser := &parser{file: name, settings: &Settings{}, table: table()}
	if len(data) > maxFileBytes || !utf8.Valid(data) || bytes.IndexByte(data, 0) >= 0 {
		parser.addFault(0, "the file", fmt.Sprintf("%d bytes", len(data)), fmt.Sprintf("UTF-8 text of at most %d bytes", maxFileBytes))
		return nil, parser.joinedError()
	}
	parser.scanner = scan(name, normalise(string(data)))
	parser.faults = append(parser.faults, parser.scanner.faults...)
	parser.checkNames()
	if parser.parseLines() {
		parser.bindValues()
		parser.checkRelations()
	}
	if len(parser.faults) > 0 {
		return nil, parser.joinedError()
	}
	return parser.settings, nil
}

// normalise removes a byte order mark and converts all line endings to "\n".
func normalise(text string) string {
	text = strings.TrimPrefix(text, "\ufeff")
	text = strings.ReplaceAll(text, "\r\n", "\n")
	return strings.ReplaceAll(text, "\r", "\n")
}

// parser collects the settings and the faults of a file.
type parser struct {
	file     string
	scanner  *scanner
	settings *Settings
	table    []setting
	// texts maps "section.setting" to the text of each setting that the file contains.
	texts  map[string]string
	faults []*Fault
}

// addFault records a fault.
func (parser *parser) addFault(line int, name, found, allowed string) {
	parser.faults = append(parser.faults, &Fault{file: parser.file, line: line, name: name, found: found, allowed: allowed})
}

// addSettingFault records a fault of a setting, at the line of the setting.
func (parser *parser) addSettingFault(section, name, found, allowed string) {
	parser.addFault(parser.scanner.lineOf(section, name), qualifiedName(section, name), found, allowed)
}

// joinedError returns an error that joins all faults, ordered by line.
func (parser *parser) joinedError() error {
	slices.SortStableFunc(parser.faults, func(a, b *Fault) int { return cmp.Compare(a.line, b.line) })
	faults := make([]error, 0, len(parser.faults))
	for _, fault := range parser.faults {
		faults = append(faults, fault)
	}
	return fail("parse", Invalid, "%w", errors.Join(faults...))
}

// checkNames rejects unknown sections, unknown settings, repeated settings and settings before any
// section.
func (parser *parser) checkNames() {
	sections := make(map[string][]string)
	for _, setting := range parser.table {
		sections[setting.section] = append(sections[setting.section], setting.name)
	}
	for section, line := range parser.scanner.sections {
		if sections[section] == nil {
			parser.addFault(line, section, "an unknown section", "one of "+strings.Join(sectionNames(parser.table), ", "))
		}
	}
	firstLines := make(map[string]int)
	for _, settingLine := range parser.scanner.settingLines {
		name := qualifiedName(settingLine.section, settingLine.name)
		if line, repeated := firstLines[name]; repeated {
			parser.addFault(settingLine.line, name, fmt.Sprintf("the setting a second time (first on line %d)", line), "the setting only once")
			continue
		}
		firstLines[name] = settingLine.line
		allowed, known := sections[settingLine.section]
		switch {
		case settingLine.section == "":
			parser.addFault(settingLine.line, name, "a setting before any section", "a section line before the first setting")
		case known && !slices.Contains(allowed, settingLine.name):
			parser.addFault(settingLine.line, name, "an unknown setting", "one of "+strings.Join(allowed, ", "))
		}
	}
}

// parseLines parses the accepted lines with the INI library and reports whether the library accepts
// them.
func (parser *parser) parseLines() bool {
	options := ini.LoadOptions{
		IgnoreInlineComment:     true,
		IgnoreContinuation:      true,
		PreserveSurroundedQuote: true,
		KeyValueDelimiters:      "=",
		SkipUnrecognizableLines: true,
	}
	file, err := ini.LoadSources(options, []byte(parser.scanner.text()))
	if err != nil {
		parser.addFault(0, "the file", err.Error(), "INI text")
		return false
	}
	parser.texts = make(map[string]string)
	for _, setting := range parser.table {
		if section := file.Section(setting.section); section.HasKey(setting.name) {
			parser.texts[qualifiedName(setting.section, setting.name)] = section.Key(setting.name).Value()
		}
	}
	return true
}

// bindValues validates each setting and stores its value, or the default for a missing setting.
func (parser *parser) bindValues() {
	for _, setting := range parser.table {
		text, ok := parser.texts[qualifiedName(setting.section, setting.name)]
		switch {
		case ok && text == "" && !setting.mayBeEmpty:
			parser.addSettingFault(setting.section, setting.name, "nothing", setting.allowed)
			continue
		case !ok && setting.required:
			parser.addSettingFault(setting.section, setting.name, "no such setting", setting.allowed)
			continue
		case !ok || text == "":
			text = setting.defaultValue
		}
		if text == "" {
			continue
		}
		if setting.bind(parser.settings, text) {
			continue
		}
		parser.addSettingFault(setting.section, setting.name, setting.displayed(text), setting.allowed)
	}
}
