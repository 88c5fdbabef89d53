package detector

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
)

// ring holds the members that this node exchanges heartbeats with.
type ring struct {
	// computed is false when the members have to be determined again.
	computed bool
	// targets are the members that watch this node; it sends them heartbeats.
	targets []definer.VM
	// watched are the members that this node watches, sorted by name.
	watched []definer.VM
}

// ringPosition is the position of a member on the hash ring.
type ringPosition struct {
	vm         definer.VM
	dataCentre definer.DataCentre
	hash       uint64
}

// targets returns the members that this node sends its heartbeats to.
func (detector *Detector) targets() []definer.VM {
	if !detector.ring.computed {
		detector.computeRing()
	}
	return detector.ring.targets
}

// computeRing determines targets and watched from the live members.
func (detector *Detector) computeRing() {
	all, local := detector.ringPositions()
	mine := detector.self.Member.VM
	detector.ring = ring{computed: true}
	for index, place := range all {
		watchers := detector.watchersOf(place, index, all, local[place.dataCentre])
		if place.vm == mine {
			detector.ring.targets = watchers
		} else if slices.Contains(watchers, mine) {
			detector.ring.watched = append(detector.ring.watched, place.vm)
		}
	}
	slices.Sort(detector.ring.watched)
}

// ringPositions returns the live members in the order of the ring: all of them, and
// those of each data centre.
func (detector *Detector) ringPositions() ([]ringPosition, map[definer.DataCentre][]ringPosition) {
	var all []ringPosition
	for _, member := range detector.Members() {
		all = append(all, ringPosition{vm: member.Member.VM, dataCentre: member.DataCentre, hash: xxhash.Sum64String(string(member.Member.VM))})
	}
	slices.SortFunc(all, func(a, b ringPosition) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm)) })
	local := make(map[definer.DataCentre][]ringPosition)
	for _, place := range all {
		local[place.dataCentre] = append(local[place.dataCentre], place)
	}
	return all, local
}

// watchersOf returns the members that watch a member: up to localWatchers successors
// among those of its data centre, then successors on the whole ring.
func (detector *Detector) watchersOf(of ringPosition, index int, all, local []ringPosition) []definer.VM {
	var watchers []definer.VM
	at, _ := slices.BinarySearchFunc(local, of, func(a, b ringPosition) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm))
	})
	for step := 1; step < len(local) && len(watchers) < min(localWatchers, detector.settings.watchers); step++ {
		watchers = append(watchers, local[(at+step)%len(local)].vm)
	}
	for step := 1; step < len(all) && len(watchers) < detector.settings.watchers; step++ {
		if next := all[(index+step)%len(all)].vm; !slices.Contains(watchers, next) {
			watchers = append(watchers, next)
		}
	}
	return watchers
}

// watched returns the members that this node watches. When the ring
// changed, a member that was silent for over a period and is not probed yet gets the
// full timeout from now, since this node may not have watched it before.
func (detector *Detector) watched(now time.Time) []definer.VM {
	if detector.ring.computed {
		return detector.ring.watched
	}
	detector.computeRing()
	for _, vm := range detector.ring.watched {
		peer := detector.peers[vm]
		if now.Sub(peer.lastHeard) > detector.period() && peer.probedAt.IsZero() {
			peer.lastHeard = now
		}
	}
	return detector.ring.watched
}
