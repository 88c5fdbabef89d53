package decider

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// candidateShards returns the shards that may serve the request, ordered by
// data centre with the local one first. Among several shards of one data centre
// it orders by the power of two choices: the request's id picks two, and the
// one with the shorter expected wait comes first.
func (requester *requester) candidateShards(request *request) []messenger.Shard {
	dataCentres := slices.Clone(request.pool.DataCentres())
	wait := func(shard messenger.Shard) time.Duration {
		return requester.admitter.ExpectedWait(requester.now, shard, request.class.Name())
	}
	groups := make(map[definer.DataCentre][]messenger.Shard)
	for _, dataCentre := range dataCentres {
		groups[dataCentre] = twoChoices(shardsOf(request.pool, dataCentre), request.id, wait)
	}
	slices.SortStableFunc(dataCentres, func(a, b definer.DataCentre) int {
		return cmp.Or(cmp.Compare(distance(a, requester.dataCentre), distance(b, requester.dataCentre)), cmp.Compare(wait(groups[a][0]), wait(groups[b][0])))
	})
	var ordered []messenger.Shard
	for _, dataCentre := range dataCentres {
		ordered = append(ordered, groups[dataCentre]...)
	}
	return ordered
}

// twoChoices moves the two shards that the request's id picks to the front, the
// one with the shorter expected wait first.
func twoChoices(shards []messenger.Shard, id definer.RequestID, wait func(messenger.Shard) time.Duration) []messenger.Shard {
	if len(shards) < 2 {
		return shards
	}
	hash := xxhash.Sum64String(string(id))
	count := uint64(len(shards))
	first := int(hash % count)
	second := int((hash%count + 1 + (hash>>32)%(count-1)) % count)
	a, b := shards[first], shards[second]
	if wait(b) < wait(a) {
		a, b = b, a
	}
	ordered := []messenger.Shard{a, b}
	for _, shard := range shards {
		if shard != a && shard != b {
			ordered = append(ordered, shard)
		}
	}
	return ordered
}

func distance(dataCentre, local definer.DataCentre) int {
	if dataCentre == local {
		return 0
	}
	return 1
}
