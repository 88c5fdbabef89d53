package detector

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
)

// ring tells whom this node sends heartbeats to and of whom it expects them.
type ring struct {
	known bool
	// targets are the members that watch this node.
	targets []definer.VM
	// watched are the members that this node watches.
	watched []definer.VM
}

// place is the position of a member on the ring.
type place struct {
	vm         definer.VM
	dataCentre definer.DataCentre
	hash       uint64
}

// targets returns the members that this node sends its heartbeats to.
func (detector *Detector) targets() []definer.VM {
	if !detector.ring.known {
		detector.arrange()
	}
	return detector.ring.targets
}

// arrange works the ring out from the live members.
func (detector *Detector) arrange() {
	all, local := detector.places()
	mine := detector.self.Member.VM
	detector.ring = ring{known: true}
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

// places returns the live members in the order of the ring, all of them and by
// data centre.
func (detector *Detector) places() ([]place, map[definer.DataCentre][]place) {
	var all []place
	for _, member := range detector.Members() {
		all = append(all, place{vm: member.Member.VM, dataCentre: member.DataCentre, hash: xxhash.Sum64String(string(member.Member.VM))})
	}
	slices.SortFunc(all, func(a, b place) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.vm, b.vm)) })
	local := make(map[definer.DataCentre][]place)
	for _, place := range all {
		local[place.dataCentre] = append(local[place.dataCentre], place)
	}
	return all, local
}

// watchersOf returns who watches a member: the next ones of its data centre,
// then the next ones of the whole ring.
func (detector *Detector) watchersOf(of place, index int, all, local []place) []definer.VM {
	var watchers []definer.VM
	at, _ := slices.BinarySearchFunc(local, of, func(a, b place) int {
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

// watched returns the members that this node watches. One that it did not watch
// before gets the full time for its first word.
func (detector *Detector) watched(now time.Time) []definer.VM {
	if detector.ring.known {
		return detector.ring.watched
	}
	detector.arrange()
	for _, vm := range detector.ring.watched {
		peer := detector.peers[vm]
		if now.Sub(peer.heard) > detector.period() && peer.probed.IsZero() {
			peer.heard = now
		}
	}
	return detector.ring.watched
}
