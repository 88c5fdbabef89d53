package logger

import (
	"fmt"
	"reflect"
	"strings"
)

const (
	// withheldText replaces a value that must not be logged.
	withheldText = "(withheld)"
	// missingText is logged for the last name if it has no value.
	missingText = "(missing)"
	// maxValueBytes bounds the text of a value; longer texts are truncated.
	maxValueBytes = 2000
)

// secretSubstrings returns the lower-case substrings that mark the name of a secret value.
func secretSubstrings() []string {
	return []string{"authoriz", "password", "secret", "credential", "prompt", "answer", "body", "content", "cookie", "bearer", "keyhash", "tokenfile"}
}

// secretSuffixes returns the lower-case suffixes that mark the name of a secret value.
func secretSuffixes() []string { return []string{"key", "keys", "token"} }

// redactPairs returns the pairs with secret values replaced and long values truncated.
func redactPairs(pairs []any) []any {
	if len(pairs)%2 == 1 {
		pairs = append(pairs[:len(pairs):len(pairs)], missingText)
	}
	line := make([]any, 0, len(pairs))
	for index := 0; index < len(pairs); index += 2 {
		name := fmt.Sprint(pairs[index])
		line = append(line, name, redactValue(name, pairs[index+1]))
	}
	return line
}

func redactValue(name string, value any) any {
	if isNumberOrBoolean(value) {
		return value
	}
	if isSecret(name) {
		return withheldText
	}
	text := fmt.Sprint(value)
	if len(text) > maxValueBytes {
		return text[:maxValueBytes] + "..."
	}
	return text
}

// isSecret reports whether a value with the name must not be logged. Case and the separators "-",
// "_" and "." are ignored.
func isSecret(name string) bool {
	lower := strings.NewReplacer("-", "", "_", "", ".", "").Replace(strings.ToLower(name))
	for _, part := range secretSubstrings() {
		if strings.Contains(lower, part) {
			return true
		}
	}
	for _, ending := range secretSuffixes() {
		if strings.HasSuffix(lower, ending) {
			return true
		}
	}
	return false
}

// isNumberOrBoolean reports whether a value is a number or a boolean. Such a value contains no
// secret, whatever its name.
func isNumberOrBoolean(value any) bool {
	switch reflect.ValueOf(value).Kind() {
	case reflect.Bool, reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64,
		reflect.Float32, reflect.Float64:
		return true
	default:
		return false
	}
}
