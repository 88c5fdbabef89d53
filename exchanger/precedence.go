package exchanger

import (
	"slices"
	"time"

	"limpetcleat/definer"
)

const (
	// seniorCount is how many other nodes are sent the data that must survive the loss of
	// one node.
	seniorCount = 2
	// candidateCount is the number of nodes that should at least be eligible for a duty,
	// if there are as many. Where there are fewer groups than that, members of groups are
	// eligible beside the aggregators.
	candidateCount = seniorCount + 1
)

// Precedence is the rank of a node among the candidates for a duty that one node performs
// at a time.
type Precedence struct {
	// Eligible is set for nodes that may take on a duty: the aggregators of groups and,
	// where groups are few, the first of their members.
	Eligible bool
	// Rank is the number of nodes that come before this one, if it is eligible.
	Rank int
	// Seniors are the nodes that are sent what the holder of a duty has to know.
	Seniors []Peer
	// Audience are the nodes that are sent the state of a duty.
	Audience []Peer
	// NodeCount is the number of nodes on the list, this one included.
	NodeCount int
}

// Precedence returns the rank of this node. Each node derives it from the list of nodes
// and from which nodes respond to it. Nodes for which passedOver returns true do not
// count.
func (exchanger *Exchanger) Precedence(now time.Time, passedOver func(vm definer.VM) bool) Precedence {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.dropExpired(now)
	own := exchanger.groups[exchanger.ownGroup]
	aggregator := exchanger.aggregatorOf(now, own)
	aggregates := aggregator.VM == exchanger.self.VM
	precedence := Precedence{Eligible: aggregates, NodeCount: len(exchanger.peers) + 1}
	before, others := exchanger.otherAggregators(now, passedOver)
	precedence.Rank = before
	if aggregates {
		precedence.Seniors = others[:min(len(others), seniorCount)]
	} else {
		precedence.Seniors = []Peer{aggregator}
	}
	precedence.Audience = exchanger.audience(now)
	if spare := candidateCount - len(exchanger.groups); spare > 0 {
		exchanger.addMemberCandidates(&precedence, own, aggregator, spare, len(others), passedOver)
	}
	return precedence
}

// otherAggregators returns the aggregators of the other groups that are present, without
// those passed over, and how many of them belong to groups that sort before this node's.
// The mutex is held.
func (exchanger *Exchanger) otherAggregators(now time.Time, passedOver func(vm definer.VM) bool) (before int, others []Peer) {
	for place, group := range exchanger.groups {
		if place == exchanger.ownGroup {
			continue
		}
		other := exchanger.aggregatorOf(now, group)
		if !exchanger.isPresent(now, group) || passedOver(other.VM) {
			continue
		}
		others = append(others, other)
		if place < exchanger.ownGroup {
			before++
		}
	}
	return before, others
}

// audience returns the aggregators of all other groups, or all other nodes where groups
// are few. The mutex is held.
func (exchanger *Exchanger) audience(now time.Time) []Peer {
	var audience []Peer
	if len(exchanger.groups) < candidateCount {
		for _, peer := range exchanger.peers {
			audience = append(audience, peer)
		}
		return audience
	}
	for place, group := range exchanger.groups {
		if place != exchanger.ownGroup {
			audience = append(audience, exchanger.aggregatorOf(now, group))
		}
	}
	return audience
}

// addMemberCandidates makes up to spare members of this node's group eligible, ranked
// behind the aggregators. The mutex is held.
func (exchanger *Exchanger) addMemberCandidates(precedence *Precedence, own group, aggregator Peer, spare, others int, passedOver func(vm definer.VM) bool) {
	members := slices.DeleteFunc(slices.Clone(own), func(node Peer) bool { return node.VM == aggregator.VM })
	members = members[:min(len(members), spare)]
	if precedence.Eligible {
		precedence.Seniors = append(slices.Clone(precedence.Seniors), members...)
		return
	}
	place := slices.IndexFunc(members, func(node Peer) bool { return node.VM == exchanger.self.VM })
	if place < 0 {
		return
	}
	precedence.Eligible = true
	precedence.Rank = others + place
	if !passedOver(aggregator.VM) {
		precedence.Rank++
	}
}
