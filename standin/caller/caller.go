// Package caller stands in for callers: it sends calls and reads whatever comes of them, whole,
// streamed or broken off.
package caller

import (
	"context"
	"net/http"
	"time"
)

// Caller sends calls to nodes.
type Caller struct {
	transport http.RoundTripper
}

// Option changes one property of a Caller.
type Option func(*Caller)

// WithTransport sets what carries the calls; a connection for each call is made unless it is set.
func WithTransport(transport http.RoundTripper) Option {
	return func(caller *Caller) { caller.transport = transport }
}

// New returns a Caller.
func New(opts ...Option) *Caller {
	caller := &Caller{transport: &http.Transport{DisableKeepAlives: true}}
	for _, opt := range opts {
		opt(caller)
	}
	return caller
}

// Send sends a call to an address and returns what came of it before the context ended.
func (caller *Caller) Send(ctx context.Context, address string, call Call) Reply {
	request, err := call.request(ctx, address)
	if err != nil {
		return Reply{Err: err, Code: err.Error()}
	}
	return caller.Do(request, call.Progress)
}

// Do sends a request as it is and returns what came of it; progress may be nil.
func (caller *Caller) Do(request *http.Request, progress func(count int)) Reply {
	began := time.Now()
	response, err := caller.transport.RoundTrip(request)
	if err != nil {
		return Reply{Err: err, Code: err.Error(), Took: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	reply := Read(response, progress)
	reply.Took = time.Since(began)
	return reply
}
