package logger

import (
	"fmt"
	"reflect"
	"strings"
)

const (
	// withheld stands for a value that must not be logged.
	withheld = "(withheld)"
	// missing stands for the value of a name that has none.
	missing = "(missing)"
	// maxValueLength bounds the text of one value.
	maxValueLength = 2000
)

// secretParts returns what the name of a secret value contains, in lower case.
func secretParts() []string {
	return []string{"authoriz", "password", "secret", "credential", "prompt", "answer", "body", "content", "cookie", "bearer", "keyhash", "tokenfile"}
}

// secretEndings returns how the name of a secret value may end, in lower case.
func secretEndings() []string { return []string{"key", "keys", "token"} }

// redact returns the pairs with secret values withheld and long ones cut.
func redact(pairs []any) []any {
	if len(pairs)%2 == 1 {
		pairs = append(pairs[:len(pairs):len(pairs)], missing)
	}
	line := make([]any, 0, len(pairs))
	for index := 0; index < len(pairs); index += 2 {
		name := fmt.Sprint(pairs[index])
		line = append(line, name, redactValue(name, pairs[index+1]))
	}
	return line
}

func redactValue(name string, value any) any {
	if isCount(value) {
		return value
	}
	if isSecret(name) {
		return withheld
	}
	text := fmt.Sprint(value)
	if len(text) > maxValueLength {
		return text[:maxValueLength] + "..."
	}
	return text
}

// isSecret tells whether a value of that name must not be logged.
func isSecret(name string) bool {
	lower := strings.NewReplacer("-", "", "_", "", ".", "").Replace(strings.ToLower(name))
	for _, part := range secretParts() {
		if strings.Contains(lower, part) {
			return true
		}
	}
	for _, ending := range secretEndings() {
		if strings.HasSuffix(lower, ending) {
			return true
		}
	}
	return false
}

// isCount tells whether a value is a number or a truth value, which carries no
// secret whatever its name.
func isCount(value any) bool {
	switch reflect.ValueOf(value).Kind() {
	case reflect.Bool, reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64,
		reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64,
		reflect.Float32, reflect.Float64:
		return true
	default:
		return false
	}
}
