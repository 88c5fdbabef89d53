package router

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

const (
	// NoRule marks a request that no rule matches.
	NoRule Kind = "noRule"
	// NoKey marks a request whose key no organisation holds, or that has none.
	NoKey Kind = "noKey"
	// Invalid marks a definition that New rejects.
	Invalid Kind = "invalid"
)

// Error is the type of all errors that this package returns.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("router."+operation, kind, format, values...)
}
