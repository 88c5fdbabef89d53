package commander

import "limpetcleat/failer"

// Kind classifies an Error; each has an exit code.
type Kind string

const (
	// WrongUsage marks a wrong command line.
	InvalidUsage Kind = "wrongUsage"
	// Conflicting marks a change that another operator's change overtook.
	Conflict Kind = "conflict"
	// NotEverywhere marks a change that some node does not apply yet.
	Partial Kind = "notEverywhere"
	// Failing marks anything else.
	Failed Kind = "failed"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("commander."+operation, kind, format, values...)
}
