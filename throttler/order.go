package throttler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/ranker"
	"limpetcleat/timer"
)

const (
	// answerTimeout is how long a node may take to answer an ask; the round trip takes some
	// milliseconds.
	answerTimeout = 100 * time.Millisecond
	// optionalTimeout is the same for an ask that is most likely needless.
	optionalTimeout = 30 * time.Millisecond
	// firstBackoff and maxBackoff bound how long a node that did not answer is passed over.
	firstBackoff = time.Second
	maxBackoff   = 8 * time.Second
	// goneTimeout is how long a node must have been silent to count as gone. Before that, the
	// node that stands in for it issues permits at a lower rate, since the silent one may be cut
	// off only from some nodes.
	goneTimeout = 3 * time.Second
	// placesGoneTimeout is the same for the places of an upstream. It is shorter because two nodes that
	// both issue all places lower their number with each rejection.
	placesGoneTimeout = time.Second
	// probeInterval is how long after its last message a node is probed, and the least time
	// between two probes.
	probeInterval = time.Second
)

// nodeList is the list of nodes as this node knows it.
type nodeList struct {
	nodes []exchanger.Peer
	// known is set once the list has been read.
	known bool
	// reached is the number of nodes with which this one is connected, itself included.
	reached int
}

// listNodes returns the list of nodes. The mutex must not be held, since the keeper of the list
// may be waiting for it.
func (throttler *Throttler) listNodes(now time.Time) nodeList {
	nodes, known := throttler.fleet.Nodes()
	return nodeList{nodes: nodes, known: known, reached: throttler.fleet.Reached(now)}
}

// updateReach records whether this node is connected with most of the others. Silence that it
// observed while it was not says nothing of the other nodes, and is forgotten. The mutex is held.
func (throttler *Throttler) updateReach(list nodeList) {
	cutOff := list.known && 2*list.reached <= len(list.nodes) && len(list.nodes) > 2
	if throttler.cutOff && !cutOff {
		clear(throttler.contacts)
	}
	throttler.cutOff = cutOff
}

// contact records whether a node answers.
type contact struct {
	heardAt time.Time
	// silentSince is when the node first failed to answer; zero if it has answered since.
	silentSince time.Time
	// backoffUntil is the time before which the node is not asked, and silences the number of
	// consecutive unanswered messages.
	backoffUntil time.Time
	silences     int
	// probedAt is when the node was last probed; zero if it never was.
	probedAt time.Time
}

// recordAnswer records a message from the node and ends its backoff.
func (contact *contact) recordAnswer(now time.Time) {
	contact.heardAt = now
	contact.silentSince = time.Time{}
	contact.backoffUntil = time.Time{}
	contact.silences = 0
}

// recordSilence records that the node did not answer, and doubles its backoff.
func (contact *contact) recordSilence(now time.Time) {
	if contact.silentSince.IsZero() {
		contact.silentSince = now
	}
	contact.backoffUntil = now.Add(timer.Doubled(firstBackoff, maxBackoff, contact.silences))
	contact.silences++
}

// isBackingOff reports whether the node is not to be asked yet.
func (contact *contact) isBackingOff(now time.Time) bool { return now.Before(contact.backoffUntil) }

// isGone reports whether the node has been silent for the timeout and counts as ended.
func (contact *contact) isGone(now time.Time, timeout time.Duration) bool {
	return !contact.silentSince.IsZero() && now.Sub(contact.silentSince) >= timeout
}

// unlistedIssuer is a node that issues permits and may not be on the list yet.
type unlistedIssuer struct {
	peer    exchanger.Peer
	heardAt time.Time
}

// addUnlisted records a node that is known to issue permits. The mutex is held.
func (throttler *Throttler) addUnlisted(now time.Time, peer exchanger.Peer) {
	maps.DeleteFunc(throttler.unlisted, func(_ definer.VM, known unlistedIssuer) bool { return now.Sub(known.heardAt) > goneTimeout })
	throttler.unlisted[peer.VM] = unlistedIssuer{peer: peer, heardAt: now}
}

// withUnlisted returns the nodes and those issuers that are not on the list. The mutex is held.
func (throttler *Throttler) withUnlisted(now time.Time, nodes []exchanger.Peer) []exchanger.Peer {
	for vm, known := range throttler.unlisted {
		listed := slices.ContainsFunc(nodes, func(node exchanger.Peer) bool { return node.VM == vm })
		if !listed && now.Sub(known.heardAt) <= goneTimeout {
			nodes = append(slices.Clone(nodes), known.peer)
		}
	}
	return nodes
}

// absence returns how long a node must have been silent to count as gone in the order of issuers.
// For a cold upstream no node does, so that nodes which cannot reach each other derive the same
// order.
func absence(cold, placed bool) time.Duration {
	switch {
	case cold:
		return math.MaxInt64
	case placed:
		return placesGoneTimeout
	default:
		return goneTimeout
	}
}

// order returns the nodes that may issue an upstream's permits, in order of precedence. They are
// the nodes of the upstream's data centre, which reach it whenever it can be reached, or all
// nodes if those are all gone, after the timeout. The mutex is held.
func (throttler *Throttler) order(now time.Time, nodes []exchanger.Peer, start definer.UpstreamStart, dataCentre definer.DataCentre, timeout time.Duration) []exchanger.Peer {
	nodes = throttler.withUnlisted(now, nodes)
	var near []exchanger.Peer
	present := false
	for _, node := range nodes {
		if node.DataCentre == dataCentre {
			near = append(near, node)
			present = present || throttler.isPresent(now, node, timeout)
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

// isPresent reports whether a node is not gone, after the timeout. The mutex is held.
func (throttler *Throttler) isPresent(now time.Time, node exchanger.Peer, timeout time.Duration) bool {
	return node.VM == throttler.self.VM || !throttler.contact(node.VM).isGone(now, timeout)
}

// countPresent returns the number of nodes that are not gone, after the timeout. The mutex is held.
func (throttler *Throttler) countPresent(now time.Time, nodes []exchanger.Peer, timeout time.Duration) int {
	count := 0
	for _, node := range nodes {
		if throttler.isPresent(now, node, timeout) {
			count++
		}
	}
	return count
}

// predecessors returns the nodes before the given one in an order, or all if it is not in it.
func predecessors(order []exchanger.Peer, vm definer.VM) []exchanger.Peer {
	place := slices.IndexFunc(order, func(node exchanger.Peer) bool { return node.VM == vm })
	if place < 0 {
		return order
	}
	return order[:place]
}

// issuerOf returns the first node in an order that is not in a backoff. The mutex is held.
func (throttler *Throttler) issuerOf(now time.Time, order []exchanger.Peer) (exchanger.Peer, bool) {
	for _, node := range order {
		if node.VM == throttler.self.VM || !throttler.contact(node.VM).isBackingOff(now) {
			return node, true
		}
	}
	return exchanger.Peer{}, false
}

// contact returns the contact record of a node, which it creates if there is none. The mutex is
// held.
func (throttler *Throttler) contact(vm definer.VM) *contact {
	known, ok := throttler.contacts[vm]
	if !ok {
		known = &contact{}
		throttler.contacts[vm] = known
	}
	return known
}
