package messenger

import (
	"time"

	"limpetcleat/definer"
)

// RejectionLimit is how many rejections for want of capacity the upstreams of a service tolerate
// before they crash, as they have announced in their answers.
type RejectionLimit struct {
	Service definer.PoolName
	// PerSecond is the number of rejections per second that each upstream tolerates, those of all
	// nodes' requests together. It is valid if Limited is set; otherwise there is no limit.
	PerSecond float64
	Limited   bool
	// Age is how long ago an upstream last announced the limit, or that there is none. Since is how
	// long ago the limit came into force.
	Age   time.Duration
	Since time.Duration
}

// PlaceOutcome is how the request of a returned permit ended.
type PlaceOutcome int

const (
	// PlaceUnused means that the upstream did not answer the request, or that it was not sent.
	PlaceUnused PlaceOutcome = iota
	// PlaceServed means that the upstream accepted the request.
	PlaceServed
	// PlaceRejected means that the upstream rejected the request for want of capacity.
	PlaceRejected
)

// Occupancy is the part of a PermitAsk that concerns the number of requests that the sender has in
// flight at an upstream whose service has a rejection limit.
type Occupancy struct {
	// Limit is the latest rejection limit of the service that the sender knows.
	Limit RejectionLimit
	// Slots is the number of requests that the upstream runs at a time; 0 is unknown.
	Slots int
	// Held are the numbers of the sender's permits whose requests are in flight there. All other
	// permits of the sender with numbers below Settled have been returned.
	Held    []uint64
	Settled uint64
	// Outcome is how the request ended, if the message returns a permit.
	Outcome PlaceOutcome
}
