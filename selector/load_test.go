package selector_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// basisField returns the value of a field of an assignment's basis.
func basisField(assignment *selector.Assignment, field string) string {
	for _, pair := range strings.Fields(assignment.Basis()) {
		if name, value, _ := strings.Cut(pair, "="); name == field {
			return value
		}
	}
	return ""
}

// answer makes an assignment begin and end at the time.
func answer(assignment *selector.Assignment, now time.Time) {
	assignment.RecordFirstEvent(now)
	assignment.End(now, selector.Answered)
}

// TestPaceIsLearned checks that the expected time to the first event converges to the observed
// prefill speed, whether the initial estimate was too high or too low, and that a few answers
// delayed for another reason hardly change it.
func TestPaceIsLearned(t *testing.T) {
	list := pool(1)
	for _, tokensPerMillisecond := range []int{13, 40, 120} {
		t.Run(fmt.Sprint(tokensPerMillisecond), func(t *testing.T) {
			chooser, now := selector.New("west"), start()
			prompt := &selector.Demand{Service: "pool", Rule: "k", Candidates: list, Engine: true, PromptTokens: 12000}
			took := time.Duration(12000/tokensPerMillisecond) * time.Millisecond
			for step := range 120 {
				now = now.Add(5 * time.Second)
				span := took
				if step%10 == 9 {
					span = 20 * took
				}
				answer(choose(t, chooser, now, prompt), now.Add(span))
			}
			expected, err := time.ParseDuration(basisField(choose(t, chooser, now.Add(time.Minute), prompt), "expectedMs") + "ms")
			assert.NilError(t, err)
			assert.Assert(t, expected > took*7/10 && expected < took*14/10, "%v of %v", expected, took)
		})
	}
}

// TestHeldPartsAreForgottenAsMemoryFills checks that a part counts as cached until new prompts
// have filled the engine's KV cache, and so for longer on an engine with a larger cache.
func TestHeldPartsAreForgottenAsMemoryFills(t *testing.T) {
	cases := []struct {
		cacheTokens int
		known       string
	}{
		{cacheTokens: 40_000, known: "false"},
		{cacheTokens: 4_000_000, known: "true"},
		{cacheTokens: 0, known: "true"},
	}
	for _, test := range cases {
		t.Run(fmt.Sprint(test.cacheTokens), func(t *testing.T) {
			chooser, list, now := selector.New("west"), pool(2), start()
			demand := func(subject string) *selector.Demand {
				demand := engineDemand(list, "k", subject, 6000)
				demand.CacheTokens = test.cacheTokens
				return demand
			}
			answer(choose(t, chooser, now, demand("first")), now)
			for step := range 100 {
				now = now.Add(100 * time.Millisecond)
				answer(choose(t, chooser, now, demand(fmt.Sprintf("s%d", step))), now)
			}
			assert.Equal(t, basisField(choose(t, chooser, now, demand("first")), "known"), test.known)
		})
	}
}

// TestReadingAgainIsDearWhenOthersWait checks that a subject stays at the engine that caches it
// while all engines have long queues, even if its queue is a little longer: a second prefill
// would delay all requests that wait. If only that engine has a queue, the subject is prefilled
// elsewhere.
func TestReadingAgainIsDearWhenOthersWait(t *testing.T) {
	cases := []struct {
		name   string
		behind func(upstream definer.UpstreamName, home definer.UpstreamName) int
		stays  bool
	}{
		{"all are behind", func(upstream, home definer.UpstreamName) int {
			if upstream == home {
				return 40
			}
			return 30
		}, true},
		{"one is behind", func(upstream, home definer.UpstreamName) int {
			if upstream == home {
				return 40
			}
			return 0
		}, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			chooser, list, now := selector.New("west"), pool(4), start()
			first := choose(t, chooser, now, engineDemand(list, "k", "s", 50))
			home := first.Upstream().ID
			answer(first, now)
			for _, upstream := range list {
				for index := range test.behind(upstream.ID, home) {
					only := []*registrar.Upstream{upstream}
					choose(t, chooser, now, engineDemand(only, "k", fmt.Sprintf("%s-%d", upstream.ID, index), 4000))
				}
			}
			assigned := choose(t, chooser, now, engineDemand(list, "k", "s", 50)).Upstream().ID
			assert.Equal(t, assigned == home, test.stays)
		})
	}
}

// TestLateRequestsGoBehindOthers checks that a request which would be late at every engine is
// queued behind all others, that it does not delay requests that come later, and that requests
// of rules without deferral are not deferred.
func TestLateRequestsGoBehindOthers(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(2), start()
	demand := func(deferrable bool) *selector.Demand {
		demand := engineDemand(list, "k", "s", 20_000)
		demand.Objective, demand.Deferrable = time.Second, deferrable
		return demand
	}
	deferred := 0
	for range 40 {
		if choose(t, chooser, now, demand(true)).Deferred() {
			deferred++
		}
	}
	// Two engines prefill some 40 tokens per millisecond each: 4 requests in a second.
	assert.Assert(t, deferred >= 34 && deferred < 40, "%d", deferred)
	urgent := choose(t, chooser, now, demand(false))
	assert.Assert(t, !urgent.Deferred())
	// The others are deferred, so little more than a second of work is queued ahead of it.
	assert.Assert(t, chooser.Report(now).Loads[0].Deferred > chooser.Report(now).Loads[0].Unread)
}
