package registrar

import (
	"time"

	"limpetcleat/definer"
)

// LapseDelay is how long after the first answer that ended an outage of the platform upstreams may still be missing
// whose entries lapsed in it: living ones write a heartbeat each 1.2 s. According to the platform, entries are back
// within about 2 s. The rest of that is for the time until the first answer and for its propagation, as requests must
// not reach an upstream that has gone later than 2 s after the outage.
const LapseDelay = 1500 * time.Millisecond

// restingShare is the part of a service's upstreams, one in so many, that rest while they are missing. If more are
// missing, they stay in use: an outage that is long enough for entries to lapse takes those of most upstreams, so that
// few have rather left, and the others can do their work.
const restingShare = 3

// CountMissing returns the number of upstreams whose entries were removed and may be back.
func (registrar *Registrar) CountMissing() int {
	registrar.mutex.RLock()
	defer registrar.mutex.RUnlock()
	return len(registrar.backUntil)
}

// removeOrDoubt removes an upstream at once or, unless it is leaving, marks it as missing if it may be back until
// a later time; mutex is held.
func (registrar *Registrar) removeOrDoubt(now time.Time, upstream *Upstream, backUntil time.Time) []Change {
	if upstream.Leaving || !now.Before(backUntil) {
		return registrar.remove(upstream.ID)
	}
	missing := *upstream
	missing.Missing = true
	registrar.upstreams[upstream.ID] = &missing
	registrar.backUntil[upstream.ID] = backUntil
	return nil
}

// LimitDoubt sets the latest time until which upstreams that are missing now may be back.
func (registrar *Registrar) LimitDoubt(backUntil time.Time) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	for id, until := range registrar.backUntil {
		if backUntil.Before(until) {
			registrar.backUntil[id] = backUntil
		}
	}
}

// RecordRefusal records that a start of an upstream refused a connection. If it is missing, it has ended, and RemoveLapsed
// removes it.
func (registrar *Registrar) RecordRefusal(start definer.UpstreamStart) {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	if known, ok := registrar.upstreams[start.Upstream]; ok && known.Missing && known.Start() == start {
		registrar.backUntil[start.Upstream] = time.Time{}
	}
}

// RemoveLapsed removes the upstreams that are still missing once they can't be back, and ends the probation of those
// whose time is up. It returns the removals.
func (registrar *Registrar) RemoveLapsed(now time.Time) []Change {
	registrar.mutex.Lock()
	defer registrar.mutex.Unlock()
	var changes []Change
	for id, until := range registrar.backUntil {
		if !now.Before(until) {
			changes = append(changes, registrar.remove(id)...)
		}
	}
	if len(changes) > 0 {
		registrar.versions.update(now, registrar.upstreams)
	}
	if ends := registrar.probationEnds; len(changes) > 0 || !ends.IsZero() && !now.Before(ends) {
		registrar.rebuildIndex(now)
	}
	return changes
}
