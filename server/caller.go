package server

import (
	"time"

	"limpetcleat/definer"
)

// caller identifies the sender of a request, either by its key or by the peer that forwarded it.
type caller struct {
	organisation definer.OrganisationName
	// requestID is sent with the response in X-Request-Id.
	requestID definer.RequestID
	// forwarded reports whether a peer forwarded the call.
	forwarded bool
	// remaining is the time to a forwarded call's deadline; 0 means no deadline.
	remaining time.Duration
}
