package watcher

import "limpetcleat/failer"

// Kind classifies an Error.
type Kind string

// Unusable means that a section of the stored configuration is missing or does not
// match its hash.
const Unusable Kind = "unusable"

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("watcher."+operation, kind, format, values...)
}
