package platform

import (
	"fmt"
	"net/http"
)

// Kind says why the platform refused.
type Kind string

// The kinds of refusals.
const (
	KindConflict Kind = "conflict"
	KindNotFound Kind = "notFound"
	KindGone     Kind = "gone"
)

// Error is a refusal of the store.
type Error struct {
	Operation string
	Kind      Kind
}

// Error returns the operation and the kind.
func (err *Error) Error() string {
	return fmt.Sprintf("platform %s: %s", err.Operation, err.Kind)
}

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
