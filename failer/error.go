// Package failer provides the generic error type that all packages use: an
// operation, a kind and a cause. Each package instantiates it with its own kinds.
package failer

import "fmt"

// Error is an error with an operation and a kind. Each package declares an alias
// Error for it, instantiated with the package's own type of kinds.
type Error[Kind ~string] struct {
	// operation is the package and the step that failed, such as "definer.parse".
	operation string
	// kind is one of the owning package's constants.
	kind Kind
	// cause is never nil.
	cause error
}

// New returns an error whose cause is made by fmt.Errorf from the format and values.
func New[Kind ~string](operation string, kind Kind, format string, values ...any) *Error[Kind] {
	return &Error[Kind]{operation: operation, kind: kind, cause: fmt.Errorf(format, values...)}
}

// Error returns the operation, the kind and the cause, separated by colons.
func (failure *Error[Kind]) Error() string {
	return fmt.Sprintf("%s: %s: %v", failure.operation, failure.kind, failure.cause)
}

// Unwrap returns the cause.
func (failure *Error[Kind]) Unwrap() error { return failure.cause }

// Kind returns the kind of the error.
func (failure *Error[Kind]) Kind() Kind { return failure.kind }

// Operation returns the package and the step that failed, such as "definer.parse".
func (failure *Error[Kind]) Operation() string { return failure.operation }
