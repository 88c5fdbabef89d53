package messenger

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// Malformed marks a frame that does not hold exactly one message.
	Malformed Kind = "malformed"
	// Unreachable marks a peer that did not accept an envelope in time.
	Unreachable Kind = "unreachable"
	// Rejected marks an incoming connection that was refused.
	Rejected Kind = "rejected"
)

// Error is the type of all errors of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("messenger."+operation, kind, format, values...)
}
