package versioner

import (
	"cmp"
	"slices"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/ranker"
)

const (
	// bucketSize is the mean number of nodes in a bucket at most. A node reports the origins of its
	// streams to nodes of two buckets only, so that it keeps few connections.
	bucketSize = 16
	// homeCopies is the number of holders in the data centre of the node that begins a stream, where
	// its caller most likely takes it up; it has one more in another data centre.
	homeCopies = 2
	// homeAsks and remoteAsks are the numbers of nodes that are asked in each bucket. Of the first
	// three nodes for a stream one may be the node that began it, which is no holder itself.
	homeAsks   = homeCopies + 1
	remoteAsks = 2
)

// placement derives the holders of streams from the list of nodes. Nodes with the same list derive the
// same holders.
type placement struct {
	self exchanger.Peer
	// buckets are the nodes by data centre and bucket.
	buckets map[definer.DataCentre][][]exchanger.Peer
}

func newPlacement(self exchanger.Peer, nodes []exchanger.Peer) *placement {
	byDataCentre := make(map[definer.DataCentre][]exchanger.Peer)
	for _, node := range nodes {
		byDataCentre[node.DataCentre] = append(byDataCentre[node.DataCentre], node)
	}
	placement := &placement{self: self, buckets: make(map[definer.DataCentre][][]exchanger.Peer, len(byDataCentre))}
	for dataCentre, members := range byDataCentre {
		// A power of two, so that few joining nodes do not change the buckets of all others.
		count := 1
		for len(members) > count*bucketSize {
			count *= 2
		}
		buckets := make([][]exchanger.Peer, count)
		for _, node := range members {
			index := bucketOf(dataCentre, node.VM, count)
			buckets[index] = append(buckets[index], node)
		}
		placement.buckets[dataCentre] = buckets
	}
	return placement
}

// bucketOf returns the index of the bucket of a data centre that a node belongs to, or reports to if it
// is in another data centre.
func bucketOf(dataCentre definer.DataCentre, vm definer.VM, count int) int {
	return int(ranker.Weight(string(dataCentre), string(vm)) % uint64(count))
}

// rank returns the first nodes of a bucket for a stream, without the excluded one.
func rank(bucket []exchanger.Peer, stream definer.StreamIdentity, count int, excluded definer.VM) []exchanger.Peer {
	type ranked struct {
		node   exchanger.Peer
		weight uint64
	}
	order := make([]ranked, 0, len(bucket))
	for _, node := range bucket {
		if node.VM != excluded {
			order = append(order, ranked{node, ranker.Weight(string(stream), string(node.VM))})
		}
	}
	slices.SortFunc(order, func(left, right ranked) int {
		return cmp.Or(cmp.Compare(right.weight, left.weight), cmp.Compare(left.node.VM, right.node.VM))
	})
	nodes := make([]exchanger.Peer, 0, count)
	for _, entry := range order[:min(count, len(order))] {
		nodes = append(nodes, entry.node)
	}
	return nodes
}

// holders returns the nodes to which this node reports the origin of a stream that it begins.
func (placement *placement) holders(stream definer.StreamIdentity) []exchanger.Peer {
	holders := placement.holdersIn(placement.self.DataCentre, stream, homeCopies)
	remote, found := placement.remoteDataCentre()
	if found {
		holders = append(holders, placement.holdersIn(remote, stream, 1)...)
	}
	return holders
}

// holdersIn returns the holders of a stream in a data centre, at most count.
func (placement *placement) holdersIn(dataCentre definer.DataCentre, stream definer.StreamIdentity, count int) []exchanger.Peer {
	buckets := placement.buckets[dataCentre]
	if len(buckets) == 0 {
		return nil
	}
	return rank(buckets[bucketOf(dataCentre, placement.self.VM, len(buckets))], stream, count, placement.self.VM)
}

// remoteDataCentre returns the other data centre in which this node has holders. Nodes are spread evenly
// over the data centres.
func (placement *placement) remoteDataCentre() (dataCentre definer.DataCentre, found bool) {
	var highest uint64
	for other := range placement.buckets {
		weight := ranker.Weight(string(placement.self.VM), string(other))
		if other != placement.self.DataCentre && (!found || weight > highest) {
			dataCentre, highest, found = other, weight, true
		}
	}
	return dataCentre, found
}

// candidates returns all nodes that may hold the origin of a stream that any node began, without this
// one.
func (placement *placement) candidates(stream definer.StreamIdentity) []exchanger.Peer {
	var nodes []exchanger.Peer
	for dataCentre, buckets := range placement.buckets {
		count := remoteAsks
		if dataCentre == placement.self.DataCentre {
			count = homeAsks
		}
		for _, bucket := range buckets {
			for _, node := range rank(bucket, stream, count, "") {
				if node.VM != placement.self.VM {
					nodes = append(nodes, node)
				}
			}
		}
	}
	return nodes
}
