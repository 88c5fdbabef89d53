package definer

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// Invalid marks a configuration that breaks a stated rule.
	Invalid Kind = "invalid"
	// Malformed marks bytes that could not be decoded.
	Malformed Kind = "malformed"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("definer."+operation, kind, format, values...)
}
