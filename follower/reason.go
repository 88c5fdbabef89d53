package follower

import (
	"context"
	"errors"
)

// Reason is why the store is asked. Each call is billed, so that what a deployment pays
// for is told apart.
type Reason string

const (
	// Starting marks a list for a node that knows nothing yet.
	Starting Reason = "starting"
	// Standing marks a watch behind one that ended without a change.
	Standing Reason = "standing"
	// Changed marks a watch behind one that ended with changes.
	Changed Reason = "changed"
	// CatchingUp marks a list in place of a watch that the store could not answer, or not
	// in fewer bytes.
	CatchingUp Reason = "catchingUp"
	// Hurried marks a watch that is answered at once: in place of one that was ended early,
	// since something else told of a change or raised doubts about the store, or when this
	// node takes over from another.
	Hurried Reason = "hurried"
	// Told marks a list, which may be seconds old, for a version that a peer told of.
	Told Reason = "told"
	// Retrying marks a call behind one that failed, or of which nothing comes.
	Retrying Reason = "retrying"
	// Announcing marks the writing or removing of the node's own entry.
	Announcing Reason = "announcing"
	// Acting marks a call of a duty that is one node's at a time.
	Acting Reason = "acting"
	// Unstated marks a call of whoever gives no reason.
	Unstated Reason = "unstated"
)

// Outcome is how a call to the store ended: Answered, Ended, or the kind of its error.
type Outcome string

const (
	// Answered marks a call that was answered as asked.
	Answered Outcome = "answered"
	// Ended marks a call that this node ended before its answer.
	Ended Outcome = "ended"
)

// Call is one call to the store that is over.
type Call struct {
	// Feed is what was asked for, in this product's words.
	Feed    string
	Reason  Reason
	Outcome Outcome
}

// OutcomeOf returns how a call with the context ended that returned the error.
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

// WithStale returns a context whose lists may be answered seconds old, at a tenth of the
// price.
func WithStale(ctx context.Context) context.Context { return context.WithValue(ctx, staleKey{}, true) }

// IsStale tells whether lists with the context may be answered seconds old.
func IsStale(ctx context.Context) bool { return ctx.Value(staleKey{}) != nil }

type reasonKey struct{}

// WithReason returns a context whose calls to the store are made for the reason.
func WithReason(ctx context.Context, reason Reason) context.Context {
	return context.WithValue(ctx, reasonKey{}, reason)
}

// ReasonOf returns why calls with the context are made.
func ReasonOf(ctx context.Context) Reason {
	if reason, ok := ctx.Value(reasonKey{}).(Reason); ok {
		return reason
	}
	return Unstated
}
