package exchanger

import (
	"slices"
	"time"

	"limpetcleat/definer"
)

const (
	// seniorCount is how many others are told what must outlast the loss of one.
	seniorCount = 2
	// candidateCount is how many nodes may take a duty on at least, if there are so many:
	// where there are fewer groups, members of them may as well as their aggregators.
	candidateCount = seniorCount + 1
)

// Precedence is a node's place among those that may take on a duty of one node at a time.
type Precedence struct {
	// Eligible is set for those that may: the aggregators of groups and, where these are
	// few, the first of their members.
	Eligible bool
	// Rank counts the nodes that go before this one, if it is eligible.
	Rank int
	// Seniors are the nodes that are told what a holder of duties has to know.
	Seniors []Peer
	// Audience are the nodes that are told what has become of a duty.
	Audience []Peer
	// Listed counts the nodes on the list, this one among them.
	Listed int
}

// Precedence returns this node's place. It follows from the list of nodes and from who
// answers, as each node sees that. Nodes that are passed over do not count.
func (exchanger *Exchanger) Precedence(now time.Time, passedOver func(vm definer.VM) bool) Precedence {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.expire(now)
	own := exchanger.groups[exchanger.own]
	aggregator := exchanger.aggregatorOf(now, own)
	aggregates := aggregator.VM == exchanger.self.VM
	precedence := Precedence{Eligible: aggregates, Listed: len(exchanger.peers) + 1}
	before, others := exchanger.otherAggregators(now, passedOver)
	precedence.Rank = before
	if aggregates {
		precedence.Seniors = others[:min(len(others), seniorCount)]
	} else {
		precedence.Seniors = []Peer{aggregator}
	}
	precedence.Audience = exchanger.audience(now)
	if spare := candidateCount - len(exchanger.groups); spare > 0 {
		exchanger.admitMembers(&precedence, own, aggregator, spare, len(others), passedOver)
	}
	return precedence
}

// otherAggregators returns the aggregators of the other groups from which anything is
// heard, but for those passed over, and how many of these groups stand before this node's;
// mutex is held.
func (exchanger *Exchanger) otherAggregators(now time.Time, passedOver func(vm definer.VM) bool) (before int, others []Peer) {
	for place, group := range exchanger.groups {
		if place == exchanger.own {
			continue
		}
		other := exchanger.aggregatorOf(now, group)
		if !exchanger.present(now, group) || passedOver(other.VM) {
			continue
		}
		others = append(others, other)
		if place < exchanger.own {
			before++
		}
	}
	return before, others
}

// audience returns the aggregators of all other groups, or all nodes where groups are few;
// mutex is held.
func (exchanger *Exchanger) audience(now time.Time) []Peer {
	var audience []Peer
	if len(exchanger.groups) < candidateCount {
		for _, peer := range exchanger.peers {
			audience = append(audience, peer)
		}
		return audience
	}
	for place, group := range exchanger.groups {
		if place != exchanger.own {
			audience = append(audience, exchanger.aggregatorOf(now, group))
		}
	}
	return audience
}

// admitMembers has so many members of this node's group take duties on behind the
// aggregators; mutex is held.
func (exchanger *Exchanger) admitMembers(precedence *Precedence, own group, aggregator Peer, spare, others int, passedOver func(vm definer.VM) bool) {
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
