package server

import (
	"time"

	"limpetcleat/definer"
)

// caller is who sent a request, once that is known.
type caller struct {
	organisation definer.OrganisationName
	// request is the id that the answer carries.
	request definer.RequestID
	// forwarded says that a peer handed the call on.
	forwarded bool
	// remaining bounds a forwarded call; 0 is no bound.
	remaining time.Duration
}
