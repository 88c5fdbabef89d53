// Package confiner decides in which data centres a request may be served: only in the regions to
// which its rule and its organisation are confined, and not in data centres that are evacuated.
// Every send to an upstream, the first one as well as retries and resumed streams, is restricted
// by it.
package confiner

import (
	"maps"
	"slices"
	"sync"

	"limpetcleat/definer"
	"limpetcleat/registrar"
)

// Evacuation is an operator's order to send no requests to the upstreams of a data centre.
type Evacuation struct {
	DataCentre definer.DataCentre
	// Revision is the platform's revision of the order.
	Revision uint64
}

// Change is an evacuation that begins or, with Removed, ends.
type Change struct {
	Evacuation Evacuation
	Removed    bool
}

// Confiner keeps the evacuations in force. It is safe for concurrent use.
type Confiner struct {
	// regions are the regions of the data centres; it is never modified.
	regions map[definer.DataCentre]definer.Region
	changed func(change Change)
	// mutex guards the fields below; no other lock is taken while it is held.
	mutex     sync.RWMutex
	evacuated map[definer.DataCentre]Evacuation
	// loaded is set once all evacuations are known.
	loaded bool
}

// Option changes one setting of a Confiner.
type Option func(*Confiner)

// WithChanges sets the function that is called for each evacuation that has begun or ended. The
// default does nothing.
func WithChanges(changed func(change Change)) Option {
	return func(confiner *Confiner) { confiner.changed = changed }
}

// WithOrders states that operators can order evacuations: none is known before the first Replace.
func WithOrders() Option {
	return func(confiner *Confiner) { confiner.loaded = false }
}

// New returns a Confiner without evacuations for data centres in the given regions.
func New(regions map[definer.DataCentre]definer.Region, options ...Option) *Confiner {
	confiner := &Confiner{
		regions:   maps.Clone(regions),
		changed:   func(Change) {},
		evacuated: make(map[definer.DataCentre]Evacuation),
		loaded:    true,
	}
	for _, option := range options {
		option(confiner)
	}
	return confiner
}

// Replace replaces the evacuations in force by a whole list.
func (confiner *Confiner) Replace(list []Evacuation) {
	listed := make(map[definer.DataCentre]bool, len(list))
	var changes []Change
	for _, evacuation := range list {
		listed[evacuation.DataCentre] = true
		changes = append(changes, Change{Evacuation: evacuation})
	}
	for _, evacuation := range confiner.Evacuations() {
		if !listed[evacuation.DataCentre] {
			changes = append(changes, Change{Evacuation: evacuation, Removed: true})
		}
	}
	confiner.Apply(changes)
	confiner.mutex.Lock()
	defer confiner.mutex.Unlock()
	confiner.loaded = true
}

// Loaded reports whether all evacuations are known.
func (confiner *Confiner) Loaded() bool {
	confiner.mutex.RLock()
	defer confiner.mutex.RUnlock()
	return confiner.loaded
}

// Apply applies changes in order.
func (confiner *Confiner) Apply(changes []Change) {
	for _, change := range changes {
		if confiner.apply(change) {
			confiner.changed(change)
		}
	}
}

// apply reports whether the change made a difference.
func (confiner *Confiner) apply(change Change) bool {
	confiner.mutex.Lock()
	defer confiner.mutex.Unlock()
	dataCentre := change.Evacuation.DataCentre
	_, inForce := confiner.evacuated[dataCentre]
	if change.Removed {
		delete(confiner.evacuated, dataCentre)
		return inForce
	}
	confiner.evacuated[dataCentre] = change.Evacuation
	return !inForce
}

// Evacuations returns the evacuations in force, sorted by data centre.
func (confiner *Confiner) Evacuations() []Evacuation {
	confiner.mutex.RLock()
	defer confiner.mutex.RUnlock()
	var list []Evacuation
	for _, dataCentre := range slices.Sorted(maps.Keys(confiner.evacuated)) {
		list = append(list, confiner.evacuated[dataCentre])
	}
	return list
}

// Knows reports whether the data centre is one of the deployment's.
func (confiner *Confiner) Knows(dataCentre definer.DataCentre) bool {
	_, known := confiner.regions[dataCentre]
	return known
}

// Permitted returns those of the upstreams to which a request may be sent that is confined by each
// of the lists of regions; an empty list does not confine it. A data centre whose region is unknown
// is in none of the regions. The result may be the given slice, which is not modified.
func (confiner *Confiner) Permitted(upstreams []*registrar.Upstream, confinements ...[]definer.Region) []*registrar.Upstream {
	confiner.mutex.RLock()
	defer confiner.mutex.RUnlock()
	if len(confiner.evacuated) == 0 && !slices.ContainsFunc(confinements, confines) {
		return upstreams
	}
	first := slices.IndexFunc(upstreams, func(upstream *registrar.Upstream) bool {
		return !confiner.permits(upstream.DataCentre, confinements)
	})
	if first < 0 {
		return upstreams
	}
	permitted := slices.Clone(upstreams[:first])
	for _, upstream := range upstreams[first+1:] {
		if confiner.permits(upstream.DataCentre, confinements) {
			permitted = append(permitted, upstream)
		}
	}
	return permitted
}

// confines reports whether a list of regions confines a request.
func confines(regions []definer.Region) bool { return len(regions) > 0 }

// permits reports whether a data centre may serve a request; mutex is held.
func (confiner *Confiner) permits(dataCentre definer.DataCentre, confinements [][]definer.Region) bool {
	if _, evacuated := confiner.evacuated[dataCentre]; evacuated {
		return false
	}
	for _, regions := range confinements {
		if !confines(regions) {
			continue
		}
		if region, known := confiner.regions[dataCentre]; !known || !slices.Contains(regions, region) {
			return false
		}
	}
	return true
}
