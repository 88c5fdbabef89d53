package watcher

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

// Unusable marks a stored configuration that is not whole.
const Unusable Kind = "unusable"

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("watcher."+operation, kind, format, values...)
}
