// Package failer holds the one shape that the error type of every package has:
// an operation, a kind and a cause.
package failer

import "fmt"

// Error is an error with an operation and a kind. Each package names its own
// instance, with its own kinds, as its Error.
type Error[Kind ~string] struct {
	// operation names the package and the step that failed.
	operation string
	// kind is one of the owning package's constants.
	kind Kind
	// cause is never nil.
	cause error
}

// New returns an error whose cause is built by fmt.Errorf from the format.
func New[Kind ~string](operation string, kind Kind, format string, values ...any) *Error[Kind] {
	return &Error[Kind]{operation: operation, kind: kind, cause: fmt.Errorf(format, values...)}
}

// Error returns the operation, the kind and the cause as one line.
func (failure *Error[Kind]) Error() string {
	return fmt.Sprintf("%s: %s: %v", failure.operation, failure.kind, failure.cause)
}

// Unwrap returns the cause.
func (failure *Error[Kind]) Unwrap() error { return failure.cause }

// Kind returns what sort of failure it is.
func (failure *Error[Kind]) Kind() Kind { return failure.kind }

// Operation returns the name of the package and of the step that failed.
func (failure *Error[Kind]) Operation() string { return failure.operation }
