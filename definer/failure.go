package definer

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// Invalid means that a configuration fails validation.
	Invalid Kind = "invalid"
	// Malformed means that the data could not be decoded.
	Malformed Kind = "malformed"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("definer."+operation, kind, format, values...)
}
