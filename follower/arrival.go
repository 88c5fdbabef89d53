package follower

import "context"

type arrivalKey struct{}

// WithArrival returns a context under which Arrived tells the function. Feeds take it
// from their context, so that none of them has to bound its calls by itself.
func WithArrival(ctx context.Context, arrived func(bytes int)) context.Context {
	return context.WithValue(ctx, arrivalKey{}, arrived)
}

// Arrived tells who made a call that so many bytes of its answer have come; 0 says that
// the answer has begun. Feeds call it for each piece that they read.
func Arrived(ctx context.Context, bytes int) {
	if arrived, ok := ctx.Value(arrivalKey{}).(func(bytes int)); ok {
		arrived(bytes)
	}
}
