package decider_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/matcher"
)

// TestListedLeaverGetsNoWorkFromAnyOwner checks that leaving upstreams get no
// work although only the nodes that watch the platform see its list, and the
// owners of the shards may be others.
func TestListedLeaverGetsNoWorkFromAnyOwner(t *testing.T) {
	const pools = 8
	document := smallDocument(1)
	document.Pools, document.Rules = nil, nil
	for index := range pools {
		pool := definer.PoolDocument{Name: fmt.Sprint("p", index), Kind: "engine"}
		for host, name := range []string{"leaving", "staying"} {
			pool.Upstreams = append(pool.Upstreams, definer.UpstreamDocument{Name: fmt.Sprint(name, index), DataCentre: "d0", Address: fmt.Sprintf("10.0.%d.%d:80", index, host), Slots: 4})
		}
		document.Pools = append(document.Pools, pool)
		document.Rules = append(document.Rules, definer.RuleDocument{Name: pool.Name, When: fmt.Sprintf("path == %q", pool.Name), Then: definer.ActionDocument{Class: "desk", Pool: pool.Name}})
	}
	fleet := newFleet(t, 8, 1, 8)
	fleet.bootAll()
	fleet.store(1, document, true)
	fleet.waitApplied(inForceWithin, 1)
	fleet.Advance(5 * time.Second)
	entries := fleet.listed
	for index := range pools {
		fleet.listed = append(fleet.listed, decider.ListedVM{Name: fmt.Sprint("leaving", index), DataCentre: "d0", Address: fmt.Sprintf("10.0.%d.0:80", index), Upstream: true, Leaving: true})
	}
	fleet.notifyWatchers()
	fleet.Advance(3 * time.Second)
	// This still holds ten minutes later, since the list has not changed.
	for round := range 20 {
		clear(fleet.served)
		for index, vm := range entries {
			for pool := range pools {
				id := definer.RequestID(fmt.Sprint(round, "-", index, "-", pool))
				fleet.handle(fleet.nodes[definer.VM(vm.Name)], decider.RequestArrived{Request: id, Properties: matcher.Properties{Path: fmt.Sprint("p", pool)}})
			}
		}
		fleet.Advance(30 * time.Second)
		for pool := range pools {
			assert.Equal(t, fleet.served[definer.UpstreamName(fmt.Sprint("leaving", pool))], 0, "round %d, pool %d", round, pool)
			assert.Equal(t, fleet.served[definer.UpstreamName(fmt.Sprint("staying", pool))], len(entries), "round %d, pool %d", round, pool)
		}
	}
}
