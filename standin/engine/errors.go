package engine

import (
	"fmt"
	"net/http"
)

// Kind classifies an Error. It is the error type in response bodies.
type Kind string

// The kinds of errors.
const (
	KindInvalid      Kind = "invalid"
	KindUnknownModel Kind = "unknownModel"
	KindLeaving      Kind = "leaving"
	KindQueueFull    Kind = "queueFull"
	KindDuplicate    Kind = "duplicateAttempt"
	KindCancelled    Kind = "cancelled"
	KindInjected     Kind = "injected"
)

// Error is the reason why the engine refused an attempt.
type Error struct {
	Operation string
	Kind      Kind
	Err       error
	// ran reports whether an earlier request with the same attempt ID has started.
	ran bool
}

// Error returns the operation, the kind and the cause, if any.
func (err *Error) Error() string {
	if err.Err == nil {
		return fmt.Sprintf("engine %s: %s", err.Operation, err.Kind)
	}
	return fmt.Sprintf("engine %s: %s: %v", err.Operation, err.Kind, err.Err)
}

// Unwrap returns the cause, or nil.
func (err *Error) Unwrap() error {
	return err.Err
}

func (err *Error) status() int {
	switch err.Kind {
	case KindInvalid:
		return http.StatusBadRequest
	case KindUnknownModel:
		return http.StatusNotFound
	case KindDuplicate:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// notRun reports whether the error proves that the attempt never ran. A duplicate attempt ID does
// not prove it, because the first request with that ID may have run.
func (err *Error) notRun() bool {
	return err.Kind != KindDuplicate && !err.ran
}
