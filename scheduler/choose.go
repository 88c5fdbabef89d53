package scheduler

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
)

// affinityMinLoad is the part of its limit up to which an upstream always accepts
// requests by prefix affinity, whatever the mean load is; a tighter bound spread
// prompts with the same prefix over idle upstreams.
const affinityMinLoad = 0.5

// choose returns the upstream for the first ask of a lane: by prefix affinity while
// the load of that upstream is not much above the mean, else the least loaded one. At
// least one upstream of the lane must have room.
func (scheduler *Scheduler) choose(lane *lane) *upstream {
	protected := scheduler.isProtected(lane.class)
	if scheduler.features.rotation {
		return scheduler.nextInRotation(lane.upstreamSet, protected)
	}
	prefix := lane.head().ask.Prefix
	if scheduler.affinity > 0 && prefix != 0 {
		if found := scheduler.affinityUpstream(lane.upstreamSet, protected, prefix); found != nil {
			return found
		}
	}
	var best *upstream
	for _, upstream := range lane.upstreamSet.upstreams {
		if upstream.hasRoom(protected) && (best == nil || upstream.preferredTo(best)) {
			best = upstream
		}
	}
	return best
}

// preferredTo reports whether the upstream is the better choice: its breaker admits
// requests and that of the other does not, or it has less load for its limit.
func (upstream *upstream) preferredTo(other *upstream) bool {
	if well := upstream.breaker.admits(upstream.active); well != other.breaker.admits(other.active) {
		return well
	}
	if upstream.load() != other.load() {
		return upstream.load() < other.load()
	}
	return upstream.cost/float64(max(upstream.limit, 1)) < other.cost/float64(max(other.limit, 1))
}

// nextInRotation returns the next upstream with room after the one that got the last
// grant.
func (scheduler *Scheduler) nextInRotation(upstreamSet *upstreamSet, protected bool) *upstream {
	var first *upstream
	for _, upstream := range upstreamSet.upstreams {
		if !upstream.hasRoom(protected) {
			continue
		}
		if upstream.position > scheduler.rotation {
			return upstream
		}
		if first == nil {
			first = upstream
		}
	}
	return first
}

// affinityUpstream returns the upstream with the highest rendezvous weight for the
// prefix among those with room whose load stays within the affinity bound, or nil.
func (scheduler *Scheduler) affinityUpstream(upstreamSet *upstreamSet, protected bool, prefix uint64) *upstream {
	used := 1
	for _, upstream := range upstreamSet.upstreams {
		used += upstream.active + len(upstream.paused)
	}
	bound := max(affinityMinLoad, scheduler.affinity*float64(used)/float64(max(upstreamSet.limit, 1)))
	var best *upstream
	var highest uint64
	for _, upstream := range upstreamSet.upstreams {
		next := float64(upstream.active+len(upstream.paused)+1) / float64(max(upstream.limit, 1))
		if !upstream.hasRoom(protected) || next > max(bound, 1/float64(max(upstream.limit, 1))) {
			continue
		}
		if weight := rendezvousWeight(prefix, upstream.name); best == nil || weight > highest {
			best, highest = upstream, weight
		}
	}
	return best
}

// rendezvousWeight returns the weight of an upstream for a prefix in rendezvous
// (highest random weight) hashing.
func rendezvousWeight(prefix uint64, name definer.UpstreamName) uint64 {
	var key [8]byte
	binary.LittleEndian.PutUint64(key[:], prefix)
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.Write(key[:])
	_, _ = digest.WriteString(string(name))
	return digest.Sum64()
}
