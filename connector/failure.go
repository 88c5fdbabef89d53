package connector

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// Unconnected marks an exchange of which nothing was sent.
	Unconnected Kind = "unconnected"
	// Unanswered marks an exchange that was sent, wholly or in part, and has no
	// answer: the upstream may have run it.
	Unanswered Kind = "unanswered"
	// Mismatched marks an exchange after which only answers to others came.
	Mismatched Kind = "mismatched"
	// Broken marks an answer that ended early.
	Broken Kind = "broken"
	// TooLarge marks an answer above the bound.
	TooLarge Kind = "tooLarge"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("connector."+operation, kind, format, values...)
}
