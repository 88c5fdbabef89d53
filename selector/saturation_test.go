package selector_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// deferrableDemand returns a demand that may be deferred, with an objective of a second, for a
// caller with that much time left.
func deferrableDemand(list []*registrar.Upstream, subject string, left time.Duration) *selector.Demand {
	demand := engineDemand(list, "k", subject, 2000)
	demand.Objective, demand.TimeLeft, demand.Deferrable = time.Second, left, true
	return demand
}

// addLoad sends an engine a request with that many prompt tokens, which does not begin.
func addLoad(t *testing.T, chooser *selector.Selector, upstream *registrar.Upstream, tokens int) {
	t.Helper()
	busy := &selector.Demand{Service: "pool", Rule: "other", Candidates: []*registrar.Upstream{upstream}, Engine: true, PromptTokens: tokens}
	choose(t, chooser, start(), busy)
}

// TestSaturatedRequestsAreRefused checks which requests are refused: those that would be late
// at every engine and wait there for more than a quarter of their time. They are told to retry
// within a third of it.
func TestSaturatedRequestsAreRefused(t *testing.T) {
	cases := []struct {
		name string
		// ahead is what every engine has to prefill first, in milliseconds at the initial
		// speed.
		ahead   int
		left    time.Duration
		demand  func(demand *selector.Demand)
		refused bool
	}{
		{"in time", 500, 10 * time.Second, nil, false},
		{"late, but soon", 2000, 10 * time.Second, nil, false},
		{"late, and after more than a quarter of its time", 3000, 10 * time.Second, nil, true},
		{"a higher tier", 3000, 10 * time.Second, func(demand *selector.Demand) { demand.Deferrable = false }, false},
		{"no objective", 3000, 10 * time.Second, func(demand *selector.Demand) { demand.Objective = 0 }, false},
		{"no bound on its time", 3000, 0, nil, false},
		{"a long prompt at idle engines", 0, 10 * time.Second, func(demand *selector.Demand) { demand.PromptTokens = 400_000 }, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			chooser, list := selector.New("west"), pool(2)
			for _, upstream := range list {
				addLoad(t, chooser, upstream, test.ahead*40)
			}
			demand := deferrableDemand(list, "s", test.left)
			if test.demand != nil {
				test.demand(demand)
			}
			_, err := chooser.Choose(start(), demand)
			var saturation *selector.Saturation
			assert.Equal(t, errors.As(err, &saturation), test.refused, "%v", err)
			if test.refused {
				assert.Assert(t, saturation.RetryAfter >= time.Second && saturation.RetryAfter <= test.left/3, "%v", saturation.RetryAfter)
			}
		})
	}
}

// TestRefusedRequestsAreNoWork checks that refused requests do not count as load: otherwise
// each refusal would raise the expected wait and cause further refusals.
func TestRefusedRequestsAreNoWork(t *testing.T) {
	chooser, list := selector.New("west"), pool(1)
	addLoad(t, chooser, list[0], 400_000)
	for range 50 {
		_, err := chooser.Choose(start(), deferrableDemand(list, "s", 10*time.Second))
		assert.Assert(t, err != nil)
	}
	report := chooser.Report(start())
	assert.Equal(t, len(report.Loads), 1)
	assert.Equal(t, report.Loads[0].InFlight, 1)
	for _, kind := range report.Kinds {
		assert.Equal(t, kind.Requests > 0, kind.Rule == "other", kind.Rule)
	}
}

// TestThoseWhoComeBackAreLate checks that the objective counts from a caller's first attempt: a
// caller with less time left than others of its rule was refused before, so its request is
// queued behind those that can still be on time.
func TestThoseWhoComeBackAreLate(t *testing.T) {
	chooser, list := selector.New("west"), pool(2)
	for _, left := range []time.Duration{9 * time.Second, 10 * time.Second, 8600 * time.Millisecond} {
		assert.Assert(t, !choose(t, chooser, start(), deferrableDemand(list, "s", left)).Deferred(), "%v", left)
	}
	assert.Assert(t, choose(t, chooser, start(), deferrableDemand(list, "s", 7*time.Second)).Deferred())
	assert.Assert(t, !choose(t, chooser, start(), deferrableDemand(list, "s", 9*time.Second)).Deferred())
}

// TestFullSlotsAreAWait checks that a request counts as late if all slots are occupied for
// longer than its objective, and that this time is estimated from the duration of answers.
func TestFullSlotsAreAWait(t *testing.T) {
	for _, lasts := range []time.Duration{100 * time.Millisecond, 20 * time.Second} {
		chooser, list, now := selector.New("west"), pool(1), start()
		short := &selector.Demand{Service: "pool", Rule: "other", Candidates: list, Engine: true, PromptTokens: 10}
		for range 100 {
			assignment := choose(t, chooser, now, short)
			assignment.RecordFirstEvent(now)
			now = now.Add(lasts)
			assignment.End(now, selector.Answered)
		}
		for range list[0].Slots {
			choose(t, chooser, now, short).RecordFirstEvent(now)
		}
		assert.Equal(t, choose(t, chooser, now, deferrableDemand(list, "s", time.Minute)).Deferred(), lasts > time.Second, "%v", lasts)
	}
}

// TestTheHigherTierHasRoomFirst checks that when both sides have more work than engines, the
// side with the higher tier gets more engines than its share of the work, so that its prompts
// are prefilled soon.
func TestTheHigherTierHasRoomFirst(t *testing.T) {
	engines := func(tier, prompts int) int {
		chooser, list, now, side := selector.New("west"), pool(40), start(), ""
		for step := range 1200 {
			now = now.Add(5 * time.Millisecond)
			long := engineDemand(list, "long", "l", 20_000)
			long.Tier = 1
			choose(t, chooser, now, long)
			if step%2 == 0 {
				short := &selector.Demand{Service: "pool", Rule: "short", Tier: tier, Candidates: list, Engine: true, PromptTokens: prompts}
				side = basisField(choose(t, chooser, now, short), "side")
			}
		}
		var boundary int
		_, err := fmt.Sscanf(side, "short>=%d", &boundary)
		assert.NilError(t, err, side)
		return len(list) - boundary
	}
	even, high, low := engines(1, 6000), engines(0, 6000), engines(2, 6000)
	assert.Assert(t, low < even && even < high, "%d, %d and %d", low, even, high)
}
