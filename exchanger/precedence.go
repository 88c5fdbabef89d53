package exchanger

import (
	"time"

	"limpetcleat/definer"
)

// seniorCount is how many aggregators are told what must outlast the loss of one.
const seniorCount = 2

// Precedence is a node's place among those that may take on a duty of one node at a time.
type Precedence struct {
	// Aggregates is set for the aggregator of a group; no others take duties on.
	Aggregates bool
	// Rank counts the groups before this node's from which anything is heard.
	Rank int
	// Seniors are the nodes that are told what a holder of duties has to know: its
	// aggregator, or, for an aggregator, those of the first groups.
	Seniors []Peer
	// Aggregators are those of all other groups.
	Aggregators []Peer
	// Listed counts the nodes on the list, this one among them.
	Listed int
}

// Precedence returns this node's place. It follows from the list of nodes and from who
// answers, as each node sees that. Groups whose aggregator is passed over do not count.
func (exchanger *Exchanger) Precedence(now time.Time, passedOver func(vm definer.VM) bool) Precedence {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.expire(now)
	aggregator := exchanger.aggregatorOf(now, exchanger.groups[exchanger.own])
	precedence := Precedence{Aggregates: aggregator.VM == exchanger.self.VM, Listed: len(exchanger.peers) + 1}
	if !precedence.Aggregates {
		precedence.Seniors = []Peer{aggregator}
		return precedence
	}
	for place, group := range exchanger.groups {
		if place == exchanger.own {
			continue
		}
		other := exchanger.aggregatorOf(now, group)
		precedence.Aggregators = append(precedence.Aggregators, other)
		if !exchanger.present(now, group) || passedOver(other.VM) {
			continue
		}
		if place < exchanger.own {
			precedence.Rank++
		}
		if len(precedence.Seniors) < seniorCount {
			precedence.Seniors = append(precedence.Seniors, other)
		}
	}
	return precedence
}
