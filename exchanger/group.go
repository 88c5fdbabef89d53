package exchanger

import (
	"cmp"
	"slices"

	"limpetcleat/definer"
)

// groupSize is the largest number of nodes in a group. An aggregator exchanges reports
// with its members and with the other groups: with 390 nodes in 5 data centres some 15 +
// 24 messages in an interval.
const groupSize = 16

// group is a list of nodes of one data centre, in an order that is the same on all nodes:
// the first one that responds is the aggregator. Nodes with the largest links come first,
// since an aggregator sends the load of each engine in use to all its members and to all
// other groups.
type group []Peer

// formGroups divides the nodes of each data centre into groups and returns the groups and
// the index of the one that holds self.
func formGroups(self definer.VM, nodes []Peer) (groups []group, own int) {
	nodes = slices.Clone(nodes)
	slices.SortFunc(nodes, func(left, right Peer) int {
		return cmp.Or(cmp.Compare(left.DataCentre, right.DataCentre), cmp.Compare(right.Link, left.Link), cmp.Compare(left.VM, right.VM))
	})
	for len(nodes) > 0 {
		count := slices.IndexFunc(nodes, func(node Peer) bool { return node.DataCentre != nodes[0].DataCentre })
		if count < 0 {
			count = len(nodes)
		}
		groups = append(groups, splitDataCentre(nodes[:count])...)
		nodes = nodes[count:]
	}
	own = slices.IndexFunc(groups, func(group group) bool {
		return slices.ContainsFunc(group, func(node Peer) bool { return node.VM == self })
	})
	return groups, own
}

// splitDataCentre distributes the nodes of a data centre in turn over as few groups as
// can hold them.
func splitDataCentre(nodes []Peer) []group {
	groups := make([]group, (len(nodes)+groupSize-1)/groupSize)
	for index, node := range nodes {
		place := index % len(groups)
		groups[place] = append(groups[place], node)
	}
	return groups
}
