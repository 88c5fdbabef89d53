package claimer

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

// Malformed is the kind of errors about objects that cannot be encoded or decoded.
const Malformed Kind = "malformed"

// Error is the type of all errors of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("claimer."+operation, kind, format, values...)
}
