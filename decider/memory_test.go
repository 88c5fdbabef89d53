package decider

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestLimitsGoWithTheirUpstream checks that an upstream that is removed and
// added again starts with a new adapted limit.
func TestLimitsGoWithTheirUpstream(t *testing.T) {
	cluster := newCluster(t, 1, 1, 1)
	cluster.run(2 * time.Second)
	owner := cluster.ownerOf("dc0-vm0")
	shard := messenger.Shard{DataCentre: "dc0", Pool: "models"}
	adapted := owner.shards[shard].limiter
	document := clusterDocument(1)
	all := document.Pools[0].Upstreams
	configure := func(upstreams []definer.UpstreamDocument) {
		document.Pools[0].Upstreams = upstreams
		configuration, err := definer.Build(2, document)
		assert.NilError(t, err)
		owner.core.configuration = configuration
		owner.updateShards()
	}
	pool, _ := owner.configuration.Pool("models")
	first, second := pool.Upstreams()[0], pool.Upstreams()[1]
	for _, upstream := range pool.Upstreams() {
		adapted.Observe(owner.now, upstream, owner.configuration.Classes()[0], messenger.Observation{Failed: true})
		assert.Equal(t, adapted.Limit(upstream), 1)
	}
	configure(all[1:])
	configure(all)
	assert.Equal(t, adapted.Limit(first), slots, "the limit of an upstream that was removed starts again")
	assert.Equal(t, adapted.Limit(second), 1, "the limit of an upstream that stayed is kept")
}

// TestHintsGoWithTheirOwner checks that only the owner's expected wait is used,
// and only until another member owns the shard.
func TestHintsGoWithTheirOwner(t *testing.T) {
	cluster := newCluster(t, 1, 1, 3)
	cluster.run(2 * time.Second)
	owner := cluster.owner("dc0-vm0", "dc0")
	others := cluster.others("dc0", owner)
	requester := cluster.requesterOf(others[0])
	shard := messenger.Shard{DataCentre: "dc0", Pool: "models"}
	class, _ := requester.configuration.Class("batch")
	heard := requester.now
	hear := func(from definer.VM, wait time.Duration) time.Duration {
		requester.requests["r"] = &request{id: "r", class: class}
		defer delete(requester.requests, "r")
		requester.recordExpectedWait(requester.roster.members[from].Member, &messenger.GrantAnswer{Shard: shard, Request: "r", ExpectedWait: wait})
		return requester.admitter.ExpectedWait(heard, shard, class.Name())
	}
	assert.Equal(t, hear(owner, time.Minute), time.Minute)
	assert.Equal(t, hear(others[1], 0), time.Minute, "only the owner knows the queue")
	delete(cluster.nodes, owner)
	cluster.run(10 * time.Second)
	assert.Assert(t, cluster.owner(others[0], "dc0") != owner)
	assert.Equal(t, requester.admitter.ExpectedWait(heard, shard, class.Name()), time.Duration(0))
	assert.Equal(t, len(requester.hintTenures), 0)
}

// requesterOf returns the requester component of a node.
func (cluster *cluster) requesterOf(vm definer.VM) *requester {
	for _, component := range cluster.nodes[vm].decider.components {
		if requester, ok := component.(*requester); ok {
			return requester
		}
	}
	return nil
}
