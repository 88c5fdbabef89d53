package storer

import (
	"errors"
	"time"

	"limpetcleat/failer"
)

// Kind classifies an Error.
type Kind string

const (
	// Missing means that the object does not exist.
	Missing Kind = "missing"
	// Conflict means that the object's version is not the version that the call requires,
	// or that an object to be created exists.
	Conflict Kind = "conflict"
	// Gone means that the platform's history does not cover the revision of a watch.
	Gone Kind = "gone"
	// Rejected means that the platform could not be reached or declined the call for now
	// (status 429 or 503); the call had no effect.
	Rejected Kind = "rejected"
	// Lost means that no usable response arrived; a write may have taken effect.
	Lost Kind = "lost"
	// Refused means that the platform considers the call invalid (another 4xx status); the
	// call had no effect.
	Refused Kind = "refused"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("storer."+operation, kind, format, values...)
}

// KindOf returns the kind of a failed call's error, or the empty Kind if err is nil. It
// returns Lost for an error that is not an Error of this package, since the effect of
// the call is then unknown.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Kind()
	}
	return Lost
}

// statusError is the cause of an Error that stems from the status of a response. It
// holds the wait that the platform asked for.
type statusError struct {
	status     string
	retryAfter time.Duration
}

// Error returns the status of the response.
func (statusError *statusError) Error() string { return statusError.status }

// RetryAfter returns how long the platform asked the caller to wait before the next
// call; 0 if it did not ask.
func RetryAfter(err error) time.Duration {
	var cause *statusError
	if errors.As(err, &cause) {
		return cause.retryAfter
	}
	return 0
}
