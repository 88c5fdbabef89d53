package corroborator

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/ranker"
)

const (
	// firstProbeDelay and maxProbeDelay bound the time from the latest evidence to the next probe. It
	// is firstProbeDelay longer than the presumption had lasted at the evidence, so that it doubles
	// with each probe.
	firstProbeDelay = 500 * time.Millisecond
	maxProbeDelay   = 4 * time.Second
	// turnInterval is the time between the beginnings of the turns of two nodes for the same probe.
	// A turn stays open until the result of a probe is known, because a node may have no request
	// for the upstream: with turns of 250 ms one after the other, 6 of 50 presumptions ended
	// unprobed after a second, and up to 18 nodes tried the upstream at once.
	turnInterval = 75 * time.Millisecond
	// turnsPerProbe is the number of nodes whose turns begin for one probe. It bounds the nodes that
	// probe if no result arrives.
	turnsPerProbe = 4
	// probePatience is how long after a probe was due the presumption ends if no node made it.
	probePatience = 2 * time.Second
	// probeTolerance is how much before a probe is due evidence counts as that of the probe, since
	// nodes learn with different delays when it is due.
	probeTolerance = 100 * time.Millisecond
	// offerLead is how long before a probe is due the nodes determine whose turn it is. It exceeds
	// the interval of reports, at which that is done.
	offerLead = 250 * time.Millisecond
	// maxProbers is the number of nodes that take turns.
	maxProbers = 8
)

// rankedNode is a node with the hash of its name.
type rankedNode struct {
	vm   definer.VM
	hash uint64
}

func rankNodes(nodes []definer.VM) []rankedNode {
	ranked := make([]rankedNode, len(nodes))
	for index, vm := range nodes {
		ranked[index] = rankedNode{vm, ranker.Weight("", string(vm))}
	}
	return ranked
}

// probersOf returns the first nodes in the rendezvous order for an incarnation. The mutex is held.
func (corroborator *Corroborator) probersOf(loss *loss) []definer.VM {
	if loss.probers == nil {
		loss.probers = corroborator.firstNodes(loss.start)
	}
	return loss.probers
}

func (corroborator *Corroborator) firstNodes(start definer.UpstreamStart) []definer.VM {
	type weighted struct {
		vm     definer.VM
		weight uint64
	}
	key := ranker.Weight(start.String(), "")
	best := make([]weighted, 0, maxProbers+1)
	for _, node := range corroborator.nodes {
		candidate := weighted{node.vm, ranker.Combine(key, node.hash)}
		place, _ := slices.BinarySearchFunc(best, candidate, func(left, right weighted) int {
			return cmp.Or(cmp.Compare(right.weight, left.weight), cmp.Compare(left.vm, right.vm))
		})
		if place < maxProbers {
			best = slices.Insert(best, place, candidate)
			best = best[:min(len(best), maxProbers)]
		}
	}
	probers := make([]definer.VM, len(best))
	for index, node := range best {
		probers[index] = node.vm
	}
	return probers
}

// probeDue returns when the next probe of an incarnation that is presumed lost is due.
func (loss *loss) probeDue() time.Time {
	latest := loss.failures[0].at
	return latest.Add(min(latest.Sub(loss.since)+firstProbeDelay, maxProbeDelay))
}

// offerProbe has this node probe an incarnation if it is one of those whose turns begin for the next
// probe. The mutex is held.
func (corroborator *Corroborator) offerProbe(now time.Time, known *loss) {
	due := known.probeDue()
	if known.offeredFor.Equal(due) || now.Before(due.Add(-offerLead)) {
		return
	}
	known.offeredFor = due
	probers := corroborator.probersOf(known)
	for place := range min(turnsPerProbe, len(probers)) {
		if probers[(known.turn+place)%len(probers)] == corroborator.self {
			from := due.Add(time.Duration(place) * turnInterval)
			corroborator.probe(known.start, from, due.Add(probePatience))
		}
	}
}
