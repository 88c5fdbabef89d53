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
	// Connections is set if the permits are for connections to the upstream: InUse of them are open, and
	// Room may be.
	Connections bool
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

// key returns the text by which issuances are sorted.
func (issuance *Issuance) key() string {
	return resource{start: issuance.Start, connections: issuance.Connections}.String()
}

// Issuances returns the upstreams whose permits this node issues, sorted by name.
func (throttler *Throttler) Issuances(now time.Time) []Issuance {
	list := throttler.listNodes(now)
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	var issuances []Issuance
	for issued, issuance := range throttler.issuances {
		order := throttler.order(now, list.nodes, issued.start, issuance.dataCentre, absence(issuance.cold.inForce(now), issuance.room != nil || issuance.pool != nil))
		described := Issuance{
			Start: issued.start, PerSecond: issuance.issuer.Rate(), Position: throttler.countPresent(now, predecessors(order, throttler.self.VM), goneTimeout),
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
		if issuance.pool != nil {
			described.Connections, described.Room, described.InUse = true, issuance.pool.Size(now), issuance.issuer.InUse()
			described.Denied = issuance.issuer.Denied()
		}
		issuances = append(issuances, described)
	}
	slices.SortFunc(issuances, func(left, right Issuance) int { return strings.Compare(left.key(), right.key()) })
	return issuances
}
