package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// enqueue puts a new ask into the queue; it returns false when no upstream
// fits it.
func (scheduler *Scheduler) enqueue(now time.Time, ask Ask) (*waiting, bool) {
	class := scheduler.class(ask.Class)
	scheduler.arrived++
	entry := &waiting{ask: ask, came: now, sequence: scheduler.arrived, cost: scheduler.cost(ask)}
	return entry, scheduler.insert(entry, class)
}

// insert puts an entry into its lane; it returns false when no upstream fits.
func (scheduler *Scheduler) insert(entry *waiting, class *class) bool {
	shape := scheduler.shape(entry.ask.Model, entry.ask.Exclude)
	if len(shape.table) == 0 {
		return false
	}
	scheduler.date(entry, class)
	lane := scheduler.lane(class, shape)
	account := lane.tier.account(scheduler.customer(entry.ask), entry.ask.Weight)
	lane.add(entry, account)
	scheduler.waiting[entry.ask.Request] = entry
	scheduler.due.push(entry)
	return true
}

// date works out when the entry is refused and how it ranks.
func (scheduler *Scheduler) date(entry *waiting, class *class) {
	entry.due = entry.ask.Arrival.Add(class.definition.LongestWait())
	patient := entry.came.Add(scheduler.patience(class))
	first := class.waiting == 0 && class.starving()
	if patient.Before(entry.due) && !first {
		entry.due = patient
	}
	entry.reason = messenger.WaitExceeded
	if deadline := entry.ask.Deadline; !deadline.IsZero() && deadline.Before(entry.due) {
		entry.due = deadline
		entry.reason = messenger.DeadlineMissed
	}
	entry.rank = entry.due
	if !scheduler.traits.fairness {
		entry.rank = entry.ask.Arrival
	}
}

// customer returns whose account an ask is charged to.
func (scheduler *Scheduler) customer(ask Ask) definer.OrganisationName {
	if !scheduler.traits.fairness {
		return ""
	}
	return ask.Organisation
}

func (scheduler *Scheduler) tierOf(class *class) int {
	if !scheduler.traits.tiers {
		return 0
	}
	return class.tier()
}

func (scheduler *Scheduler) tier(number int) *tier {
	found, ok := scheduler.tiers[number]
	if !ok {
		found = newTier()
		scheduler.tiers[number] = found
	}
	return found
}

func (scheduler *Scheduler) lane(class *class, shape *shape) *lane {
	tier := scheduler.tier(scheduler.tierOf(class))
	for _, lane := range scheduler.lanes {
		if lane.class == class && lane.shape == shape && lane.tier == tier {
			return lane
		}
	}
	made := &lane{class: class, shape: shape, tier: tier, byOrganisation: make(map[definer.OrganisationName]*flow)}
	scheduler.lanes = append(scheduler.lanes, made)
	scheduler.shapes[shape.key] = shape
	return made
}

// drop takes an entry out of the queue.
func (scheduler *Scheduler) drop(entry *waiting) {
	lane := entry.flow.lane
	lane.remove(entry)
	delete(scheduler.waiting, entry.ask.Request)
	scheduler.due.remove(entry)
	if lane.count == 0 && len(lane.shape.excluded) > 0 {
		scheduler.close(lane)
	}
}

// close drops an empty lane, and its shape when no other lane waits for it.
func (scheduler *Scheduler) close(empty *lane) {
	scheduler.lanes = slices.DeleteFunc(scheduler.lanes, func(lane *lane) bool { return lane == empty })
	used := slices.ContainsFunc(scheduler.lanes, func(lane *lane) bool { return lane.shape == empty.shape })
	if !used {
		delete(scheduler.shapes, empty.shape.key)
	}
}

// entries returns the queue in the order in which the asks came.
func (scheduler *Scheduler) entries() []*waiting {
	return slices.SortedFunc(maps.Values(scheduler.waiting), func(a, b *waiting) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
}

// heldBy returns a member's grants in the order in which they were made.
func (scheduler *Scheduler) heldBy(member definer.Member) []*grant {
	var held []*grant
	for _, grant := range scheduler.grants {
		if grant.ask.Entry == member {
			held = append(held, grant)
		}
	}
	slices.SortFunc(held, func(a, b *grant) int { return cmp.Compare(a.sequence, b.sequence) })
	return held
}
