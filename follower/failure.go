package follower

import (
	"errors"

	"limpetcleat/failer"
)

// Fail returns an Error of the kind for the operation, with a formatted message. Feeds
// use it for their errors.
func Fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("follower."+operation, kind, format, values...)
}

func isKind(err error, kind Kind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind() == kind
}
