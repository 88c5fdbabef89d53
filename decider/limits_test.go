package decider

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/standin/measurer"
)

// TestLimitOutlivesTheOwnerThatKeepsToIt announces the limit of an upstream to
// a node that does not own its shard: the owner must enforce the limit, and so
// must the next owner after that one is killed.
func TestLimitOutlivesTheOwnerThatKeepsToIt(t *testing.T) {
	const limited, perSecond, window = definer.UpstreamName("dc0-engine0"), 2.0, 4 * time.Second
	cluster := newCluster(t, 1, 1, 3)
	cluster.service = 50 * time.Millisecond
	cluster.run(2 * time.Second)
	owner := cluster.owner("dc0-vm0", "dc0")
	teller := cluster.nodes[cluster.others("dc0", owner)[0]]
	cluster.handle(teller, UpstreamAnnounced{Upstream: limited, SentAt: cluster.now, Limit: definer.LimitTo(perSecond)})
	cluster.run(100 * time.Millisecond)
	from := cluster.now
	cluster.sendRequests("r", "/", cluster.others("dc0", ""), 200, 25*time.Millisecond)
	delete(cluster.nodes, owner)
	cluster.sendRequests("s", "/desk", cluster.others("dc0", ""), 300, 25*time.Millisecond)

	var sends []time.Time
	for _, start := range cluster.starts {
		if start.upstream == limited && start.at.After(from) {
			sends = append(sends, start.at)
		}
	}
	most := measurer.MaxInWindow(sends, window)
	allowed := int(1.5*perSecond*window.Seconds()) + 5
	assert.Assert(t, most <= allowed, "%d sends in %v, want at most %d", most, window, allowed)
	assert.Assert(t, len(sends) >= 12, "%d sends", len(sends))

	lifted := cluster.now
	cluster.run(time.Second)
	cluster.handle(cluster.nodes[cluster.others("dc0", owner)[0]], UpstreamAnnounced{Upstream: limited, SentAt: cluster.now})
	cluster.sendRequests("t", "/", cluster.others("dc0", owner), 100, 25*time.Millisecond)
	count := 0
	for _, start := range cluster.starts {
		if start.upstream == limited && start.at.After(lifted) {
			count++
		}
	}
	assert.Assert(t, count > allowed, "%d sends after the end of the limit: %s", count, fmt.Sprint(cluster.starts[len(cluster.starts)-3:]))
}
