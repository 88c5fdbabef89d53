package follower

import (
	"context"
	"errors"
)

// Reason is why a call to the store is made. Each call is billed, so calls are counted
// by reason.
type Reason string

const (
	// Starting marks a list by a node that holds nothing yet.
	Starting Reason = "starting"
	// Standing marks a watch that follows one without a change.
	Standing Reason = "standing"
	// Changed marks a watch that follows an answer with changes, or a list.
	Changed Reason = "changed"
	// Resuming marks a list by a node that begins to read the store again and has no position to watch from.
	Resuming Reason = "resuming"
	// CatchingUp marks a list in place of a watch that the store could not answer, or
	// not in fewer bytes than a list.
	CatchingUp Reason = "catchingUp"
	// Settling marks a watch from the revision up to which all changes are known: an answer since then may have
	// lacked some.
	Settling Reason = "settling"
	// Auditing marks a list that checks the copy.
	Auditing Reason = "auditing"
	// Hurried marks a watch with a short wait: after one that was ended early, because
	// another source reported a change or raised doubts about the store, or when this
	// node takes over from another.
	Hurried Reason = "hurried"
	// Told marks a list, possibly seconds old, for a version that a peer reported.
	Told Reason = "told"
	// Retrying marks a watch after a call that failed or of whose answer no byte arrived in
	// time.
	Retrying Reason = "retrying"
	// Relisting marks a list after such a call.
	Relisting Reason = "relisting"
	// Announcing marks a call that writes or removes the node's own entry.
	Announcing Reason = "announcing"
	// Acting marks a call for a duty that one node at a time holds.
	Acting Reason = "acting"
	// Unstated marks a call whose context has no reason.
	Unstated Reason = "unstated"
)

// Outcome is how a call to the store ended: Answered, Ended, or the kind of its error.
type Outcome string

const (
	// Answered marks a call that was answered as asked.
	Answered Outcome = "answered"
	// Ended marks a call that this node cancelled before its answer.
	Ended Outcome = "ended"
)

// Call is a finished call to the store.
type Call struct {
	// Feed names what was asked for, in the terms of this project.
	Feed    string
	Reason  Reason
	Outcome Outcome
}

// OutcomeOf returns the outcome of a call that was made with the context and returned
// err. An error that is not an Error counts as Lost.
func OutcomeOf(ctx context.Context, err error) Outcome {
	var failure *Error
	switch {
	case err == nil:
		return Answered
	case errors.Is(ctx.Err(), context.Canceled):
		return Ended
	case errors.As(err, &failure):
		return Outcome(failure.Kind())
	}
	return Outcome(Lost)
}

type staleKey struct{}

// WithStale returns a context whose lists may be answered with data that is seconds old,
// at a tenth of the price.
func WithStale(ctx context.Context) context.Context { return context.WithValue(ctx, staleKey{}, true) }

// IsStale reports whether lists with the context may be answered with data that is
// seconds old.
func IsStale(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }

type reasonKey struct{}

// WithReason returns a context whose calls to the store carry the reason.
func WithReason(ctx context.Context, reason Reason) context.Context {
	return context.WithValue(ctx, reasonKey{}, reason)
}

// ReasonOf returns the reason of calls with the context, Unstated if there is none.
func ReasonOf(ctx context.Context) Reason {
	if reason, ok := ctx.Value(reasonKey{}).(Reason); ok {
		return reason
	}
	return Unstated
}
