package messenger

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
)

// routeOf returns the Route of an address.
func routeOf(address string) uint64 { return xxhash.Sum64String(address) }

// routeKey identifies the connections of one process to one of this node's addresses. Each replaces those before.
type routeKey struct {
	sender definer.Member
	route  uint64
}

// route is the order of the connections with one routeKey.
type route struct {
	// delivering is held while the messages of an envelope are passed on, so that those of two connections do not
	// mix. It guards newest and usedAt.
	delivering sync.Mutex
	// newest is the number of the newest connection that has delivered.
	newest uint64
	usedAt time.Time
}

// isUnused reports whether nothing has been delivered for so long that no earlier connection is still open.
func (route *route) isUnused(now time.Time) bool {
	if !route.delivering.TryLock() {
		return false
	}
	defer route.delivering.Unlock()
	return now.Sub(route.usedAt) > silentAfter
}

// routes holds the order of all incoming connections. It is safe for concurrent use.
type routes struct {
	// mutex guards known. Of the locks of routes, only those that are free are taken under it.
	mutex sync.Mutex
	known map[routeKey]*route
	// limit is the number of routes from which on those that are unused are removed.
	limit int
}

func newRoutes() *routes { return &routes{known: make(map[routeKey]*route), limit: maxIncoming} }

// of returns the route with a key.
func (routes *routes) of(now time.Time, key routeKey) *route {
	routes.mutex.Lock()
	defer routes.mutex.Unlock()
	found, ok := routes.known[key]
	if ok {
		return found
	}
	if len(routes.known) >= routes.limit {
		for key, known := range routes.known {
			if known.isUnused(now) {
				delete(routes.known, key)
			}
		}
		routes.limit = max(maxIncoming, 2*len(routes.known))
	}
	found = &route{usedAt: now}
	routes.known[key] = found
	return found
}

// begin takes the route of the connection for an envelope; end gives it back. It returns false if a newer connection
// has delivered: what arrives on this one was counted as lost by its sender.
func (inner *Inner) begin(now time.Time, envelope *Envelope) bool {
	if opening := envelope.Opening; opening != nil && inner.route == nil {
		inner.number = opening.Number
		inner.route = inner.messenger.routes.of(now, routeKey{envelope.From, opening.Route})
	}
	if inner.route == nil {
		return true // Senders of an earlier version do not number their connections.
	}
	inner.route.delivering.Lock()
	if inner.number < inner.route.newest {
		inner.route.delivering.Unlock()
		return false
	}
	inner.route.newest, inner.route.usedAt = inner.number, now
	return true
}

func (inner *Inner) end() {
	if inner.route != nil {
		inner.route.delivering.Unlock()
	}
}
