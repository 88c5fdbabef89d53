package reporter

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// Unplottable means that a plot could not be drawn.
	Unplottable Kind = "unplottable"
	// Unwritable means that the text or HTML report could not be written.
	Unwritable Kind = "unwritable"
)

// Error is the type of the errors that this package creates.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("reporter."+operation, kind, format, values...)
}
