package scheduler

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
)

// light is the part of its limit that an upstream may fill by affinity whatever
// the mean is; bounding it tighter parted like prompts on idle upstreams.
const light = 0.5

// choose returns the upstream for the head of a lane: the one its prefix
// belongs to while that is not much above the mean load, else the least loaded.
// Some upstream must have room.
func (scheduler *Scheduler) choose(lane *lane) *slots {
	protected := scheduler.guards(lane.class)
	if scheduler.traits.rotation {
		return scheduler.turn(lane.shape, protected)
	}
	prefix := lane.head().ask.Prefix
	if scheduler.affinity > 0 && prefix != 0 {
		if found := scheduler.attracted(lane.shape, protected, prefix); found != nil {
			return found
		}
	}
	var best *slots
	for _, slots := range lane.shape.table {
		if slots.room(protected) && (best == nil || slots.lighter(best)) {
			best = slots
		}
	}
	return best
}

// lighter tells whether the upstream is the better one: well, where the other
// is not, or with less work for its limit.
func (slots *slots) lighter(other *slots) bool {
	if well := slots.breaker.admits(slots.active); well != other.breaker.admits(other.active) {
		return well
	}
	if slots.load() != other.load() {
		return slots.load() < other.load()
	}
	return slots.cost/float64(max(slots.limit, 1)) < other.cost/float64(max(other.limit, 1))
}

// turn returns the next upstream with room after the one granted last.
func (scheduler *Scheduler) turn(shape *shape, protected bool) *slots {
	var first *slots
	for _, slots := range shape.table {
		if !slots.room(protected) {
			continue
		}
		if slots.position > scheduler.rotation {
			return slots
		}
		if first == nil {
			first = slots
		}
	}
	return first
}

// attracted returns the upstream that ranks highest for the prefix among those
// with room whose load stays below the bound, or nil.
func (scheduler *Scheduler) attracted(shape *shape, protected bool, prefix uint64) *slots {
	used := 1
	for _, slots := range shape.table {
		used += slots.active + len(slots.paused)
	}
	bound := max(light, scheduler.affinity*float64(used)/float64(max(shape.limit, 1)))
	var best *slots
	var highest uint64
	for _, slots := range shape.table {
		next := float64(slots.active+len(slots.paused)+1) / float64(max(slots.limit, 1))
		if !slots.room(protected) || next > max(bound, 1/float64(max(slots.limit, 1))) {
			continue
		}
		if weight := rendezvous(prefix, slots.name); best == nil || weight > highest {
			best, highest = slots, weight
		}
	}
	return best
}

// rendezvous returns the upstream's weight for a prefix.
func rendezvous(prefix uint64, name definer.UpstreamName) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prefix)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(key[:])
	_, _ = digest.WriteString(string(name))
	return digest.Sum64()
}
