package versioner

import (
	"cmp"
	"slices"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/ranker"
)

const (
	// bucketSize is the mean number of nodes in a bucket at most, and bucketHolders the number of them
	// that are holders. A node reports the origins of its streams to holders of two buckets only, and a
	// holder receives those of few nodes: a connection takes some 7 KB to open.
	bucketSize    = 64
	bucketHolders = 8
	// homeCopies is the number of holders in the data centre of the node that begins a stream, where
	// its caller most likely takes it up; it has one more in another data centre.
	homeCopies = 2
	// homeAsks and remoteAsks are the numbers of holders that are asked in each bucket. Of the first
	// three for a stream one may be the node that began it, which does not report to itself.
	homeAsks   = homeCopies + 1
	remoteAsks = 2
)

// placement derives the holders of streams from the list of nodes. Nodes with the same list derive the
// same holders, but for nodes that are lost.
type placement struct {
	self exchanger.Peer
	// lost reports whether messages to an address are not delivered at present.
	lost func(address string) bool
	// buckets are the holders by data centre and bucket.
	buckets map[definer.DataCentre][][]exchanger.Peer
}

func newPlacement(self exchanger.Peer, nodes []exchanger.Peer, lost func(address string) bool) *placement {
	byDataCentre := make(map[definer.DataCentre][]exchanger.Peer)
	for _, node := range nodes {
		byDataCentre[node.DataCentre] = append(byDataCentre[node.DataCentre], node)
	}
	placement := &placement{self: self, lost: lost, buckets: make(map[definer.DataCentre][][]exchanger.Peer, len(byDataCentre))}
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
		for index := range buckets {
			buckets[index] = chooseHolders(dataCentre, buckets[index])
		}
		placement.buckets[dataCentre] = buckets
	}
	return placement
}

// chooseHolders returns the nodes of a bucket that are holders: those with the largest links.
func chooseHolders(dataCentre definer.DataCentre, nodes []exchanger.Peer) []exchanger.Peer {
	slices.SortFunc(nodes, func(left, right exchanger.Peer) int {
		return cmp.Or(cmp.Compare(right.Link, left.Link),
			cmp.Compare(ranker.Weight(string(dataCentre), string(left.VM)), ranker.Weight(string(dataCentre), string(right.VM))),
			cmp.Compare(left.VM, right.VM))
	})
	return nodes[:min(bucketHolders, len(nodes))]
}

// bucketOf returns the index of the bucket of a data centre that a node belongs to, or reports to if it
// is in another data centre.
func bucketOf(dataCentre definer.DataCentre, vm definer.VM, count int) int {
	return int(ranker.Weight(string(dataCentre), string(vm)) % uint64(count))
}

// rank returns the holders of a bucket in their order for a stream, without this node.
func (placement *placement) rank(bucket []exchanger.Peer, stream definer.StreamIdentity) []exchanger.Peer {
	type ranked struct {
		node   exchanger.Peer
		weight uint64
	}
	order := make([]ranked, 0, len(bucket))
	for _, node := range bucket {
		if node.VM != placement.self.VM {
			order = append(order, ranked{node, ranker.Weight(string(stream), string(node.VM))})
		}
	}
	slices.SortFunc(order, func(left, right ranked) int {
		return cmp.Or(cmp.Compare(right.weight, left.weight), cmp.Compare(left.node.VM, right.node.VM))
	})
	nodes := make([]exchanger.Peer, 0, len(order))
	for _, entry := range order {
		nodes = append(nodes, entry.node)
	}
	return nodes
}

// firstRunning returns the first nodes that are not lost, at most count.
func (placement *placement) firstRunning(ranked []exchanger.Peer, count int) []exchanger.Peer {
	running := slices.DeleteFunc(slices.Clone(ranked), func(node exchanger.Peer) bool { return placement.lost(node.Address) })
	return running[:min(count, len(running))]
}

// upToRunning returns the nodes up to the last of the first that are not lost. Those that are lost may be back.
func (placement *placement) upToRunning(ranked []exchanger.Peer, count int) []exchanger.Peer {
	for index, node := range ranked {
		if count == 0 {
			return ranked[:index]
		}
		if !placement.lost(node.Address) {
			count--
		}
	}
	return ranked
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
	ranked := placement.rank(buckets[bucketOf(dataCentre, placement.self.VM, len(buckets))], stream)
	return placement.firstRunning(ranked, count)
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

// candidates returns the nodes, without this one, that may hold the origin of a stream that any node began:
// those of this node's data centre, and those of the others.
func (placement *placement) candidates(stream definer.StreamIdentity) (home, remote []exchanger.Peer) {
	for dataCentre, buckets := range placement.buckets {
		for _, bucket := range buckets {
			if dataCentre == placement.self.DataCentre {
				home = append(home, placement.upToRunning(placement.rank(bucket, stream), homeAsks)...)
			} else {
				remote = append(remote, placement.upToRunning(placement.rank(bucket, stream), remoteAsks)...)
			}
		}
	}
	return home, remote
}
