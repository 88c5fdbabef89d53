package router

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// NoRule marks a request that no rule matches.
	NoRule Kind = "noRule"
	// NoKey marks a request without a key that some organisation holds.
	NoKey Kind = "noKey"
	// Invalid marks a definition that no table can be built from.
	Invalid Kind = "invalid"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("router."+operation, kind, format, values...)
}
