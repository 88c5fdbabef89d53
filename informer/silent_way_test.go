package informer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// everyNode plays a fault whose nodes are bound all the same: they hear from peers that the store answers.
func everyNode(begin func(cluster *cluster) []definer.VM) func(cluster *cluster) []definer.VM {
	return func(cluster *cluster) []definer.VM {
		begin(cluster)
		return nil
	}
}

// gapWith makes watches lag and drops the history behind that, and begins another fault after a time.
func gapWith(after time.Duration, begin func(cluster *cluster) []definer.VM) func(cluster *cluster) []definer.VM {
	return func(cluster *cluster) []definer.VM {
		lag(100*time.Millisecond, true, allHeard)(cluster)
		time.AfterFunc(after, func() { begin(cluster) })
		return nil
	}
}

// silentWayFaults returns faults of the ways to the store of some nodes, by name; the ways of others are sound.
func silentWayFaults() map[string]wayFault {
	place := []definer.VM{"2-000", "2-001"}
	half := []definer.VM{"0-001", "0-002", "2-000", "2-001"}
	return map[string]wayFault{
		"data centre silent":               {sizes: []int{4, 2, 2}, begin: everyNode(silence(place...)), lead: time.Second, coarse: true},
		"data centre rejected":             {sizes: []int{4, 2, 2}, begin: everyNode(reject(place...)), lead: time.Second, coarse: true},
		"half silent":                      {sizes: []int{4, 2, 2}, begin: everyNode(silence(half...)), lead: time.Second, coarse: true},
		"half silent at the change":        {sizes: []int{4, 2, 2}, begin: everyNode(silence(half...)), lead: briefly, coarse: true},
		"half rejected":                    {sizes: []int{4, 2, 2}, begin: everyNode(reject(half...)), lead: time.Second, coarse: true},
		"half silent at a gap":             {sizes: []int{4, 2, 2}, begin: gapWith(0, silence(half...)), coarse: true},
		"half silent behind a gap":         {sizes: []int{4, 2, 2}, begin: gapWith(watchLag, silence(half...)), coarse: true},
		"readers of two places silent":     {sizes: []int{3, 3, 2}, begin: everyNode(silence("1-000", "2-000")), lead: briefly, coarse: true},
		"two places silent":                {sizes: []int{2, 2, 2}, begin: everyNode(silence("1-000", "1-001", "2-000", "2-001")), lead: time.Second, coarse: true},
		"66 nodes, two thirds silent":      {sizes: []int{22, 22, 22}, begin: everyNode(outside(0, silence)), lead: time.Second, coarse: true},
		"66 nodes, two thirds rejected":    {sizes: []int{22, 22, 22}, begin: everyNode(outside(0, reject)), lead: time.Second, coarse: true},
		"66 nodes, readers of two silent":  {sizes: []int{22, 22, 22}, begin: everyNode(silence("1-000", "2-000")), lead: briefly, coarse: true},
		"readers silent in a gap":          {sizes: []int{3, 3, 2}, begin: gapWith(0, silence("0-000", "1-000", "2-000")), coarse: true},
		"readers and others silent in one": {sizes: []int{3, 3, 2}, begin: gapWith(0, silence("0-000", "1-000", "1-002", "2-000", "2-001")), coarse: true},
	}
}

// outside plays a fault of the nodes outside a data centre.
func outside(place byte, begin func(vms ...definer.VM) func(cluster *cluster) []definer.VM) func(cluster *cluster) []definer.VM {
	return func(cluster *cluster) []definer.VM {
		inside := func(vm definer.VM) bool { return vm[0] == '0'+place }
		return begin(slices.DeleteFunc(cluster.all(), inside)...)(cluster)
	}
}

// TestConfigurationsReachNodesWithoutAWay guards against nodes that keep an older configuration in force for as long as their
// way to the store is silent, since they ask those for the newer one that have merely heard of it.
func TestConfigurationsReachNodesWithoutAWay(t *testing.T) {
	checkInTime(t, configuration(6), silentWayFaults())
}

// silentInGap makes watches lag, and the ways of nodes silent after a time in that.
func silentInGap(after time.Duration, vms ...definer.VM) func(cluster *cluster) []definer.VM {
	return func(cluster *cluster) []definer.VM {
		cluster.lagWatches(watchLag, allHeard(cluster)...)
		cluster.run(after)
		return silence(vms...)(cluster)
	}
}

// gapAndSilenceFaults returns plays in which all readers fall silent in a gap of the watches, by name. Other nodes take
// over.
func gapAndSilenceFaults() map[string]wayFault {
	faults := make(map[string]wayFault)
	for _, changed := range []time.Duration{300 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, 2 * time.Second} {
		for _, after := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond} {
			for name, shape := range map[string]wayFault{
				"readers":            {sizes: []int{4, 2, 2}, begin: silentInGap(after, "0-000", "1-000", "2-000")},
				"readers and others": {sizes: []int{3, 3, 2}, begin: silentInGap(after, "0-000", "1-000", "1-002", "2-000", "2-001")},
			} {
				shape.changed, shape.lead, shape.coarse = changed, 50*time.Millisecond, true
				faults[fmt.Sprintf("%s silent %v into a gap, changes %v before", name, after, changed)] = shape
			}
		}
	}
	return faults
}

// TestLeavingIsKnownWhenReadersFallSilentInAGap guards against upstreams in use that are listed as leaving, since the nodes
// that take over stop reading before they know what the gap hid.
func TestLeavingIsKnownWhenReadersFallSilentInAGap(t *testing.T) {
	checkInTime(t, leaving(6), gapAndSilenceFaults())
}

// TestRemovalsAreKnownWhenReadersFallSilentInAGap guards against the same after an upstream's entry was removed.
func TestRemovalsAreKnownWhenReadersFallSilentInAGap(t *testing.T) {
	checkInTime(t, removal(6), gapAndSilenceFaults())
}

// TestCopiesWithoutTheConfigurationAge guards against nodes that take their copy for current, and refuse requests by an older
// configuration, though peers have told them of a newer one.
func TestCopiesWithoutTheConfigurationAge(t *testing.T) {
	withCluster(t, 15, []int{4, 2, 2}, func(cluster *cluster) {
		cluster.withholds = true
		silence("0-001", "2-000", "2-001")(cluster)
		cluster.run(time.Second)
		cluster.configure()
		cluster.run(usersBounds().Application + watchLag)
		for vm, node := range cluster.nodes {
			hasVersion := node.informer.version() == cluster.newest()
			assert.Equal(t, node.informer.Healthy(), hasVersion, "%s", vm)
		}
	})
}
