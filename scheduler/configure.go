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

// Configure sets the shard's upstreams and classes and returns what can now be
// decided. Running grants of upstreams that are gone stay until they are
// released; waiting asks keep their places.
func (scheduler *Scheduler) Configure(now time.Time, upstreams []*definer.Upstream, classes []*definer.Class) []Decision {
	// What is due is refused under the configuration that it waited for.
	decisions := scheduler.overdue(now)
	entries := scheduler.entries()
	for _, entry := range entries {
		scheduler.drop(entry)
	}
	scheduler.lanes = nil
	for _, definition := range classes {
		scheduler.class(definition).definition = definition
	}
	scheduler.sortClasses()
	scheduler.tabulate(upstreams)
	scheduler.poll()
	scheduler.settle(now)
	for _, entry := range entries {
		if !scheduler.requeue(entry) {
			decisions = append(decisions, Decision{Ask: entry.ask, Reason: messenger.NoUpstream, RetryAfter: leastRetry})
		}
	}
	return append(decisions, scheduler.decide(now)...)
}

// requeue puts an entry back under the present configuration.
func (scheduler *Scheduler) requeue(entry *waiting) bool {
	class := scheduler.class(entry.ask.Class)
	entry.ask.Class = class.definition
	return scheduler.insert(entry, class)
}

// class returns what is counted of a class and takes it up if it is new.
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
	scheduler.order = slices.SortedFunc(maps.Values(scheduler.classes), func(a, b *class) int {
		return cmp.Or(cmp.Compare(a.tier(), b.tier()), cmp.Compare(a.definition.Name(), b.definition.Name()))
	})
}

// tabulate takes up the upstreams and drops those that are gone and idle.
func (scheduler *Scheduler) tabulate(upstreams []*definer.Upstream) {
	for _, slots := range scheduler.table {
		slots.present = false
	}
	for _, upstream := range upstreams {
		slots := scheduler.addGone(upstream.Name())
		slots.upstream = upstream
		slots.present = true
	}
	scheduler.table = slices.DeleteFunc(scheduler.table, func(slots *slots) bool {
		gone := !slots.present && slots.active == 0 && len(slots.paused) == 0
		if gone {
			delete(scheduler.byName, slots.name)
		}
		return gone
	})
	scheduler.renumber()
}

// addGone returns the table of an upstream and takes it up if it is unknown.
// It takes no new work until it is configured.
func (scheduler *Scheduler) addGone(name definer.UpstreamName) *slots {
	found, ok := scheduler.byName[name]
	if ok {
		return found
	}
	found = &slots{name: name}
	scheduler.byName[name] = found
	scheduler.table = append(scheduler.table, found)
	slices.SortFunc(scheduler.table, func(a, b *slots) int { return cmp.Compare(a.name, b.name) })
	scheduler.renumber()
	return found
}

// renumber gives each upstream its bit and works out the shapes anew.
func (scheduler *Scheduler) renumber() {
	for position, slots := range scheduler.table {
		slots.position = position
	}
	width := (len(scheduler.table) + wordBits - 1) / wordBits
	scheduler.ordinaryRoom = make([]uint64, width)
	scheduler.protectedRoom = make([]uint64, width)
	scheduler.whole = scheduler.newShape("", "", nil)
	clear(scheduler.shapes)
	for _, lane := range scheduler.lanes {
		lane.shape = scheduler.shape(lane.shape.model, lane.shape.excluded)
		scheduler.shapes[lane.shape.key] = lane.shape
	}
}

func (scheduler *Scheduler) newShape(key, model string, excluded []definer.UpstreamName) *shape {
	var table []*slots
	for _, slots := range scheduler.table {
		if slots.present && !slots.upstream.Leaving() && slots.upstream.Serves(model) && !slices.Contains(excluded, slots.name) {
			table = append(table, slots)
		}
	}
	made := newShape(key, table, len(scheduler.ordinaryRoom))
	made.model = model
	made.excluded = excluded
	return made
}

// shape returns the upstreams that fit a model and a list of exclusions.
func (scheduler *Scheduler) shape(model string, exclude []definer.UpstreamName) *shape {
	excluded := slices.Compact(slices.Sorted(slices.Values(exclude)))
	key := shapeKey(model, excluded)
	found, ok := scheduler.shapes[key]
	if ok {
		return found
	}
	return scheduler.newShape(key, model, excluded)
}

func shapeKey(model string, excluded []definer.UpstreamName) string {
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

// refresh takes up the limits of now and what follows from them.
func (scheduler *Scheduler) refresh(now time.Time) {
	if scheduler.poll() {
		scheduler.settle(now)
	}
}

// poll asks for the limits and tells whether one changed.
func (scheduler *Scheduler) poll() bool {
	changed := false
	for _, slots := range scheduler.table {
		if !slots.present {
			continue
		}
		limit := min(max(scheduler.limiter.Limit(slots.upstream), 1), slots.upstream.MaxSlots())
		changed = changed || limit != slots.limit
		slots.limit = limit
	}
	return changed
}

// settle divides the slots anew and works out the floors.
func (scheduler *Scheduler) settle(now time.Time) {
	reserve(scheduler.table, scheduler.protectedShare())
	scheduler.whole.sum()
	for _, shape := range scheduler.shapes {
		shape.sum()
	}
	for _, class := range scheduler.order {
		class.accrue(now)
		class.floor = scheduler.floor(class)
	}
}

// floor returns a class's floor in slots.
func (scheduler *Scheduler) floor(class *class) float64 {
	if !scheduler.traits.floors || class.protected() {
		return 0
	}
	return class.definition.FloorShare() * float64(scheduler.whole.ordinary)
}
