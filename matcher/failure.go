package matcher

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// Unparsable marks a condition that does not compile or exceeds the bounds.
	Unparsable Kind = "unparsable"
	// Unrunnable marks a condition whose evaluation failed.
	Unrunnable Kind = "unrunnable"
	// NoRule marks a request that no rule matches.
	NoRule Kind = "noRule"
)

// Error is the type of all errors that this package returns.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("matcher."+operation, kind, format, values...)
}
