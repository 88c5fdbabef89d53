package exchanger

import (
	"cmp"
	"slices"

	"limpetcleat/definer"
)

// groupSize is about how many nodes of a data centre make a group. Its
// aggregator exchanges with its members and with the other groups: at 390
// nodes in 5 data centres some 15 + 24 messages an interval.
const groupSize = 16

// group is some nodes, in an order that all nodes find alike: the first one that
// answers is its aggregator. Those with the largest links come first: an aggregator sends
// the load of each engine in use to all its members and to all other groups.
type group []Peer

// arrange sorts all nodes into groups and returns them with the place of the
// node's own.
func arrange(self definer.VM, nodes []Peer) (groups []group, own int) {
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, func(left, right Peer) int {
		return cmp.Or(cmp.Compare(left.DataCentre, right.DataCentre), cmp.Compare(right.Link, left.Link), cmp.Compare(left.VM, right.VM))
	})
	for len(nodes) > 0 {
		count := slices.IndexFunc(nodes, func(node Peer) bool { return node.DataCentre != nodes[0].DataCentre })
		if count < 0 {
			count = len(nodes)
		}
		groups = append(groups, split(nodes[:count])...)
		nodes = nodes[count:]
	}
	own = slices.IndexFunc(groups, func(group group) bool {
		return slices.ContainsFunc(group, func(node Peer) bool { return node.VM == self })
	})
	return groups, own
}

// split deals the nodes of a data centre out to as few groups as have room.
func split(nodes []Peer) []group {
	groups := make([]group, (len(nodes)+groupSize-1)/groupSize)
	for index, node := range nodes {
		place := index % len(groups)
		groups[place] = append(groups[place], node)
	}
	return groups
}
