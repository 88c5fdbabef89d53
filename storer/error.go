package storer

import (
	"errors"
	"time"

	"limpetcleat/failer"
)

// Kind classifies an Error.
type Kind string

const (
	// Missing says that there is no such object.
	Missing Kind = "missing"
	// Conflict says that the object has another version than the call named.
	Conflict Kind = "conflict"
	// Gone says that the platform's history does not reach back so far.
	Gone Kind = "gone"
	// Rejected says that the call was turned away and had no effect.
	Rejected Kind = "rejected"
	// Lost says that no usable answer came; a write may have taken effect.
	Lost Kind = "lost"
	// Refused says that the platform takes the call for wrong; it had no effect.
	Refused Kind = "refused"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

func fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("storer."+operation, kind, format, values...)
}

// KindOf returns the kind of a failed call, or nothing if there is no error. It
// is Lost if the error is not of this package, since then nothing is known of
// the call's effect.
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

// delayed is a cause that tells when to come again.
type delayed struct {
	status     string
	retryAfter time.Duration
}

// Error returns the status line of the answer.
func (delayed *delayed) Error() string { return delayed.status }

// RetryAfter returns how long the platform asked to wait; 0 if it did not ask.
func RetryAfter(err error) time.Duration {
	var cause *delayed
	if errors.As(err, &cause) {
		return cause.retryAfter
	}
	return 0
}
