package informer

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/registrar"
)

// outageReturn is an outage of the store for all nodes, beside which an upstream is removed for good and the store executes
// one of its heartbeats late.
type outageReturn struct {
	reachability reachability
	lasts        time.Duration
	// removed is the time from the begin of the outage to the removal, late that from the removal to the execution.
	removed time.Duration
	late    time.Duration
	// lapse is set if the entries of all other upstreams lapse in the outage, and are back within a heartbeat of its end.
	lapse bool
	alone bool
}

// usesUnasked reports whether a node may send requests to an upstream that has not stated that it is healthy.
func (member *member) usesUnasked(id definer.UpstreamName) bool {
	return slices.ContainsFunc(member.informer.Upstreams().Upstreams(pool), func(upstream *registrar.Upstream) bool {
		return upstream.ID == id && !upstream.OnProbation(time.Now())
	})
}

// play returns for how long after the bound a node used the upstream that was removed, unasked. The bound counts from the
// removal and the end of the outage, whichever is later.
func (outageReturn *outageReturn) play(t *testing.T) (late time.Duration) {
	const every, settled = 20 * time.Millisecond, 3*interval + 3*time.Second
	withClusterOf(t, 103, []int{4, 2, 2}, outageReturn.alone, func(cluster *cluster) {
		cluster.execute(heartbeat{sequence: 10})
		cluster.run(5 * time.Second)
		cluster.execute(heartbeat{sequence: 19})
		cluster.run(2 * time.Second)
		beginsAt := time.Now().Add(500 * time.Millisecond)
		endsAt, removedAt := beginsAt.Add(outageReturn.lasts), beginsAt.Add(outageReturn.removed)
		at := func(at time.Time, do func()) { time.AfterFunc(time.Until(at), do) }
		at(beginsAt, func() { cluster.setReachability(outageReturn.reachability, cluster.all()...) })
		at(endsAt, func() { cluster.setReachability(served, cluster.all()...) })
		at(removedAt, func() { cluster.execute(heartbeat{removed: true}) })
		writtenAt := removedAt.Add(outageReturn.late)
		at(writtenAt, func() { cluster.execute(heartbeat{sequence: 20}) })
		at(writtenAt.Add(expiry), func() { cluster.execute(heartbeat{removed: true}) })
		if outageReturn.lapse {
			at(beginsAt.Add(expiry-interval/2), func() {
				cluster.rewriteOthers(func() { time.Sleep(time.Until(endsAt.Add(interval))) })
			})
		}
		bound := usersBounds().Leaving
		boundAt := removedAt.Add(bound)
		if endsAt.Add(bound).After(boundAt) {
			boundAt = endsAt.Add(bound)
		}
		for time.Until(writtenAt.Add(settled)) > 0 || time.Until(endsAt.Add(settled)) > 0 {
			time.Sleep(every)
			for _, node := range cluster.nodes {
				if time.Now().After(boundAt) && node.usesUnasked(lateUpstream) {
					late = max(late, time.Since(boundAt))
				}
				for name := range 20 {
					back := time.Since(endsAt) > bound || !outageReturn.lapse
					assert.Assert(t, !back || node.lists(definer.UpstreamName(fmt.Sprintf("u%02d", name))), "a living upstream is not used")
				}
			}
		}
	})
	return late
}

// outageReturns returns the plays by name.
func outageReturns() map[string]outageReturn {
	plays := make(map[string]outageReturn)
	for _, alone := range []bool{false, true} {
		for _, how := range []reachability{rejected, unreachable} {
			for _, lasts := range []time.Duration{600, 2500, 4500} {
				for name, removed := range map[string]time.Duration{"before its begin": -100, "in it": 300, "after its end": lasts + 200} {
					for _, late := range []time.Duration{300, 1500, 4000, 5800} {
						if alone && late < 4000 {
							continue
						}
						play := outageReturn{reachability: how, lasts: lasts * time.Millisecond, removed: removed * time.Millisecond, late: late * time.Millisecond, lapse: lasts == 4500, alone: alone}
						plays[fmt.Sprintf("%d ms (%d), removed %s, written again after %d ms, alone=%t", lasts, how, name, late, alone)] = play
					}
				}
			}
		}
	}
	return plays
}

// TestOutagesDoNotExcuseReturns guards against requests to an upstream that has left, since its heartbeat that the store
// executes late is taken for the return of an entry that lapsed in an outage.
func TestOutagesDoNotExcuseReturns(t *testing.T) {
	for name, play := range outageReturns() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			assert.Equal(t, play.play(t), time.Duration(0), "an upstream that has left is used")
		})
	}
}
