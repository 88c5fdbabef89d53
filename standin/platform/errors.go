package platform

import (
	"fmt"
	"net/http"
)

// Kind classifies an Error.
type Kind string

// The kinds of errors: a failed condition, a missing object, and a revision outside the history.
const (
	KindConflict Kind = "conflict"
	KindNotFound Kind = "notFound"
	KindGone     Kind = "gone"
)

// Error reports why an operation on the object store was rejected.
type Error struct {
	Operation string
	Kind      Kind
}

// Error returns the operation and the kind.
func (err *Error) Error() string {
	return fmt.Sprintf("platform %s: %s", err.Operation, err.Kind)
}

// status returns the HTTP status of the error.
func (err *Error) status() int {
	switch err.Kind {
	case KindConflict:
		return http.StatusPreconditionFailed
	case KindNotFound:
		return http.StatusNotFound
	case KindGone:
		return http.StatusGone
	default:
		return http.StatusInternalServerError
	}
}
