package throttler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/standin/measurer"
)

const (
	// coldWindow, coldFactor and coldSlack define the users' bound on the requests that a cold
	// upstream gets from all nodes together, whether or not these have a fault.
	coldWindow = time.Second
	coldFactor = 1.5
	coldSlack  = 5
	// restartInterval is the interval between two starts of each upstream.
	restartInterval = 4 * time.Second
	// minColdUse is the least part of the rate that cold upstreams get in the calm case, where
	// three times as many requests are made.
	minColdUse = 0.5
)

// restartUpstreams starts those upstreams anew that are due.
func (world *world) restartUpstreams() {
	for _, upstream := range world.upstreams {
		if upstream.warmUp.Span > 0 && world.now.Sub(upstream.startedAt) >= restartInterval {
			upstream.startedAt = world.now
			upstream.start.Incarnation++
		}
	}
}

// newColdWorld returns a fleet whose upstreams have no limits but start anew again and again.
func newColdWorld(seed uint64, nodes int, rates ...float64) *world {
	world := newWorld(seed, nodes, rates...)
	for _, upstream := range world.upstreams {
		upstream.warmUp = definer.WarmUp{Span: 3 * time.Second, PerSecond: upstream.limit}
	}
	for _, node := range world.nodes {
		node.start()
	}
	return world
}

// TestColdUpstreamsAreSpared has fleets of each size ask for three times the rate of upstreams that
// start again and again, under faults: in no second may a cold upstream get more than the users'
// bound, counting nodes with a fault too, and in the calm case it must be put to use.
func TestColdUpstreamsAreSpared(t *testing.T) {
	for _, nodes := range []int{2, 8, 81, 390} {
		for name, fault := range faults() {
			for seed := range uint64(worldSeeds) {
				t.Run(fmt.Sprintf("%d nodes/%s/%d", nodes, name, seed), func(t *testing.T) {
					t.Parallel()
					world := newColdWorld(seed, nodes, 0.5, 13, 40)
					world.run(settlingTime)
					from := world.now
					fault(world)
					for _, upstream := range world.upstreams {
						var sent []time.Time
						for _, send := range upstream.sends {
							sent = append(sent, send.at)
						}
						most := measurer.MaxInWindow(sent, coldWindow)
						allowed := int(coldFactor*upstream.limit*coldWindow.Seconds() + coldSlack)
						assert.Check(t, most <= allowed, "%v: %d in %v; allowed are %d", upstream.limit, most, coldWindow, allowed)
						if name == "calm" && upstream.limit > 1 {
							coldTime := world.now.Sub(from) * 3 / 4
							assert.Check(t, float64(len(sent)) >= minColdUse*upstream.limit*coldTime.Seconds(), "%v: %d in %v", upstream.limit, len(sent), coldTime)
						}
					}
				})
			}
		}
	}
}

// TestColdAskIsChecked checks which statements of a peer's ask make an upstream count as cold.
func TestColdAskIsChecked(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name      string
		perSecond float64
		span      time.Duration
		cold      time.Duration
	}{
		{"cold", 13, 3 * time.Second, 3 * time.Second},
		{"warm", 13, 0, 0},
		{"a span below 0", 13, -time.Second, 0},
		{"beyond the longest span", 13, time.Hour, maxColdSpan},
		{"a rate of 0", 0, time.Second, 0},
		{"a rate below 0", -1, time.Second, 0},
		{"not a number", math.NaN(), time.Second, 0},
		{"infinite", math.Inf(1), time.Second, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			cold := decodeCold(now, &messenger.PermitAsk{ColdPerSecond: test.perSecond, ColdFor: test.span})
			assert.Equal(t, cold.inForce(now), test.cold > 0)
			if test.cold > 0 {
				assert.Equal(t, cold.until.Sub(now), test.cold)
			}
		})
	}
}

// TestLaterColdSpanKeepsTheStricterLimit checks the merge of what two asks state of an upstream.
func TestLaterColdSpanKeepsTheStricterLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	strict := coldSpan{limit: definer.LimitTo(2), until: now.Add(time.Second)}
	long := coldSpan{limit: definer.LimitTo(9), until: now.Add(3 * time.Second)}
	for _, merged := range []coldSpan{strict.later(now, long), long.later(now, strict)} {
		assert.Equal(t, merged, coldSpan{limit: definer.LimitTo(2), until: long.until})
	}
	afterwards := now.Add(2 * time.Second)
	assert.Equal(t, strict.later(afterwards, long), long)
	assert.Equal(t, coldSpan{}.later(now, long), long)
}
