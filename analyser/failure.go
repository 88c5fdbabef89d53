package analyser

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// InvalidOption marks an option that cannot be used, such as an unknown table.
	InvalidOption Kind = "invalidOption"
	// Unreadable marks a source that could not be read to its end.
	Unreadable Kind = "unreadable"
	// Unwritable marks an output that could not be written.
	Unwritable Kind = "unwritable"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("analyser."+operation, kind, format, values...)
}
