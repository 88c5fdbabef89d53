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
	// maxShown bounds how much of a wrong value stands in a fault.
	maxShown = 100
)

// setting describes one setting: its name, its range and where its value goes.
type setting struct {
	section string
	name    string
	// unit is empty for a setting without one.
	unit string
	// allowed tells the range in words.
	allowed string
	// fallback is the text used when the setting is missing; it is allowed.
	fallback string
	// meaning is one sentence.
	meaning  string
	required bool
	// secret values are never shown.
	secret bool
	// mayBeEmpty settings may stand in the file without a value.
	mayBeEmpty bool
	// bind stores the value of a text and tells whether it is allowed.
	bind func(settings *Settings, text string) bool
}

// shown returns the text as it may stand in a fault.
func (setting setting) shown(text string) string {
	if setting.secret {
		return fmt.Sprintf("%d characters", len(text))
	}
	if len(text) > maxShown {
		return strconv.Quote(text[:maxShown]) + "..."
	}
	return strconv.Quote(text)
}

// needed returns the setting with no default.
func (setting setting) needed() setting {
	setting.required = true
	return setting
}

// hidden returns the setting with its value kept out of faults.
func (setting setting) hidden() setting {
	setting.secret = true
	return setting
}

// field points at the place of a value in the settings.
type field[Value any] func(settings *Settings) *Value

// span is an inclusive range.
type span[Value int | time.Duration] struct{ low, high Value }

func (span span[Value]) holds(value Value) bool { return value >= span.low && value <= span.high }

// assign stores what a parser made of a text, if the text is allowed.
func assign[Value any](field field[Value], parse func(text string) (Value, bool)) func(*Settings, string) bool {
	return func(settings *Settings, text string) bool {
		value, ok := parse(text)
		if ok {
			*field(settings) = value
		}
		return ok
	}
}

func durationSetting(section, name string, span span[time.Duration], fallback, meaning string, field field[time.Duration]) setting {
	parse := func(text string) (time.Duration, bool) {
		value, err := time.ParseDuration(text)
		return value, err == nil && span.holds(value)
	}
	allowed := fmt.Sprintf("a duration from %v to %v, such as 250ms or 5s", span.low, span.high)
	return setting{section: section, name: name, unit: "duration", allowed: allowed, fallback: fallback, meaning: meaning, bind: assign(field, parse)}
}

func countSetting(section, name, unit string, span span[int], fallback, meaning string, field field[int]) setting {
	parse := func(text string) (int, bool) {
		value, err := strconv.Atoi(text)
		return value, err == nil && span.holds(value)
	}
	allowed := fmt.Sprintf("a whole number from %d to %d", span.low, span.high)
	return setting{section: section, name: name, unit: unit, allowed: allowed, fallback: fallback, meaning: meaning, bind: assign(field, parse)}
}

func sizeSetting(section, name string, span span[int], fallback, meaning string, field field[int]) setting {
	parse := func(text string) (int, bool) {
		value, ok := parseSize(text)
		return value, ok && span.holds(value)
	}
	allowed := fmt.Sprintf("a size from %s to %s, in bytes or with KiB or MiB", sizeText(span.low), sizeText(span.high))
	return setting{section: section, name: name, unit: "bytes", allowed: allowed, fallback: fallback, meaning: meaning, bind: assign(field, parse)}
}

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

func sizeText(size int) string {
	if size%mebibyte == 0 {
		return fmt.Sprintf("%dMiB", size/mebibyte)
	}
	return fmt.Sprintf("%dKiB", size/kibibyte)
}

func booleanSetting(section, name, meaning string, field field[bool]) setting {
	parse := func(text string) (bool, bool) { return text == "true", text == "true" || text == "false" }
	return setting{section: section, name: name, allowed: "true or false", fallback: "false", meaning: meaning, bind: assign(field, parse)}
}

func choiceSetting[Choice ~string](section, name string, choices []Choice, meaning string, field field[Choice]) setting {
	parse := func(text string) (Choice, bool) { return Choice(text), slices.Contains(choices, Choice(text)) }
	words := make([]string, 0, len(choices))
	for _, choice := range choices {
		words = append(words, string(choice))
	}
	allowed := "one of " + strings.Join(words, ", ")
	return setting{section: section, name: name, allowed: allowed, fallback: words[0], meaning: meaning, bind: assign(field, parse)}
}

func addressSetting(section, name, meaning string, field field[netip.AddrPort]) setting {
	parse := func(text string) (netip.AddrPort, bool) {
		value, err := netip.ParseAddrPort(text)
		return value, err == nil
	}
	return setting{section: section, name: name, allowed: "an IP address and port, such as 10.0.0.1:8080", meaning: meaning, bind: assign(field, parse)}
}

func nameSetting[Name ~string](section, name, meaning string, field field[Name]) setting {
	parse := func(text string) (Name, bool) { return Name(text), isName(text) }
	allowed := fmt.Sprintf("1 to %d letters, digits, dots, dashes and underscores", maxNameLength)
	return setting{section: section, name: name, allowed: allowed, meaning: meaning, bind: assign(field, parse)}
}

const maxNameLength = 100

func isName(text string) bool {
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
	parse := func(text string) (*string, bool) { return &text, isToken(text) }
	return setting{section: section, name: name, allowed: tokenAllowed(), meaning: meaning, bind: assign(field, parse)}.hidden()
}

const (
	minTokenLength = 16
	maxTokenLength = 512
)

func tokenAllowed() string {
	return fmt.Sprintf("%d to %d visible ASCII characters", minTokenLength, maxTokenLength)
}

func isToken(text string) bool {
	visible := func(char rune) bool { return char > ' ' && char <= '~' }
	return len(text) >= minTokenLength && len(text) <= maxTokenLength && strings.IndexFunc(text, func(char rune) bool { return !visible(char) }) < 0
}

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
