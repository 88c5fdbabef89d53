package issuer

import (
	"math"
	"time"
)

const (
	// allowanceShare is the part of the connections which an upstream accepts that nodes may open without
	// a permit, each the same number, so that usual traffic waits for no other node.
	allowanceShare = 0.5
	// reservedShare is the part that is not used: for tests of paths, for connections of nodes that are
	// suspended, and because nodes know different numbers of nodes for a while.
	reservedShare = 0.1
	// connectionLease is the lease of a connection's permit. It exceeds the time for which nodes are usually
	// suspended, since their connections stay open meanwhile.
	connectionLease = 10 * time.Second
	// ceilingTime is how long no more connections are opened than were open when one was reset.
	ceilingTime = time.Second
)

// SplitConnections divides the connections that an upstream accepts from a number of nodes: each node may
// open allowance of them without a permit, and permits are issued for pool of them at a time. Together they
// leave a tenth, unless only one connection is accepted.
func SplitConnections(accepted, nodes int) (allowance, pool int) {
	nodes = max(nodes, 1)
	allowance = int(allowanceShare*float64(accepted)) / nodes
	reserved := min(int(math.Ceil(reservedShare*float64(accepted))), max(accepted-1, 0))
	return allowance, max(accepted-reserved-allowance*nodes, 0)
}

// Pool is the number of connections to an upstream that may be open with a permit. It is not safe for
// concurrent use.
type Pool struct {
	size int
	// ceiling is the number of permits in use when a connection was last reset, at ceilingAt.
	ceiling   int
	ceilingAt time.Time
}

// SetSize sets the number of connections, unless one was just reset.
func (pool *Pool) SetSize(size int) { pool.size = size }

// Size returns how many connections may be open.
func (pool *Pool) Size(now time.Time) int {
	if pool.limited(now) {
		return min(pool.size, pool.ceiling)
	}
	return pool.size
}

// ThawsAt returns when the pool grows again after a reset; the zero time if none was reset.
func (pool *Pool) ThawsAt(now time.Time) time.Time {
	if pool.limited(now) {
		return pool.ceilingAt.Add(ceilingTime)
	}
	return time.Time{}
}

// Paced returns false: a connection may be opened as soon as there is a place.
func (pool *Pool) Paced() bool { return false }

// MinLease returns the lease of a connection's permit.
func (pool *Pool) MinLease() time.Duration { return connectionLease }

// RecordAccepted has no effect: the number of connections does not follow from those that are accepted.
func (pool *Pool) RecordAccepted() {}

// RecordRejected records that the upstream reset a new connection: it accepts fewer than stated while many
// requests wait there.
func (pool *Pool) RecordRejected(now time.Time, others int) {
	pool.ceiling, pool.ceilingAt = others, now
}

// RecordFound has no effect: a reset concerns all connections, however many of them are known.
func (pool *Pool) RecordFound(int) {}

// limited reports whether a connection was reset just now.
func (pool *Pool) limited(now time.Time) bool {
	return !pool.ceilingAt.IsZero() && now.Sub(pool.ceilingAt) < ceilingTime
}
