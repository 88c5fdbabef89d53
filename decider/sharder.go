package decider

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// shardSize is the most upstreams that a shard of a pool has on average.
const shardSize = 64

// shardsOf returns the shards into which a pool's upstreams in a data centre
// are divided; none if the pool has none there.
func shardsOf(pool *definer.Pool, dataCentre definer.DataCentre) []messenger.Shard {
	count := (len(pool.UpstreamsIn(dataCentre)) + shardSize - 1) / shardSize
	shards := make([]messenger.Shard, 0, count)
	for index := range count {
		shards = append(shards, messenger.Shard{DataCentre: dataCentre, Pool: pool.Name(), Index: index})
	}
	return shards
}

// upstreamsOf returns the upstreams of one shard. Rendezvous hashing assigns
// each upstream to exactly one shard, so that few move when the number of
// shards changes.
func upstreamsOf(pool *definer.Pool, shard messenger.Shard) []*definer.Upstream {
	local := pool.UpstreamsIn(shard.DataCentre)
	count := (len(local) + shardSize - 1) / shardSize
	var upstreams []*definer.Upstream
	for _, upstream := range local {
		if shardIndex(upstream.Name(), count) == shard.Index {
			upstreams = append(upstreams, upstream)
		}
	}
	return upstreams
}

func shardIndex(name definer.UpstreamName, count int) int {
	best, highest := 0, uint64(0)
	for index := range count {
		if hash := xxhash.Sum64String(string(name) + "|" + strconv.Itoa(index)); hash > highest {
			best, highest = index, hash
		}
	}
	return best
}
