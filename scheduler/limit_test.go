package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/standin/measurer"
)

// TestGrantsKeepToAnUpstreamsLimit checks that an upstream gets no more grants per second than
// its rate limit allows, protected and preempting ones included, and that most of the rate is
// used.
func TestGrantsKeepToAnUpstreamsLimit(t *testing.T) {
	const span, step = 40 * time.Second, 10 * time.Millisecond
	for _, perSecond := range []float64{0.5, 3, 20} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			harness := newHarness(t, poolSetting{upstreams: 1, slots: 50})
			name := harness.upstreams[0].name
			harness.SetRateLimit(harness.now, name, definer.LimitTo(perSecond))
			var granted []time.Time
			take := func(decisions []Decision) {
				for _, decision := range decisions {
					if decision.Granted() {
						granted = append(granted, harness.now)
						harness.Release(harness.now, decision.Grant, messenger.Observation{Tokens: 100, Total: time.Second})
					}
				}
			}
			classes := []definer.ClassName{"confirm", "counter", "draft", "proposal", "digest"}
			for count := 0; harness.now.Before(start().Add(span)); count++ {
				harness.now = harness.now.Add(step)
				take(harness.ask(classes[count%len(classes)], nil))
				take(harness.Expire(harness.now))
			}
			most := measurer.MaxInWindow(granted, 4*time.Second)
			assert.Assert(t, float64(most) <= perSecond*4+max(minBurst, perSecond/4+1)+1, "%d in 4 s", most)
			assert.Assert(t, float64(len(granted)) >= 0.8*perSecond*span.Seconds()-1, "%d granted", len(granted))
		})
	}
}

// limitedCallers are callers of upstreams whose rate limits are below the demand. Each sends its
// next request pause after its last one has ended.
type limitedCallers struct {
	*harness
	pause, busy time.Duration
	// due holds when each idle caller sends its next request, in order; ends holds when each
	// running request ends, in order.
	due  []time.Time
	ends []grantEnd
	// refused counts the refusals by reason.
	refused map[messenger.RefusalReason]int
}

// grantEnd is when the request of a grant ends.
type grantEnd struct {
	grant definer.GrantID
	at    time.Time
}

func (limitedCallers *limitedCallers) record(decisions []Decision) {
	for _, decision := range decisions {
		if decision.Granted() {
			limitedCallers.ends = append(limitedCallers.ends, grantEnd{decision.Grant, limitedCallers.now.Add(limitedCallers.busy)})
			continue
		}
		limitedCallers.refused[decision.Reason]++
		limitedCallers.due = append(limitedCallers.due, limitedCallers.now.Add(limitedCallers.pause))
	}
}

// step ends the requests and sends the new ones that are due.
func (limitedCallers *limitedCallers) step() {
	for len(limitedCallers.ends) > 0 && !limitedCallers.now.Before(limitedCallers.ends[0].at) {
		grant := limitedCallers.ends[0].grant
		limitedCallers.ends = limitedCallers.ends[1:]
		limitedCallers.due = append(limitedCallers.due, limitedCallers.now.Add(limitedCallers.pause))
		limitedCallers.record(limitedCallers.Release(limitedCallers.now, grant, messenger.Observation{Tokens: 100, Total: limitedCallers.busy}))
	}
	for len(limitedCallers.due) > 0 && !limitedCallers.now.Before(limitedCallers.due[0]) {
		limitedCallers.due = limitedCallers.due[1:]
		limitedCallers.record(limitedCallers.ask("call", nil))
	}
}

// TestAsksThatWaitForAPermitAreNotShed checks that asks are refused only at their longest wait
// while slots are free and they wait for rate limits alone. It guards against an expected wait for
// slots by which they are refused as overload, or shed where there is no higher class.
func TestAsksThatWaitForAPermitAreNotShed(t *testing.T) {
	const span, step, longestWaitMs = 60 * time.Second, 10 * time.Millisecond, 300
	for _, test := range []struct {
		callers int
		busy    time.Duration
	}{{8, 10 * time.Millisecond}, {8, 200 * time.Millisecond}, {64, 10 * time.Millisecond}, {64, 200 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%d callers, %v", test.callers, test.busy), func(t *testing.T) {
			harness := newHarness(t, poolSetting{upstreams: 3, slots: 8, classes: []definer.ClassDocument{
				{Name: "call", TotalMs: longestWaitMs, Attainment: 0.9, LongestWaitMs: longestWaitMs},
			}})
			for index, perSecond := range []float64{0.5, 3, 8} {
				harness.SetRateLimit(harness.now, harness.upstreams[index].name, definer.LimitTo(perSecond))
			}
			limitedCallers := &limitedCallers{
				harness: harness, pause: 100 * time.Millisecond, busy: test.busy,
				due: slices.Repeat([]time.Time{harness.now}, test.callers), refused: make(map[messenger.RefusalReason]int),
			}
			for count := 0; harness.now.Before(start().Add(span)); count++ {
				harness.now = harness.now.Add(step)
				limitedCallers.step()
				if count%10 == 0 {
					limitedCallers.record(harness.Expire(harness.now))
				}
			}
			assert.Assert(t, limitedCallers.refused[messenger.WaitExceeded] > 0, "%v", limitedCallers.refused)
			assert.Check(t, len(limitedCallers.refused) == 1, "%v", limitedCallers.refused)
		})
	}
}

// TestALimitIsLiftedAndLowered checks that a change of a rate limit takes effect at once.
func TestALimitIsLiftedAndLowered(t *testing.T) {
	harness := newHarness(t, poolSetting{upstreams: 2, slots: 3})
	limited := harness.upstreams[0].name
	harness.SetRateLimit(harness.now, limited, definer.LimitTo(0))
	for range 3 {
		decisions := harness.ask("draft", nil)
		assert.Equal(t, len(decisions), 1)
		assert.Assert(t, decisions[0].Upstream != limited, "granted a slot of an upstream whose rate limit is 0")
	}
	assert.Equal(t, len(harness.ask("draft", nil)), 0)
	decisions := harness.SetRateLimit(harness.now, limited, definer.RateLimit{})
	assert.Equal(t, len(decisions), 1, "the waiting ask is granted when the limit is removed")
	assert.Equal(t, decisions[0].Upstream, limited)
	assert.Equal(t, len(harness.SetRateLimit(harness.now, "unknown", definer.LimitTo(1))), 0)
}

// TestRetryAfterIsKeptByAllWork checks that no ask is granted a slot of an upstream that asked
// for a backoff, protected and preempting asks included, and that after the backoff one
// trial request goes first.
func TestRetryAfterIsKeptByAllWork(t *testing.T) {
	harness := newHarness(t, poolSetting{upstreams: 1, slots: 3})
	running := harness.fill(t, "proposal", 2)
	turnedAway := harness.fill(t, "draft", 1)[0]
	harness.Release(harness.now, turnedAway, messenger.Observation{Failed: true, Backoff: 3 * time.Second})
	assert.Equal(t, len(harness.ask("confirm", nil)), 0)
	assert.Equal(t, len(harness.ask("confirm", nil)), 0)
	harness.now = harness.now.Add(2900 * time.Millisecond)
	assert.Equal(t, len(harness.Expire(harness.now)), 0)
	harness.now = harness.now.Add(100 * time.Millisecond)
	trial := harness.Expire(harness.now)
	assert.Equal(t, len(trial), 1, "one trial for two waiting asks")
	harness.now = harness.now.Add(time.Millisecond)
	assert.Equal(t, len(harness.Release(harness.now, trial[0].Grant, messenger.Observation{Failed: true, Backoff: time.Second})), 0)
	harness.now = harness.now.Add(time.Second)
	trial = harness.Expire(harness.now)
	assert.Equal(t, len(trial), 1)
	harness.Release(harness.now, running[0], messenger.Observation{Tokens: 100, Total: time.Second})
	harness.now = harness.now.Add(trialTimeout)
	harness.ask("confirm", nil)
	assert.Equal(t, harness.Waiting(), 0, "the upstream accepted the trial")
}
