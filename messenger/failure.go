package messenger

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// Malformed marks bytes that are no message.
	Malformed Kind = "malformed"
	// Unreachable marks a peer that could not be reached in time.
	Unreachable Kind = "unreachable"
	// Rejected marks an incoming connection that was turned away.
	Rejected Kind = "rejected"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("messenger."+operation, kind, format, values...)
}
