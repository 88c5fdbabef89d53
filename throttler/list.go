package throttler

import (
	"slices"
	"strings"
	"time"

	"limpetcleat/definer"
)

// NeverRejected is the RoomAge of an upstream that has rejected nothing.
const NeverRejected = -time.Millisecond

// Issuance describes to operators the permits that this node issues for an upstream.
type Issuance struct {
	Start definer.UpstreamStart
	// PerSecond is the rate of permits as of the last ask, and Position the current number of
	// present nodes earlier in the order.
	PerSecond float64
	Position  int
	// Waiting is the number of queued asks, and AskedAgo the time since the last ask.
	Waiting  int
	AskedAgo time.Duration
	// Placed is set if the permits in use are limited, as those of all upstreams of the service are:
	// InUse is their number, and Room the number that the upstream has room for.
	Placed  bool
	Service definer.PoolName
	InUse   int
	Room    int
	// Rejected is how many requests the upstream rejected within the last second, and RoomAge the
	// time since the last one; NeverRejected if there was none. Denied is the number of denied asks.
	Rejected int
	RoomAge  time.Duration
	Denied   uint64
}

// Issuances returns the upstreams whose permits this node issues, sorted by name.
func (throttler *Throttler) Issuances(now time.Time) []Issuance {
	list := throttler.listNodes(now)
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	var issuances []Issuance
	for start, issuance := range throttler.issuances {
		order := throttler.order(now, list.nodes, start, issuance.dataCentre, absence(issuance.cold.inForce(now), issuance.room != nil))
		described := Issuance{
			Start: start, PerSecond: issuance.issuer.Rate(), Position: throttler.countPresent(now, predecessors(order, throttler.self.VM), goneTimeout),
			Waiting: issuance.issuer.Waiting(), AskedAgo: now.Sub(issuance.askedAt),
		}
		if issuance.room != nil {
			described.Placed, described.Service, described.InUse = true, issuance.service, issuance.issuer.InUse()
			described.Room, described.Rejected, described.RoomAge = issuance.room.Size(now), issuance.room.Rejected(now), NeverRejected
			if at := issuance.room.RejectedAt(); !at.IsZero() {
				described.RoomAge = now.Sub(at)
			}
			described.Denied = issuance.issuer.Denied()
		}
		issuances = append(issuances, described)
	}
	slices.SortFunc(issuances, func(left, right Issuance) int { return strings.Compare(left.Start.String(), right.Start.String()) })
	return issuances
}
