// Package leaseholder lets one node at a time act on a duty, by one object of the
// platform's store: each act is preceded by a conditional write that claims the duty and
// records what will be done. The claim bears a fencing token that no other claim has, and
// holds for a lease by the steady clock of its holder. Nothing is agreed between nodes:
// two that try at once cost calls alone.
package leaseholder

import (
	"errors"

	"limpetcleat/failer"
)

// Kind classifies an Error.
type Kind string

const (
	// Conflict marks a write whose condition did not hold.
	Conflict Kind = "conflict"
	// Unanswered marks a call that may still be carried out.
	Unanswered Kind = "unanswered"
	// Refused marks a call that the platform turned away; it is not carried out.
	Refused Kind = "refused"
	// Outdated marks an act that the platform refused for a newer fencing token.
	Outdated Kind = "outdated"
	// Unavailable marks an act of which there is nothing to be had now.
	Unavailable Kind = "unavailable"
	// Unreadable marks a claim that another program or a newer version wrote.
	Unreadable Kind = "unreadable"
	// Resting marks a claim that this node may not make yet, since another has acted
	// behind it.
	Resting Kind = "resting"
	// Needless marks a claim behind which nothing would be done.
	Needless Kind = "needless"
)

// Error is the one error type of this package.
type Error = failer.Error[Kind]

// Fail returns an error of this package; stores and platforms use it.
func Fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("leaseholder."+operation, kind, format, values...)
}

// IsKind tells whether an error is one of this package, of the kind.
func IsKind(err error, kind Kind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind() == kind
}
