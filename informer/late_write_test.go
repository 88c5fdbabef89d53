package informer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/follower"
	"limpetcleat/registrar"
)

const (
	// lateUpstream is the upstream whose heartbeats the store executes late.
	lateUpstream = "late"
	// interval is the time between two heartbeats, expiry the time without one after which the store removes an
	// entry.
	interval = 1200 * time.Millisecond
	expiry   = 3 * interval
	// earlierStart and laterStart are two starts of the upstream under its name.
	earlierStart = definer.Incarnation(1000)
	laterStart   = definer.Incarnation(2000)
)

// heartbeat is one call of an upstream that the store executes, after a time since the call before.
type heartbeat struct {
	after    time.Duration
	sequence uint64
	leaving  bool
	removed  bool
	start    definer.Incarnation
}

// execute executes a heartbeat, as the store does: an entry that was removed is created again.
func (cluster *cluster) execute(heartbeat heartbeat) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	if heartbeat.removed {
		write(cluster, &cluster.upstreams, lateUpstream, true, registrar.Upstream{})
		return
	}
	created := cluster.revision + 1
	entries, _ := cluster.upstreams.at(time.Now())
	if current, exists := entries[lateUpstream]; exists {
		created = current.entry.CreatedAt
	}
	write(cluster, &cluster.upstreams, lateUpstream, false, registrar.Upstream{
		ID: lateUpstream, Service: pool, Address: lateUpstream, Leaving: heartbeat.leaving, Stopping: heartbeat.leaving,
		Sequence: heartbeat.sequence, Incarnation: heartbeat.start, CreatedAt: created,
	})
}

// lateWrites are heartbeats of which the last is older at the upstream than one before it.
func lateWrites() map[string][]heartbeat {
	const briefly, later = 300 * time.Millisecond, 1800 * time.Millisecond
	stale := func(after time.Duration) heartbeat { return heartbeat{after: after, sequence: 20} }
	return map[string][]heartbeat{
		"draining":               {{sequence: 23, leaving: true}, stale(briefly)},
		"draining, later":        {{sequence: 23, leaving: true}, stale(later)},
		"draining, at once":      {{sequence: 23, leaving: true}, stale(time.Millisecond), {after: interval, sequence: 24, leaving: true}},
		"draining, twice":        {{sequence: 23, leaving: true}, stale(briefly), stale(briefly)},
		"draining, uncounted":    {{leaving: true}, {after: briefly}},
		"removed":                {{removed: true}, stale(briefly)},
		"removed, later":         {{removed: true}, stale(later)},
		"removed, at once":       {{removed: true}, stale(time.Millisecond)},
		"removed, twice late":    {{removed: true}, stale(briefly), stale(5 * time.Second)},
		"removed, hidden beats":  {{removed: true}, {after: briefly, sequence: 26}},
		"removed, uncounted":     {{removed: true}, {after: briefly}},
		"draining, removed":      {{sequence: 23, leaving: true}, {after: 500 * time.Millisecond, removed: true}, stale(time.Second)},
		"starts, draining":       {{sequence: 23, leaving: true, start: earlierStart}, {after: later, sequence: 20, start: earlierStart}},
		"starts, removed":        {{removed: true}, {after: later, sequence: 20, start: earlierStart}},
		"earlier start, removed": {{sequence: 1, start: laterStart}, {after: briefly, removed: true}, {after: later, sequence: 90, start: earlierStart}},
	}
}

// TestLateHeartbeatsDoNotBringUpstreamsBack guards against requests to an upstream that has left, since the store
// executed a heartbeat late that the upstream had written before.
func TestLateHeartbeatsDoNotBringUpstreamsBack(t *testing.T) {
	for name, writes := range lateWrites() {
		for _, alone := range []bool{false, true} {
			for _, fault := range []string{"", "watches cut", "node starts"} {
				if fault == "node starts" && alone {
					continue // Nobody can tell the node what was before.
				}
				t.Run(fmt.Sprintf("%s, alone=%t, %s", name, alone, fault), func(t *testing.T) {
					t.Parallel()
					assert.Equal(t, lateUse(t, writes, alone, fault), time.Duration(0))
				})
			}
		}
	}
}

// lateUse returns for how long after the bound on leaving any node still used the upstream, or used it again.
func lateUse(t *testing.T, writes []heartbeat, alone bool, fault string) (late time.Duration) {
	t.Helper()
	const every = 20 * time.Millisecond
	withClusterOf(t, 21, []int{4, 2, 2}, alone, func(cluster *cluster) {
		start := writes[len(writes)-1].start
		cluster.execute(heartbeat{sequence: 10, start: start})
		cluster.run(5 * time.Second)
		cluster.execute(heartbeat{sequence: 19, start: start})
		cluster.run(2 * time.Second)
		if fault == "watches cut" {
			cluster.failWatches(watchesCut, cluster.all()...)
		}
		var leftAt time.Time
		for index, write := range writes {
			time.Sleep(write.after)
			cluster.execute(write)
			// A list does not show the draining that was overwritten at once, only that of the next heartbeat.
			unseen := fault == "watches cut" && write.leaving && index+1 < len(writes) && writes[index+1].after == time.Millisecond
			if leftAt.IsZero() && !unseen && (write.leaving || write.removed) {
				leftAt = time.Now()
			}
		}
		time.AfterFunc(expiry, func() { cluster.execute(heartbeat{removed: true}) })
		if fault == "node starts" {
			cluster.run(time.Second)
			cluster.kill("0-003")
			cluster.start(cluster.order[3], false)
		}
		for range 7 * time.Second / every {
			time.Sleep(every)
			if since := time.Since(leftAt); since > usersBounds().Leaving && cluster.usedByAny(lateUpstream) {
				late = max(late, since-usersBounds().Leaving)
			}
		}
	})
	return late
}

// usedByAny reports whether a node may send requests to an upstream.
func (cluster *cluster) usedByAny(id definer.UpstreamName) bool {
	for _, node := range cluster.nodes {
		if node.lists(id) {
			return true
		}
	}
	return false
}

// usedByAll reports whether all nodes may send requests to an upstream.
func (cluster *cluster) usedByAll(id definer.UpstreamName) bool {
	for _, node := range cluster.nodes {
		if !node.lists(id) {
			return false
		}
	}
	return true
}

// TestLivingUpstreamsComeBack guards against upstreams that serve nobody since they are falsely taken for gone: the
// store dropped their entries, and they wrote them again.
func TestLivingUpstreamsComeBack(t *testing.T) {
	// The time until nodes would know that the store has removed the last late write, and until they know of a write.
	settled := maxLateness + expiry + 2*usersBounds().Leaving
	for name, back := range map[string]heartbeat{
		"newer heartbeat":  {after: 1500 * time.Millisecond, sequence: 24},
		"the same again":   {after: 1500 * time.Millisecond, sequence: 19},
		"uncounted":        {after: 1500 * time.Millisecond},
		"with its start":   {after: 1500 * time.Millisecond, sequence: 24, start: earlierStart},
		"a later start":    {after: 1500 * time.Millisecond, sequence: 1, start: laterStart},
		"soon":             {after: 10 * time.Millisecond, sequence: 24},
		"after the expiry": {after: 2 * expiry, sequence: 30},
	} {
		for _, alone := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, alone=%t", name, alone), func(t *testing.T) {
				t.Parallel()
				withClusterOf(t, 22, []int{4, 2, 2}, alone, func(cluster *cluster) {
					start := min(back.start, earlierStart)
					cluster.execute(heartbeat{sequence: 19, start: start})
					cluster.run(3 * time.Second)
					cluster.execute(heartbeat{removed: true})
					cluster.run(back.after)
					cluster.execute(back)
					cluster.run(settled)
					assert.Assert(t, cluster.usedByAll(lateUpstream))
				})
			})
		}
	}
}

// TestUpstreamsAreBackAfterAnOutage guards against callers that are refused after an outage of the store, since its
// entries of living upstreams, which it had dropped, are taken for late writes.
func TestUpstreamsAreBackAfterAnOutage(t *testing.T) {
	withCluster(t, 23, []int{4, 2, 2}, func(cluster *cluster) {
		cluster.setReachability(unreachable, cluster.all()...)
		cluster.run(5 * time.Second)
		names := cluster.rewriteUpstreams(func() { cluster.setReachability(served, cluster.all()...); cluster.run(2 * time.Second) })
		cluster.run(2 * time.Second)
		for _, name := range names {
			assert.Assert(t, cluster.usedByAll(name), "%s is not used", name)
		}
	})
}

// TestAServiceThatComesBackIsServed guards against callers that are refused since all upstreams of a service lapsed
// and came back, though nothing tells any of them from a late write.
func TestAServiceThatComesBackIsServed(t *testing.T) {
	withCluster(t, 24, []int{4, 2, 2}, func(cluster *cluster) {
		names := cluster.rewriteUpstreams(func() { cluster.run(time.Second) })
		cluster.run(time.Second)
		for _, name := range names {
			assert.Assert(t, cluster.usedByAll(name), "%s is not used", name)
		}
	})
}

// TestNodesAreListedAgainAfterALateRemoval guards against a node that others never find, since the store executed the
// removal of its earlier process's entry after the process that followed had written it.
func TestNodesAreListedAgainAfterALateRemoval(t *testing.T) {
	withCluster(t, 25, []int{4, 2, 2}, func(cluster *cluster) {
		cluster.withdrawalDelay = 3 * time.Second
		cluster.withdraw("0-003")
		cluster.start(cluster.order[3], false)
		cluster.run(2 * (announceCheck + peerWait))
		cluster.checkPeersListed()
		cluster.takeCosts()
		cluster.run(2 * announceCheck)
		_, reasons := cluster.takeCosts()
		assert.Equal(t, reasons[follower.Announcing], 0.0, "entries that are listed are not written again")
	})
}

// removeUpstreams removes all upstreams and returns their names.
func (cluster *cluster) removeUpstreams() (names []definer.UpstreamName) {
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	entries, _ := cluster.upstreams.at(time.Now())
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		write(cluster, &cluster.upstreams, name, true, registrar.Upstream{})
		names = append(names, definer.UpstreamName(name))
	}
	return names
}

// rewriteUpstreams removes all upstreams, and writes them again after the pause. It returns their names.
func (cluster *cluster) rewriteUpstreams(pause func()) []definer.UpstreamName {
	return cluster.rewrite(func(string) bool { return true }, pause)
}

// rewriteOthers does the same with all upstreams but lateUpstream.
func (cluster *cluster) rewriteOthers(pause func()) {
	cluster.rewrite(func(name string) bool { return name != lateUpstream }, pause)
}

// rewrite removes the upstreams that lapse, and writes them again after the pause. It returns their names.
func (cluster *cluster) rewrite(lapses func(name string) bool, pause func()) (names []definer.UpstreamName) {
	cluster.mutex.Lock()
	entries, _ := cluster.upstreams.at(time.Now())
	maps.DeleteFunc(entries, func(name string, _ change[registrar.Upstream]) bool { return !lapses(name) })
	for _, name := range slices.Sorted(maps.Keys(entries)) {
		write(cluster, &cluster.upstreams, name, true, registrar.Upstream{})
		names = append(names, definer.UpstreamName(name))
	}
	cluster.mutex.Unlock()
	pause()
	cluster.mutex.Lock()
	defer cluster.mutex.Unlock()
	for name, current := range entries {
		current.entry.CreatedAt = cluster.revision + 1
		write(cluster, &cluster.upstreams, name, false, current.entry)
	}
	return names
}
