package orderer

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

// Malformed marks a lease object that cannot be encoded or decoded.
const Malformed Kind = "malformed"

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("orderer."+operation, kind, format, values...)
}
