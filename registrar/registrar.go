// Package registrar is the registry of the upstreams that the platform lists, by
// service. It follows whole lists and single changes, and leaves out upstreams that
// are about to stop.
package registrar

import (
	"maps"
	"sync"
	"time"

	"limpetcleat/definer"
)

// maxLeavingStarts is the number of starts known to be leaving from which those that
// are not registered are dropped.
const maxLeavingStarts = 4096

// maxCold bounds how long an upstream counts as cold by one entry, so that a wrong value does
// not restrict it permanently.
const maxCold = time.Minute

// Upstream is one running back end. It is immutable; a change makes a new value.
type Upstream struct {
	// ID stays the same when the back end restarts.
	ID      definer.UpstreamName
	Service definer.PoolName
	// Address is an IP address with a port; another upstream may reuse it later.
	Address    string
	DataCentre definer.DataCentre
	// Slots is how many requests the upstream runs at once; 0 if unknown.
	Slots int
	// Leaving reports whether the upstream is about to stop; it gets no new
	// requests.
	Leaving bool
	// Stopping reports whether the upstream itself said that it is about to stop. That is final
	// for its start, whatever the platform lists later; a stopping upstream is leaving.
	Stopping bool
	// Rewritten reports whether the entry was written again after its removal. The write may
	// be one from before the removal that the platform executed late.
	Rewritten bool
	// Lapsed reports whether the removal before the entry was written again may be explained by an outage of the
	// platform, in which entries of living upstreams lapse.
	Lapsed bool
	// Missing reports whether the entry was removed and may be back. It is set by the Registrar.
	Missing bool
	// Spot reports whether the platform may reclaim the upstream, together with all
	// other spot upstreams of a data centre.
	Spot bool
	// Version is the version of the upstream's software. Streams of two versions do not fit
	// together.
	Version definer.SoftwareVersion
	// Revision is the platform's revision of the last change to the entry.
	Revision uint64
	// CreatedAt is the platform's revision of the creation of the entry, which is later than that of
	// an earlier write if the entry was removed in between; 0 if unknown.
	CreatedAt uint64
	// Sequence is the number of the heartbeat that wrote the entry, counted by the upstream; 0 if
	// unknown. Heartbeats that change nothing else are not seen.
	Sequence uint64
	// Incarnation grows with each start of the back end under its ID; 0 if unknown.
	Incarnation definer.Incarnation
	// Cold is how much longer the upstream warms up, as of the writing of the entry.
	Cold time.Duration
	// ColdUntil is the time, by this node's clock, until which the upstream may be cold. It is
	// set by the Registrar and never moves back for the same start.
	ColdUntil time.Time
	// UsableFrom is the time, by this node's clock, from which a rewritten upstream gets requests
	// like others. It is set by the Registrar.
	UsableFrom time.Time
}

// Listing says how an upstream stands in the platform's list.
type Listing string

const (
	// Listed means that the platform lists the upstream.
	Listed Listing = "listed"
	// Missing means that its entry was removed, perhaps since it lapsed during an outage of the platform.
	Missing Listing = "missing"
	// Rewritten means that its entry was written again after its removal.
	Rewritten Listing = "rewritten"
	// Returned means that its entry was written again after a removal that an outage of the platform may explain.
	Returned Listing = "returned"
	// Leaving means that the upstream is about to stop.
	Leaving Listing = "leaving"
	// Unlisted means that the platform does not list the upstream, or another start of it.
	Unlisted Listing = "unlisted"
)

// Listing returns how the upstream stood in the platform's list when the entry was registered.
func (upstream *Upstream) Listing() Listing {
	switch {
	case upstream.Leaving:
		return Leaving
	case upstream.Missing:
		return Missing
	case upstream.Lapsed:
		return Returned
	case upstream.Rewritten:
		return Rewritten
	}
	return Listed
}

// OnProbation reports whether the upstream gets requests only if its service has no other: its entry was written again
// after its removal.
func (upstream *Upstream) OnProbation(now time.Time) bool { return upstream.UsableFrom.After(now) }

// Start identifies the start of the back end that the entry describes.
func (upstream *Upstream) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: upstream.ID, Incarnation: upstream.Incarnation}
}

// Change is one change of the registered upstreams.
type Change struct {
	// Upstream is the entry; if Removed is set, only its ID is read.
	Upstream Upstream
	Removed  bool
	// Replaced is the entry of the earlier start if the change is a restart, otherwise
	// nil.
	Replaced *Upstream
}

// Listing returns how the upstream stands in the platform's list after the change.
func (change *Change) Listing() Listing {
	if change.Removed {
		return Unlisted
	}
	return change.Upstream.Listing()
}

// Registrar is the registry of upstreams. It is safe for concurrent use.
type Registrar struct {
	// mutex guards the other fields; no other lock is taken while it is held.
	mutex     sync.RWMutex
	upstreams map[definer.UpstreamName]*Upstream
	// byService holds the upstreams that may get requests, sorted by ID: those that are usable, and those that
	// are missing unless they rest, or where a service has none, those on probation. Its slices are replaced and never
	// modified.
	byService map[definer.PoolName][]*Upstream
	// onProbation holds the upstreams on probation, as byService does those that may get requests.
	onProbation map[definer.PoolName][]*Upstream
	// addresses holds the addresses of the upstreams in byService; nil until they are asked for.
	addresses map[string]bool
	// versions are the software versions of the upstreams.
	versions versionLog
	// backUntil holds until when upstreams that are missing after an outage may be back.
	backUntil map[definer.UpstreamName]time.Time
	// probation is how long rewritten upstreams are not used, probationEnds when that of the first
	// one ends; zero if none is on probation.
	probation     time.Duration
	probationEnds time.Time
	// leavingStarts holds the starts that announced themselves that they are leaving,
	// whatever their entries say; at most maxLeavingStarts unless more are
	// registered.
	leavingStarts map[definer.UpstreamStart]bool
	// loaded is set by the first list.
	loaded bool
}

// Option changes one setting of a Registrar.
type Option func(*Registrar)

// WithProbation sets how long an upstream whose entry was written again after its removal gets no requests while
// its service has others. By default it gets them at once.
func WithProbation(probation time.Duration) Option {
	return func(registrar *Registrar) { registrar.probation = probation }
}

// New returns an empty Registrar.
func New(options ...Option) *Registrar {
	registrar := &Registrar{
		upstreams:     make(map[definer.UpstreamName]*Upstream),
		byService:     make(map[definer.PoolName][]*Upstream),
		backUntil:     make(map[definer.UpstreamName]time.Time),
		leavingStarts: make(map[definer.UpstreamStart]bool),
		versions:      newVersionLog(),
	}
	for _, option := range options {
		option(registrar)
	}
	return registrar
}

// Loaded reports whether a whole list has been read yet.
func (registrar *Registrar) Loaded() bool {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	return registrar.loaded
}

// Upstreams returns the upstreams of a service that may get requests, sorted by ID. The
// caller must not modify the slice.
func (registrar *Registrar) Upstreams(service definer.PoolName) []*Upstream {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	return registrar.byService[service]
}

// OnProbation returns the upstreams of a service that get requests only if no other upstream can serve them, since
// their entries were written again after a removal. The caller must not modify the slice.
func (registrar *Registrar) OnProbation(service definer.PoolName) []*Upstream {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	return registrar.onProbation[service]
}

// Listing returns how a start of an upstream stands in the platform's list.
func (registrar *Registrar) Listing(start definer.UpstreamStart) Listing {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	upstream, known := registrar.upstreams[start.Upstream]
	if !known || upstream.Start() != start {
		return Unlisted
	}
	return upstream.Listing()
}

// CountOnProbation returns the number of upstreams on probation.
func (registrar *Registrar) CountOnProbation() int {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	count := 0
	for _, upstreams := range registrar.onProbation {
		count += len(upstreams)
	}
	return count
}

// Replace replaces the registered upstreams by a whole list and returns the changes.
// Missing upstreams that are not leaving may be back until the given time, after an outage of the platform; with
// the zero time they are removed at once.
func (registrar *Registrar) Replace(now time.Time, list []Upstream, backUntil time.Time) []Change {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.loaded = true
	listed := make(map[definer.UpstreamName]bool, len(list))
	var changes []Change
	for _, upstream := range list {
		listed[upstream.ID] = true
		changes = append(changes, registrar.put(now, upstream)...)
	}
	for id, upstream := range registrar.upstreams {
		if listed[id] {
			continue
		}
		if _, lapsing := registrar.backUntil[id]; lapsing {
			continue
		}
		changes = append(changes, registrar.removeOrDoubt(now, upstream, backUntil)...)
	}
	registrar.rebuildIndex(now)
	registrar.versions.update(now, registrar.upstreams)
	return changes
}

// Apply applies changes in order and returns those that took effect. Removed upstreams that are not leaving may be
// back until the given time, as in Replace.
func (registrar *Registrar) Apply(now time.Time, changes []Change, backUntil time.Time) []Change {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	var applied []Change
	for _, change := range changes {
		if !change.Removed {
			applied = append(applied, registrar.put(now, change.Upstream)...)
			continue
		}
		if upstream, ok := registrar.upstreams[change.Upstream.ID]; ok {
			applied = append(applied, registrar.removeOrDoubt(now, upstream, backUntil)...)
		}
	}
	registrar.rebuildIndex(now)
	registrar.versions.update(now, registrar.upstreams)
	return applied
}

// MarkLeaving records that a start of an upstream announced that it is leaving. It returns
// nil if that was known, or if the start is not registered.
func (registrar *Registrar) MarkLeaving(now time.Time, start definer.UpstreamStart) *Change {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	registrar.recordLeaving(start)
	known, listed := registrar.upstreams[start.Upstream]
	if !listed || known.Start() != start || known.Leaving {
		return nil
	}
	leaving := *known
	leaving.Leaving = true
	registrar.upstreams[start.Upstream] = &leaving
	registrar.rebuildIndex(now)
	return &Change{Upstream: leaving}
}

// MarkCold records that the upstreams of a data centre may be cold, each for the time that
// coldFor returns for its service.
func (registrar *Registrar) MarkCold(now time.Time, dataCentre definer.DataCentre, coldFor func(service definer.PoolName) time.Duration) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	for id, known := range registrar.upstreams {
		until := now.Add(coldFor(known.Service))
		if known.DataCentre != dataCentre || !until.After(known.ColdUntil) {
			continue
		}
		cold := *known
		cold.ColdUntil = until
		registrar.upstreams[id] = &cold
	}
	registrar.rebuildIndex(now)
}

// recordLeaving records that a start is leaving; mutex is held.
func (registrar *Registrar) recordLeaving(start definer.UpstreamStart) {
	if len(registrar.leavingStarts) >= maxLeavingStarts {
		maps.DeleteFunc(registrar.leavingStarts, func(departing definer.UpstreamStart, _ bool) bool {
			known, listed := registrar.upstreams[departing.Upstream]
			return !listed || known.Start() != departing
		})
	}
	registrar.leavingStarts[start] = true
}

// put stores an entry unless a newer entry or a later start is known; mutex is held.
// An entry without an incarnation is taken to describe the start that is known.
func (registrar *Registrar) put(now time.Time, upstream Upstream) []Change {
	delete(registrar.backUntil, upstream.ID)
	known, ok := registrar.upstreams[upstream.ID]
	if ok && upstream.Incarnation == 0 {
		upstream.Incarnation = known.Incarnation
	}
	if ok && known.Incarnation == 0 && registrar.leavingStarts[known.Start()] {
		registrar.recordLeaving(upstream.Start())
	}
	upstream.Leaving = upstream.Leaving || registrar.leavingStarts[upstream.Start()]
	if upstream.Cold > 0 {
		upstream.ColdUntil = now.Add(min(upstream.Cold, maxCold))
	}
	if ok && known.Start() == upstream.Start() && known.ColdUntil.After(upstream.ColdUntil) {
		upstream.ColdUntil = known.ColdUntil
	}
	if upstream.Rewritten {
		upstream.UsableFrom = now.Add(registrar.probation)
		if ok && known.Start() == upstream.Start() && known.Rewritten && known.CreatedAt == upstream.CreatedAt {
			upstream.UsableFrom = known.UsableFrom
		}
	}
	if !ok {
		registrar.upstreams[upstream.ID] = &upstream
		return []Change{{Upstream: upstream}}
	}
	if known.Missing {
		listed := *known
		listed.Missing = false
		known, registrar.upstreams[upstream.ID] = &listed, &listed
	}
	if known.Incarnation > upstream.Incarnation || known.Revision > upstream.Revision {
		return nil
	}
	if known.Revision == upstream.Revision && (known.Stopping || !upstream.Stopping) && (known.Rewritten || !upstream.Rewritten) {
		return nil // Nothing more is known of the same write.
	}
	registrar.upstreams[upstream.ID] = &upstream
	change := Change{Upstream: upstream}
	if known.Incarnation > 0 && known.Incarnation < upstream.Incarnation {
		change.Replaced = known
	}
	return []Change{change}
}

// remove removes an upstream at once; mutex is held.
func (registrar *Registrar) remove(id definer.UpstreamName) []Change {
	delete(registrar.backUntil, id)
	upstream, ok := registrar.upstreams[id]
	if !ok {
		return nil
	}
	delete(registrar.upstreams, id)
	return []Change{{Upstream: *upstream, Removed: true}}
}
