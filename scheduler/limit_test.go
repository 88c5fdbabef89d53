package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/standin/measurer"
)

// TestGrantsKeepToAnUpstreamsLimit holds that an upstream gets no more grants a second than it
// takes, protected ones and those that would pause others among them, and that most of what it
// takes is granted.
func TestGrantsKeepToAnUpstreamsLimit(t *testing.T) {
	const span, step = 40 * time.Second, 10 * time.Millisecond
	for _, perSecond := range []float64{0.5, 3, 20} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			bench := newBench(t, setting{upstreams: 1, slots: 50})
			name := bench.table[0].name
			bench.SetLimit(bench.now, name, definer.LimitTo(perSecond))
			var granted []time.Time
			take := func(decisions []Decision) {
				for _, decision := range decisions {
					if decision.Granted() {
						granted = append(granted, bench.now)
						bench.Release(bench.now, decision.Grant, messenger.Observation{Tokens: 100, Total: time.Second})
					}
				}
			}
			classes := []definer.ClassName{"confirm", "counter", "draft", "proposal", "digest"}
			for count := 0; bench.now.Before(start().Add(span)); count++ {
				bench.now = bench.now.Add(step)
				take(bench.ask(classes[count%len(classes)], nil))
				take(bench.Expire(bench.now))
			}
			most := measurer.Busiest(granted, 4*time.Second)
			assert.Assert(t, float64(most) <= perSecond*4+max(leastBurst, perSecond/4+1)+1, "%d in 4 s", most)
			assert.Assert(t, float64(len(granted)) >= 0.8*perSecond*span.Seconds()-1, "%d granted", len(granted))
		})
	}
}

// TestALimitIsLiftedAndLowered holds that a change counts at once.
func TestALimitIsLiftedAndLowered(t *testing.T) {
	bench := newBench(t, setting{upstreams: 2, slots: 3})
	limited := bench.table[0].name
	bench.SetLimit(bench.now, limited, definer.LimitTo(0))
	for range 3 {
		decisions := bench.ask("draft", nil)
		assert.Equal(t, len(decisions), 1)
		assert.Assert(t, decisions[0].Upstream != limited, "it takes nothing")
	}
	assert.Equal(t, len(bench.ask("draft", nil)), 0)
	decisions := bench.SetLimit(bench.now, limited, definer.RateLimit{})
	assert.Equal(t, len(decisions), 1, "the one that waits is granted as the limit is lifted")
	assert.Equal(t, decisions[0].Upstream, limited)
	assert.Equal(t, len(bench.SetLimit(bench.now, "unknown", definer.LimitTo(1))), 0)
}

// TestRetryAfterIsKeptByAllWork holds that an upstream which asked for a backoff is granted to nobody,
// protected asks and those that would pause others among them, and that one request tries it
// first behind the backoff.
func TestRetryAfterIsKeptByAllWork(t *testing.T) {
	bench := newBench(t, setting{upstreams: 1, slots: 3})
	running := bench.fill(t, "proposal", 2)
	turnedAway := bench.fill(t, "draft", 1)[0]
	bench.Release(bench.now, turnedAway, messenger.Observation{Failed: true, Backoff: 3 * time.Second})
	assert.Equal(t, len(bench.ask("confirm", nil)), 0)
	assert.Equal(t, len(bench.ask("confirm", nil)), 0)
	bench.now = bench.now.Add(2900 * time.Millisecond)
	assert.Equal(t, len(bench.Expire(bench.now)), 0)
	bench.now = bench.now.Add(100 * time.Millisecond)
	trial := bench.Expire(bench.now)
	assert.Equal(t, len(trial), 1, "one of the two")
	bench.now = bench.now.Add(time.Millisecond)
	assert.Equal(t, len(bench.Release(bench.now, trial[0].Grant, messenger.Observation{Failed: true, Backoff: time.Second})), 0)
	bench.now = bench.now.Add(time.Second)
	trial = bench.Expire(bench.now)
	assert.Equal(t, len(trial), 1)
	bench.Release(bench.now, running[0], messenger.Observation{Tokens: 100, Total: time.Second})
	bench.now = bench.now.Add(trialFor)
	bench.ask("confirm", nil)
	assert.Equal(t, bench.Waiting(), 0, "the trial was taken")
}
