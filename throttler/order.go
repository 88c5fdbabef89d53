package throttler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/ranker"
	"limpetcleat/timer"
)

const (
	// answerPatience is how long a node may take to say anything to an ask; the way there
	// and back takes some milliseconds.
	answerPatience = 100 * time.Millisecond
	// firstBackoff and maxBackoff bound how long a node that said nothing is passed over.
	firstBackoff = time.Second
	maxBackoff   = 8 * time.Second
	// goneAfter is how long a node must have been silent to count as gone; before that, one
	// that stands in for it hands out fewer permits, for it may be cut off only from some.
	goneAfter = 3 * time.Second
	// probeEvery is how long a node counts as heard from before it is asked for a sign, and
	// the least time between two such asks.
	probeEvery = time.Second
)

// view is the list of nodes as this one knows it.
type view struct {
	nodes []exchanger.Peer
	// known is set once the list was read.
	known bool
}

// look returns the list of nodes. It is called without the mutex held: who keeps the list may
// be waiting for it.
func (throttler *Throttler) look() view {
	nodes, known := throttler.fleet.Nodes()
	return view{nodes: nodes, known: known}
}

// contact is what is known of a node's answers.
type contact struct {
	heardAt time.Time
	// silentSince is when it first said nothing to an ask, zero when it has answered since.
	silentSince time.Time
	// backoffUntil is until when it is not asked; silences counts those in a row.
	backoffUntil time.Time
	silences     int
	// probedAt is when it was last asked for a sign, zero before the first time.
	probedAt time.Time
}

// heard notes that the node said something.
func (contact *contact) heard(now time.Time) {
	contact.heardAt = now
	contact.silentSince = time.Time{}
	contact.backoffUntil = time.Time{}
	contact.silences = 0
}

// silent notes that it said nothing.
func (contact *contact) silent(now time.Time) {
	if contact.silentSince.IsZero() {
		contact.silentSince = now
	}
	contact.backoffUntil = now.Add(timer.Doubled(firstBackoff, maxBackoff, contact.silences))
	contact.silences++
}

// backsOff tells whether it is not to be asked yet.
func (contact *contact) backsOff(now time.Time) bool { return now.Before(contact.backoffUntil) }

// gone tells whether it is taken to have ended.
func (contact *contact) gone(now time.Time) bool {
	return !contact.silentSince.IsZero() && now.Sub(contact.silentSince) >= goneAfter
}

// unlistedIssuer is a node that hands out permits and may not be on the list yet.
type unlistedIssuer struct {
	peer    exchanger.Peer
	heardAt time.Time
}

// meet notes a node that says that it hands out permits; mutex is held.
func (throttler *Throttler) meet(now time.Time, peer exchanger.Peer) {
	maps.DeleteFunc(throttler.unlisted, func(_ definer.VM, known unlistedIssuer) bool { return now.Sub(known.heardAt) > goneAfter })
	throttler.unlisted[peer.VM] = unlistedIssuer{peer: peer, heardAt: now}
}

// withUnlisted returns the nodes with those that hand out permits and are not on the list;
// mutex is held.
func (throttler *Throttler) withUnlisted(now time.Time, nodes []exchanger.Peer) []exchanger.Peer {
	for vm, known := range throttler.unlisted {
		listed := slices.ContainsFunc(nodes, func(node exchanger.Peer) bool { return node.VM == vm })
		if !listed && now.Sub(known.heardAt) <= goneAfter {
			nodes = append(slices.Clone(nodes), known.peer)
		}
	}
	return nodes
}

// order returns the nodes that hand out an upstream's permits, the first before all others:
// those of its data centre, as they reach it whenever it can be reached, or all if these are
// all gone. The mutex is held.
func (throttler *Throttler) order(now time.Time, nodes []exchanger.Peer, start definer.UpstreamStart, dataCentre definer.DataCentre) []exchanger.Peer {
	nodes = throttler.withUnlisted(now, nodes)
	var near []exchanger.Peer
	present := false
	for _, node := range nodes {
		if node.DataCentre == dataCentre {
			near = append(near, node)
			present = present || throttler.present(now, node)
		}
	}
	if !present {
		near = slices.Clone(nodes)
	}
	weights := make(map[definer.VM]uint64, len(near))
	for _, node := range near {
		weights[node.VM] = ranker.Weight(string(start.Upstream), string(node.VM))
	}
	slices.SortFunc(near, func(left, right exchanger.Peer) int {
		return cmp.Or(cmp.Compare(weights[right.VM], weights[left.VM]), cmp.Compare(left.VM, right.VM))
	})
	return near
}

// present tells whether a node is not gone; mutex is held.
func (throttler *Throttler) present(now time.Time, node exchanger.Peer) bool {
	return node.VM == throttler.self.VM || !throttler.contact(node.VM).gone(now)
}

// countPresent counts the nodes that are not gone; mutex is held.
func (throttler *Throttler) countPresent(now time.Time, nodes []exchanger.Peer) int {
	count := 0
	for _, node := range nodes {
		if throttler.present(now, node) {
			count++
		}
	}
	return count
}

// before returns the nodes that go before the given one in an order.
func before(order []exchanger.Peer, vm definer.VM) []exchanger.Peer {
	place := slices.IndexFunc(order, func(node exchanger.Peer) bool { return node.VM == vm })
	if place < 0 {
		return order
	}
	return order[:place]
}

// issuerOf returns the first node that is not being passed over; mutex is held.
func (throttler *Throttler) issuerOf(now time.Time, order []exchanger.Peer) (exchanger.Peer, bool) {
	for _, node := range order {
		if node.VM == throttler.self.VM || !throttler.contact(node.VM).backsOff(now) {
			return node, true
		}
	}
	return exchanger.Peer{}, false
}

// contact returns what is known of a node's answers; mutex is held.
func (throttler *Throttler) contact(vm definer.VM) *contact {
	known, ok := throttler.contacts[vm]
	if !ok {
		known = &contact{}
		throttler.contacts[vm] = known
	}
	return known
}
