package loader

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	kibibyte = 1 << 10
	mebibyte = 1 << 20
	// maxShownBytes is the maximum number of bytes of an invalid value that a fault shows.
	maxShownBytes = 100
)

// setting describes one setting: its name, its allowed values and the field that stores its value.
type setting struct {
	section string
	name    string
	// unit is empty for a setting without a unit.
	unit string
	// allowed describes the allowed values.
	allowed string
	// defaultValue is the text used if the setting is missing; empty means no default.
	defaultValue string
	// meaning is one sentence on what the setting is for.
	meaning  string
	required bool
	// secret reports whether the value must not be shown.
	secret bool
	// mayBeEmpty reports whether the file may contain the setting with an empty value.
	mayBeEmpty bool
	// bind parses a text, stores its value and reports whether the text is allowed.
	bind func(settings *Settings, text string) bool
}

// displayed returns the text as a fault shows it: a secret as its length, any other quoted and
// truncated to maxShownBytes.
func (setting setting) displayed(text string) string {
	if setting.secret {
		return fmt.Sprintf("%d characters", len(text))
	}
	if len(text) > maxShownBytes {
		return strconv.Quote(text[:maxShownBytes]) + "..."
	}
	return strconv.Quote(text)
}

// asRequired returns a copy of the setting that is required.
func (setting setting) asRequired() setting {
	setting.required = true
	return setting
}

// asSecret returns a copy of the setting whose value is secret.
func (setting setting) asSecret() setting {
	setting.secret = true
	return setting
}

// field returns a pointer to the field of the settings that stores a value.
type field[Value any] func(settings *Settings) *Value

// interval is a range that includes both bounds.
type interval[Value int | time.Duration] struct{ low, high Value }

// contains reports whether the value is within the range.
func (interval interval[Value]) contains(value Value) bool {
	return value >= interval.low && value <= interval.high
}

// assign returns a bind function that parses a text and, if it is allowed, stores the value.
func assign[Value any](field field[Value], parse func(text string) (Value, bool)) func(*Settings, string) bool {
	return func(settings *Settings, text string) bool {
		value, ok := parse(text)
		if ok {
			*field(settings) = value
		}
		return ok
	}
}

func durationSetting(section, name string, interval interval[time.Duration], fallback, meaning string, field field[time.Duration]) setting {
	parse := func(text string) (time.Duration, bool) {
		value, err := time.ParseDuration(text)
		return value, err == nil && interval.contains(value)
	}
	allowed := fmt.Sprintf("a duration from %v to %v, such as 250ms or 5s", interval.low, interval.high)
	return setting{section: section, name: name, unit: "duration", allowed: allowed, defaultValue: fallback, meaning: meaning, bind: assign(field, parse)}
}

func countSetting(section, name, unit string, interval interval[int], fallback, meaning string, field field[int]) setting {
	parse := func(text string) (int, bool) {
		value, err := strconv.Atoi(text)
		return value, err == nil && interval.contains(value)
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", interval.low, interval.high)
	return setting{section: section, name: name, unit: unit, allowed: allowed, defaultValue: fallback, meaning: meaning, bind: assign(field, parse)}
}

func sizeSetting(section, name string, interval interval[int], fallback, meaning string, field field[int]) setting {
	parse := func(text string) (int, bool) {
		value, ok := parseSize(text)
		return value, ok && interval.contains(value)
	}
	allowed := fmt.Sprintf("a size from %s to %s, in bytes or with KiB or MiB", formatSize(interval.low), formatSize(interval.high))
	return setting{section: section, name: name, unit: "bytes", allowed: allowed, defaultValue: fallback, meaning: meaning, bind: assign(field, parse)}
}

// parseSize parses a number of bytes, optionally with the suffix KiB or MiB.
func parseSize(text string) (int, bool) {
	factor := 1
	for suffix, size := range map[string]int{"KiB": kibibyte, "MiB": mebibyte} {
		if number, ok := strings.CutSuffix(text, suffix); ok {
			text, factor = strings.TrimSpace(number), size
		}
	}
	value, err := strconv.ParseUint(text, 10, 31)
	return int(value) * factor, err == nil
}

// formatSize formats a size that is a multiple of 1 KiB.
func formatSize(size int) string {
	if size%mebibyte == 0 {
		return fmt.Sprintf("%dMiB", size/mebibyte)
	}
	return fmt.Sprintf("%dKiB", size/kibibyte)
}

func booleanSetting(section, name, meaning string, field field[bool]) setting {
	parse := func(text string) (bool, bool) { return text == "true", text == "true" || text == "false" }
	return setting{section: section, name: name, allowed: "true or false", defaultValue: "false", meaning: meaning, bind: assign(field, parse)}
}

// choiceSetting returns a setting whose default is the first choice.
func choiceSetting[Choice ~string](section, name string, choices []Choice, meaning string, field field[Choice]) setting {
	parse := func(text string) (Choice, bool) { return Choice(text), slices.Contains(choices, Choice(text)) }
	names := make([]string, 0, len(choices))
	for _, choice := range choices {
		names = append(names, string(choice))
	}
	allowed := "one of " + strings.Join(names, ", ")
	return setting{section: section, name: name, allowed: allowed, defaultValue: names[0], meaning: meaning, bind: assign(field, parse)}
}

func addressSetting(section, name, meaning string, field field[netip.AddrPort]) setting {
	parse := func(text string) (netip.AddrPort, bool) {
		value, err := netip.ParseAddrPort(text)
		return value, err == nil
	}
	return setting{section: section, name: name, allowed: "an IP address and port, such as 10.0.0.1:8080", meaning: meaning, bind: assign(field, parse)}
}

func nameSetting[Name ~string](section, name, meaning string, field field[Name]) setting {
	parse := func(text string) (Name, bool) { return Name(text), isValidName(text) }
	allowed := fmt.Sprintf("1 to %d letters, digits, dots, dashes and underscores", maxNameLength)
	return setting{section: section, name: name, allowed: allowed, meaning: meaning, bind: assign(field, parse)}
}

const maxNameLength = 100

func isValidName(text string) bool {
	valid := func(char rune) bool {
		return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char >= '0' && char <= '9' || strings.ContainsRune(".-_", char)
	}
	return text != "" && len(text) <= maxNameLength && strings.IndexFunc(text, func(char rune) bool { return !valid(char) }) < 0
}

func fileSetting(section, name, meaning string, field field[string]) setting {
	parse := func(text string) (string, bool) { return text, true }
	return setting{section: section, name: name, allowed: "the path of a file", meaning: meaning, bind: assign(field, parse)}
}

func tokenSetting(section, name, meaning string, field field[*string]) setting {
	parse := func(text string) (*string, bool) { return &text, isValidToken(text) }
	return setting{section: section, name: name, allowed: describeToken(), meaning: meaning, bind: assign(field, parse)}.asSecret()
}

const (
	minTokenLength = 16
	maxTokenLength = 512
)

func describeToken() string {
	return fmt.Sprintf("%d to %d visible ASCII characters", minTokenLength, maxTokenLength)
}

func isValidToken(text string) bool {
	visible := func(char rune) bool { return char > ' ' && char <= '~' }
	return len(text) >= minTokenLength && len(text) <= maxTokenLength && strings.IndexFunc(text, func(char rune) bool { return !visible(char) }) < 0
}

// listSetting returns a setting that is a comma-separated list; allowed describes one kind of item.
func listSetting[Item any](section, name, allowed, meaning string, parseItem func(string) (Item, bool), field field[[]Item]) setting {
	parse := func(text string) ([]Item, bool) {
		var items []Item
		for part := range strings.SplitSeq(text, ",") {
			item, ok := parseItem(strings.TrimSpace(part))
			if !ok {
				return nil, false
			}
			items = append(items, item)
		}
		return items, true
	}
	return setting{section: section, name: name, allowed: "a list, separated by commas, of " + allowed, meaning: meaning, bind: assign(field, parse)}
}
