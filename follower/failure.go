package follower

import (
	"errors"

	"limpetcleat/failer"
)

// Fail returns an error of this package; feeds use it.
func Fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("follower."+operation, kind, format, values...)
}

func isKind(err error, kind Kind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind() == kind
}
