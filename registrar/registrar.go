// Package registrar holds the list of upstreams that register themselves with
// the platform, by service.
package registrar

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"limpetcleat/definer"
)

// LapsePatience is how long an upstream that was missing from the first list
// after an outage of the platform still counts as there. The platform says that
// entries that lapsed meanwhile are back within about 2 s; a request must not
// reach one that has gone later than 2 s after that, so a margin is left.
const LapsePatience = 1700 * time.Millisecond

// maxDeparting bounds the starts that are known to leave; beyond it those are forgotten that
// are not listed.
const maxDeparting = 4096

// Upstream is one running back end. It never changes; a change is a new value.
type Upstream struct {
	// ID stays the same when the back end starts again.
	ID      definer.UpstreamName
	Service definer.PoolName
	// Address is an IP address with a port; others may have it later.
	Address    string
	DataCentre definer.DataCentre
	// Slots is how many requests it runs at once; 0 is unknown.
	Slots int
	// Leaving upstreams get no new requests.
	Leaving bool
	// Spot upstreams may be reclaimed by the platform, all of a data centre at once.
	Spot bool
	// Revision is the platform's number of the entry's last change.
	Revision uint64
	// Incarnation grows with each start of the back end under its ID; 0 is unknown.
	Incarnation definer.Incarnation
}

// Start returns which start of the back end it is.
func (upstream *Upstream) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: upstream.ID, Incarnation: upstream.Incarnation}
}

// Change is one change of the list.
type Change struct {
	// Upstream holds the entry, of which only ID counts when it is removed.
	Upstream Upstream
	Removed  bool
	// Earlier is set when a later start took the place of this one.
	Earlier *Upstream
}

// Registrar is the list of upstreams. It is safe for concurrent use.
type Registrar struct {
	// mutex guards the rest; no other lock is taken under it.
	mutex     sync.RWMutex
	upstreams map[definer.UpstreamName]*Upstream
	// byService holds each upstream that may get requests once, sorted by ID;
	// its slices are replaced and never changed.
	byService map[definer.PoolName][]*Upstream
	// lapsing holds since when an upstream has been missing after an outage.
	lapsing map[definer.UpstreamName]time.Time
	// departing holds the starts that said themselves that they leave, whatever their
	// entries say; at most maxDeparting.
	departing map[definer.UpstreamStart]bool
	// known is set by the first list.
	known bool
}

// New returns an empty list.
func New() *Registrar {
	return &Registrar{
		upstreams: make(map[definer.UpstreamName]*Upstream),
		byService: make(map[definer.PoolName][]*Upstream),
		lapsing:   make(map[definer.UpstreamName]time.Time),
		departing: make(map[definer.UpstreamStart]bool),
	}
}

// Known tells whether a whole list was read yet.
func (registrar *Registrar) Known() bool {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	return registrar.known
}

// Of returns the upstreams of a service that may get requests, sorted by ID.
// The caller must not change the slice.
func (registrar *Registrar) Of(service definer.PoolName) []*Upstream {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	return registrar.byService[service]
}

// Replace takes in a whole list and returns what changed. After an outage,
// upstreams that are missing stay for LapsePatience.
func (registrar *Registrar) Replace(now time.Time, list []Upstream, outage bool) []Change {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.known = true
	listed := make(map[definer.UpstreamName]bool, len(list))
	var changes []Change
	for _, upstream := range list {
		listed[upstream.ID] = true
		changes = append(changes, registrar.put(upstream)...)
	}
	for id, upstream := range registrar.upstreams {
		if listed[id] {
			continue
		}
		if _, lapsing := registrar.lapsing[id]; lapsing {
			continue
		}
		changes = append(changes, registrar.lose(now, upstream, outage)...)
	}
	registrar.index()
	return changes
}

// Apply takes in changes in order and returns those that took effect. Soon after
// an outage, upstreams that are removed stay for LapsePatience.
func (registrar *Registrar) Apply(now time.Time, changes []Change, outage bool) []Change {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	var applied []Change
	for _, change := range changes {
		if !change.Removed {
			applied = append(applied, registrar.put(change.Upstream)...)
			continue
		}
		if upstream, ok := registrar.upstreams[change.Upstream.ID]; ok {
			applied = append(applied, registrar.lose(now, upstream, outage)...)
		}
	}
	registrar.index()
	return applied
}

// Leave notes that a start of an upstream says that it leaves; the change is nil when that was
// known, or when it is not listed now.
func (registrar *Registrar) Leave(start definer.UpstreamStart) *Change {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.depart(start)
	known, listed := registrar.upstreams[start.Upstream]
	if !listed || known.Start() != start || known.Leaving {
		return nil
	}
	leaving := *known
	leaving.Leaving = true
	registrar.upstreams[start.Upstream] = &leaving
	registrar.index()
	return &Change{Upstream: leaving}
}

// depart notes that a start leaves; mutex is held.
func (registrar *Registrar) depart(start definer.UpstreamStart) {
	if len(registrar.departing) >= maxDeparting {
		maps.DeleteFunc(registrar.departing, func(departing definer.UpstreamStart, _ bool) bool {
			known, listed := registrar.upstreams[departing.Upstream]
			return !listed || known.Start() != departing
		})
	}
	registrar.departing[start] = true
}

// lose removes an entry, or lets it lapse after an outage; mutex is held.
func (registrar *Registrar) lose(now time.Time, upstream *Upstream, outage bool) []Change {
	if outage && !upstream.Leaving {
		registrar.lapsing[upstream.ID] = now
		return nil
	}
	return registrar.remove(upstream.ID)
}

// Sweep removes the upstreams that have been missing for LapsePatience and
// returns them with the time at which the next is due, zero when none is.
func (registrar *Registrar) Sweep(now time.Time) ([]Change, time.Time) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	var changes []Change
	var next time.Time
	for id, since := range registrar.lapsing {
		due := since.Add(LapsePatience)
		if !due.After(now) {
			changes = append(changes, registrar.remove(id)...)
			continue
		}
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	if len(changes) > 0 {
		registrar.index()
	}
	return changes, next
}

// put takes in an entry unless a newer one, or a later start, is known; mutex is held.
// An entry whose start is unknown is taken for that of the start that is known.
func (registrar *Registrar) put(upstream Upstream) []Change {
	delete(registrar.lapsing, upstream.ID)
	known, ok := registrar.upstreams[upstream.ID]
	if ok && upstream.Incarnation == 0 {
		upstream.Incarnation = known.Incarnation
	}
	if ok && known.Incarnation == 0 && registrar.departing[known.Start()] {
		registrar.depart(upstream.Start())
	}
	upstream.Leaving = upstream.Leaving || registrar.departing[upstream.Start()]
	if !ok {
		registrar.upstreams[upstream.ID] = &upstream
		return []Change{{Upstream: upstream}}
	}
	if known.Revision >= upstream.Revision || known.Incarnation > upstream.Incarnation {
		return nil
	}
	registrar.upstreams[upstream.ID] = &upstream
	change := Change{Upstream: upstream}
	if known.Incarnation > 0 && known.Incarnation < upstream.Incarnation {
		change.Earlier = known
	}
	return []Change{change}
}

// remove drops an entry; mutex is held.
func (registrar *Registrar) remove(id definer.UpstreamName) []Change {
	delete(registrar.lapsing, id)
	upstream, ok := registrar.upstreams[id]
	if !ok {
		return nil
	}
	delete(registrar.upstreams, id)
	return []Change{{Upstream: *upstream, Removed: true}}
}

// index builds byService anew; mutex is held.
func (registrar *Registrar) index() {
	byService := make(map[definer.PoolName][]*Upstream)
	for _, upstream := range registrar.upstreams {
		if !upstream.Leaving {
			byService[upstream.Service] = append(byService[upstream.Service], upstream)
		}
	}
	for _, upstreams := range byService {
		slices.SortFunc(upstreams, func(left, right *Upstream) int { return cmp.Compare(left.ID, right.ID) })
	}
	registrar.byService = byService
}
