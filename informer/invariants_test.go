package informer

import (
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// checkInvariants checks what holds for every node at every moment: its version never
// decreases, and is never confirmed as the newest for a time after it was replaced. A copy does not count as current for a
// time before which the watches have shown a newer version.
func (cluster *cluster) checkInvariants() {
	cluster.mutex.Lock()
	nodes := maps.Clone(cluster.nodes)
	written := slices.Clone(cluster.configurations.changes)
	cluster.mutex.Unlock()
	for vm, node := range nodes {
		// The time is read before the version: a version applied in between is newer.
		confirmed, current, version := node.informer.Confirmed(), node.informer.CopyCurrent(), node.informer.version()
		assert.Assert(cluster.t, version >= node.version, "%s returned from version %d to %d", vm, node.version, version)
		node.version = version
		if next := int(version); version > 0 && next < len(written) {
			replaced := written[next].at
			assert.Assert(cluster.t, !confirmed.After(replaced), "%s confirmed version %d as the newest %v after it was replaced", vm, version, confirmed.Sub(replaced))
			assert.Assert(cluster.t, !current.After(replaced.Add(watchLag+storeDelay)), "the copy of %s with version %d was current %v after that was replaced", vm, version, current.Sub(replaced))
		}
	}
}

// checkUpToDate checks that nodes which no fault has affected for the given time apply
// all changes older than that time, and that the confirmation of their configuration is
// recent.
func (cluster *cluster) checkUpToDate(within time.Duration) {
	cluster.t.Helper()
	now := time.Now()
	cluster.mutex.Lock()
	nodes := maps.Clone(cluster.nodes)
	configurations, _ := cluster.configurations.at(now.Add(-within))
	upstreams, _ := cluster.upstreams.at(now.Add(-within))
	current, _ := cluster.upstreams.at(now)
	evacuated, _ := cluster.evacuations.at(now.Add(-within))
	evacuatedNow, _ := cluster.evacuations.at(now)
	cluster.mutex.Unlock()
	for vm, node := range nodes {
		if now.Sub(node.calmSince) < within {
			continue
		}
		assert.Assert(cluster.t, node.informer.version() >= configurations["main"].entry, "%s has version %d, not %d", vm, node.informer.version(), configurations["main"].entry)
		age := now.Sub(node.informer.Confirmed())
		assert.Assert(cluster.t, age < maxConfirmedAge, "%s was last confirmed %v ago", vm, age)
		listed := make(map[string]bool)
		for _, upstream := range slices.Concat(node.informer.Upstreams().Upstreams(pool), node.informer.Upstreams().OnProbation(pool)) {
			listed[string(upstream.ID)] = true
		}
		for name, change := range upstreams {
			if current[name].revision == change.revision {
				assert.Assert(cluster.t, listed[name] != change.entry.Leaving, "%s and upstream %s: listed %t, leaving %t", vm, name, listed[name], change.entry.Leaving)
			}
		}
		node.checkEvacuations(cluster.t, vm, evacuated, evacuatedNow)
		for name := range listed {
			_, was := upstreams[name]
			_, is := current[name]
			assert.Assert(cluster.t, was || is, "%s lists upstream %s, which was removed", vm, name)
		}
	}
}

// checkEvacuations checks that the node applies the evacuations that have been in force since the
// earlier time, and none that were in force at neither time.
func (member *member) checkEvacuations(t *testing.T, vm definer.VM, earlier, current map[string]change[definer.DataCentre]) {
	t.Helper()
	applied := make(map[string]bool)
	for _, evacuation := range member.confiner.Evacuations() {
		name := string(evacuation.DataCentre)
		applied[name] = true
		_, was := earlier[name]
		_, is := current[name]
		assert.Assert(t, was || is, "%s applies the evacuation of %s, which was withdrawn", vm, name)
	}
	for name, change := range earlier {
		if current[name].revision == change.revision {
			assert.Assert(t, applied[name], "%s does not apply the evacuation of %s", vm, name)
		}
	}
}

// checkPeersListed checks that every node lists all other running nodes.
func (cluster *cluster) checkPeersListed() {
	cluster.t.Helper()
	for vm, node := range cluster.nodes {
		assert.Assert(cluster.t, node.informer.CountPeers() >= len(cluster.nodes)-1, "%s lists %d of %d others", vm, node.informer.CountPeers(), len(cluster.nodes)-1)
	}
}
