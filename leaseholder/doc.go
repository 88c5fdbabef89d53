// Package leaseholder implements a fenced lease that lets one node at a time perform a duty. The
// lease is one object in the platform's store: before it acts, a node claims the duty by a
// conditional write that also records what it is about to do. Each claim has a unique fencing
// token and is valid for the lease time by the monotonic clock of its holder. Nodes don't
// coordinate: concurrent claims cost calls only.
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
	// Unanswered marks a call without an answer, which may still be carried out.
	Unanswered Kind = "unanswered"
	// Refused marks a call that the platform rejected; it is not carried out.
	Refused Kind = "refused"
	// Outdated marks an act that the platform rejected because it has seen a newer fencing token.
	Outdated Kind = "outdated"
	// Unavailable marks an act for which the platform has no resources at present.
	Unavailable Kind = "unavailable"
	// Unreadable marks a claim that another program or a newer version wrote.
	Unreadable Kind = "unreadable"
	// HeldByOther marks a claim that this node may not make yet: it acted a short time ago, and
	// another node has claimed the duty since.
	HeldByOther Kind = "resting"
	// Unneeded marks a claim that is not made because there is nothing to do under it.
	Unneeded Kind = "needless"
)

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Fail returns an error of this package; implementations of stores and platforms use it.
func Fail(operation string, kind Kind, format string, values ...any) *Error {
	return failer.New("leaseholder."+operation, kind, format, values...)
}

// IsKind reports whether an error is an Error of this package with the given kind.
func IsKind(err error, kind Kind) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Kind() == kind
}
