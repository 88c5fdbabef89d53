package reporter

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// Unplottable marks numbers that could not be drawn.
	Unplottable Kind = "unplottable"
	// Unwritable marks a page that could not be written.
	Unwritable Kind = "unwritable"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("reporter."+operation, kind, format, values...)
}
