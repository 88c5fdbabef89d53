package follower

import "context"

// Arrivals is told how far the answer to a call has come, so that feeds need not bound
// their calls. It may be called from any goroutine.
type Arrivals interface {
	// Arrived tells that so many more bytes have come.
	Arrived(bytes int)
	// Received tells that all of it has come and is being read.
	Received()
}

type arrivalsKey struct{}

// withArrivals returns a context whose calls tell of their answers.
func withArrivals(ctx context.Context, arrivals Arrivals) context.Context {
	return context.WithValue(ctx, arrivalsKey{}, arrivals)
}

// ArrivalsOf returns who is to be told of the answer to a call with the context.
func ArrivalsOf(ctx context.Context) Arrivals {
	if arrivals, ok := ctx.Value(arrivalsKey{}).(Arrivals); ok {
		return arrivals
	}
	return unheeded{}
}

// unheeded is for calls of whose answers nobody wants to be told.
type unheeded struct{}

// Arrived does nothing.
func (unheeded) Arrived(int) {}

// Received does nothing.
func (unheeded) Received() {}
