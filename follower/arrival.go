package follower

import "context"

// AnswerProgress observes how much of the answer to a call has been received. A call whose
// answer is still coming in is left running, so feeds need no timeout of their own. Its
// methods may be called from any goroutine.
type AnswerProgress interface {
	// Arrived reports that the given number of further bytes has been received.
	Arrived(bytes int)
	// Received reports that the whole answer has been received and is being decoded.
	Received()
}

type arrivalsKey struct{}

// withArrivals returns a context whose calls report the progress of their answers to
// arrivals.
func withArrivals(ctx context.Context, arrivals AnswerProgress) context.Context {
	return context.WithValue(ctx, arrivalsKey{}, arrivals)
}

// AnswerProgressOf returns the observer that a call with the context reports to. It is never
// nil.
func AnswerProgressOf(ctx context.Context) AnswerProgress {
	if arrivals, ok := ctx.Value(arrivalsKey{}).(AnswerProgress); ok {
		return arrivals
	}
	return discardedArrivals{}
}

// discardedArrivals ignores the progress of calls that have no observer.
type discardedArrivals struct{}

// Arrived does nothing.
func (discardedArrivals) Arrived(int) {}

// Received does nothing.
func (discardedArrivals) Received() {}
