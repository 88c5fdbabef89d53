package commander

import "limpetcleat/failer"

// Kind classifies an Error and determines the exit code.
type Kind string

const (
	// InvalidUsage marks an invalid command line.
	InvalidUsage Kind = "wrongUsage"
	// Conflict marks a change that conflicts with a concurrent change by another operator.
	Conflict Kind = "conflict"
	// Partial marks a command that succeeded on some nodes only, such as a change that is not
	// yet in force on all of them.
	Partial Kind = "notEverywhere"
	// Failed marks any other failure.
	Failed Kind = "failed"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("commander."+operation, kind, format, values...)
}
