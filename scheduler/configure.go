package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Configure sets the shard's upstreams and classes and returns the decisions that are
// now possible. Grants of removed upstreams stay until they are released; waiting asks
// keep their places.
func (scheduler *Scheduler) Configure(now time.Time, upstreams []*definer.Upstream, classes []*definer.Class) []Decision {
	// Refuse expired asks under the configuration under which they waited.
	decisions := scheduler.refuseOverdue(now)
	queuedAsks := scheduler.queuedInOrder()
	for _, queuedAsk := range queuedAsks {
		scheduler.dequeue(queuedAsk)
	}
	scheduler.lanes = nil
	for _, definition := range classes {
		scheduler.class(definition).definition = definition
	}
	scheduler.sortClasses()
	scheduler.updateUpstreams(upstreams)
	scheduler.pollLimits()
	scheduler.redistribute(now)
	for _, queuedAsk := range queuedAsks {
		if !scheduler.requeue(queuedAsk) {
			decisions = append(decisions, Decision{Ask: queuedAsk.ask, Reason: messenger.NoUpstream, RetryAfter: minRetryAfter})
		}
	}
	return append(decisions, scheduler.decide(now)...)
}

// requeue queues an ask again under the present configuration. It returns false when no
// upstream fits the ask.
func (scheduler *Scheduler) requeue(queuedAsk *queuedAsk) bool {
	class := scheduler.class(queuedAsk.ask.Class)
	queuedAsk.ask.Class = class.definition
	return scheduler.insert(queuedAsk, class)
}

// class returns the state of a class and adds the class if it is new.
func (scheduler *Scheduler) class(definition *definer.Class) *class {
	found, ok := scheduler.classes[definition.Name()]
	if !ok {
		found = &class{definition: definition}
		scheduler.classes[definition.Name()] = found
		scheduler.sortClasses()
		found.floor = scheduler.floor(found)
	}
	return found
}

func (scheduler *Scheduler) sortClasses() {
	scheduler.classesByTier = slices.SortedFunc(maps.Values(scheduler.classes), func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.tier(), b.tier()), cmp.Compare(a.definition.Name(), b.definition.Name()))
	})
}

// updateUpstreams sets the configured upstreams and removes those that left the
// configuration and have no grants.
func (scheduler *Scheduler) updateUpstreams(upstreams []*definer.Upstream) {
	for _, upstream := range scheduler.upstreams {
		upstream.present = false
	}
	for _, definition := range upstreams {
		upstream := scheduler.findOrAddUpstream(definition.Name())
		upstream.definition = definition
		upstream.present = true
	}
	scheduler.upstreams = slices.DeleteFunc(scheduler.upstreams, func(upstream *upstream) bool {
		gone := !upstream.present && upstream.active == 0 && len(upstream.paused) == 0
		if gone {
			delete(scheduler.byName, upstream.name)
		}
		return gone
	})
	scheduler.reindex()
}

// findOrAddUpstream returns the state of an upstream and adds the upstream if it is
// unknown. An added upstream gets no new requests until it is configured.
func (scheduler *Scheduler) findOrAddUpstream(name definer.UpstreamName) *upstream {
	found, ok := scheduler.byName[name]
	if ok {
		return found
	}
	found = &upstream{name: name}
	scheduler.byName[name] = found
	scheduler.upstreams = append(scheduler.upstreams, found)
	slices.SortFunc(scheduler.upstreams, func(a, b *upstream) int { return cmp.Compare(a.name, b.name) })
	scheduler.reindex()
	return found
}

// reindex assigns each upstream its bit position and rebuilds the upstream sets.
func (scheduler *Scheduler) reindex() {
	for position, upstream := range scheduler.upstreams {
		upstream.position = position
	}
	width := (len(scheduler.upstreams) + wordBits - 1) / wordBits
	scheduler.unprotectedRoom = make([]uint64, width)
	scheduler.protectedRoom = make([]uint64, width)
	scheduler.allUpstreams = scheduler.newUpstreamSet("", "", nil)
	clear(scheduler.upstreamSets)
	for _, lane := range scheduler.lanes {
		lane.upstreamSet = scheduler.upstreamSet(lane.upstreamSet.model, lane.upstreamSet.excluded)
		scheduler.upstreamSets[lane.upstreamSet.key] = lane.upstreamSet
	}
}

func (scheduler *Scheduler) newUpstreamSet(key, model string, excluded []definer.UpstreamName) *upstreamSet {
	var table []*upstream
	for _, upstream := range scheduler.upstreams {
		if upstream.present && !upstream.definition.Leaving() && upstream.definition.Serves(model) && !slices.Contains(excluded, upstream.name) {
			table = append(table, upstream)
		}
	}
	made := newUpstreamSet(key, table, len(scheduler.unprotectedRoom))
	made.model = model
	made.excluded = excluded
	return made
}

// upstreamSet returns the set of upstreams that serve a model and are not excluded.
func (scheduler *Scheduler) upstreamSet(model string, exclude []definer.UpstreamName) *upstreamSet {
	excluded := slices.Compact(slices.Sorted(slices.Values(exclude)))
	key := upstreamSetKey(model, excluded)
	found, ok := scheduler.upstreamSets[key]
	if ok {
		return found
	}
	return scheduler.newUpstreamSet(key, model, excluded)
}

func upstreamSetKey(model string, excluded []definer.UpstreamName) string {
	if len(excluded) == 0 {
		return model
	}
	var key strings.Builder
	key.WriteString(model)
	for _, name := range excluded {
		key.WriteByte(0)
		key.WriteString(string(name))
	}
	return key.String()
}

// refreshLimits updates the limits and, if one changed, the values derived from them.
func (scheduler *Scheduler) refreshLimits(now time.Time) {
	if scheduler.pollLimits() {
		scheduler.redistribute(now)
	}
}

// pollLimits reads the limits from the Limiter and reports whether one changed.
func (scheduler *Scheduler) pollLimits() bool {
	changed := false
	for _, upstream := range scheduler.upstreams {
		if !upstream.present {
			continue
		}
		limit := min(max(scheduler.limiter.Limit(upstream.definition), 1), upstream.definition.MaxSlots())
		changed = changed || limit != upstream.limit
		upstream.limit = limit
	}
	return changed
}

// redistribute recomputes the protected slots, the slot sums and the floors.
func (scheduler *Scheduler) redistribute(now time.Time) {
	reserve(scheduler.upstreams, scheduler.protectedShare())
	scheduler.allUpstreams.recount()
	for _, upstreamSet := range scheduler.upstreamSets {
		upstreamSet.recount()
	}
	for _, class := range scheduler.classesByTier {
		class.accrue(now)
		class.floor = scheduler.floor(class)
	}
}

// floor returns a class's floor in slots.
func (scheduler *Scheduler) floor(class *class) float64 {
	if !scheduler.features.floors || class.protected() {
		return 0
	}
	return class.definition.FloorShare() * float64(scheduler.allUpstreams.unprotectedLimit)
}
