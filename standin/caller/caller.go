// Package caller provides an HTTP client that stands in for the callers of the router. It sends
// requests and reads responses, including streamed, incomplete and missing ones.
package caller

import (
	"context"
	"net/http"
	"time"
)

// Caller sends calls to nodes. It is safe for concurrent use if its transport is.
type Caller struct {
	transport http.RoundTripper
}

// Option changes one property of a Caller.
type Option func(*Caller)

// WithTransport sets the transport. The default opens a new connection for each call.
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

// Send sends a call to an address and returns the reply. If the context ends first, the reply holds
// what was received until then.
func (caller *Caller) Send(ctx context.Context, address string, call Call) Reply {
	request, err := call.httpRequest(ctx, address)
	if err != nil {
		return Reply{Err: err, Code: err.Error()}
	}
	return caller.Do(request, call.Progress)
}

// Do sends a request unchanged and returns the reply. If progress is not nil, it is called after
// each token of a streamed response with the number of tokens received so far.
func (caller *Caller) Do(request *http.Request, progress func(count int)) Reply {
	began := time.Now()
	response, err := caller.transport.RoundTrip(request)
	if err != nil {
		return Reply{Err: err, Code: err.Error(), Duration: time.Since(began)}
	}
	defer func() { _ = response.Body.Close() }()
	reply := ReadReply(response, progress)
	reply.Duration = time.Since(began)
	return reply
}
