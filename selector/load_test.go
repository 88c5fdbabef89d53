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

// held returns the value of a field of an assignment's basis.
func held(assignment *selector.Assignment, field string) string {
	for _, pair := range strings.Fields(assignment.Basis()) {
		if name, value, _ := strings.Cut(pair, "="); name == field {
			return value
		}
	}
	return ""
}

// answer has an assignment begin and end at the time.
func answer(assignment *selector.Assignment, now time.Time) {
	assignment.Begun(now)
	assignment.End(now, selector.Answered)
}

// TestPaceIsLearned holds that what a prompt is expected to take follows what prompts
// took, whichever way the first figure was wrong, and that a few answers that were
// held up for another reason move it little.
func TestPaceIsLearned(t *testing.T) {
	list := pool(1)
	for _, tokensPerMillisecond := range []int{13, 40, 120} {
		t.Run(fmt.Sprint(tokensPerMillisecond), func(t *testing.T) {
			choice, now := selector.New("west"), start()
			prompt := &selector.Demand{Service: "pool", Kind: "k", Candidates: list, Engine: true, PromptTokens: 12000}
			took := time.Duration(12000/tokensPerMillisecond) * time.Millisecond
			for step := range 120 {
				now = now.Add(5 * time.Second)
				span := took
				if step%10 == 9 {
					span = 20 * took
				}
				answer(choose(t, choice, now, prompt), now.Add(span))
			}
			expected, err := time.ParseDuration(held(choose(t, choice, now.Add(time.Minute), prompt), "expectedMs") + "ms")
			assert.NilError(t, err)
			assert.Assert(t, expected > took*7/10 && expected < took*14/10, "%v of %v", expected, took)
		})
	}
}

// TestHeldPartsAreForgottenAsMemoryFills holds that an engine is believed to hold a
// part for as long as its memory lasts at what requests bring in, and for longer when
// it is larger.
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
			choice, list, now := selector.New("west"), pool(2), start()
			demand := func(subject string) *selector.Demand {
				demand := prompt(list, "k", subject, 6000)
				demand.CacheTokens = test.cacheTokens
				return demand
			}
			answer(choose(t, choice, now, demand("first")), now)
			for step := range 100 {
				now = now.Add(100 * time.Millisecond)
				answer(choose(t, choice, now, demand(fmt.Sprintf("s%d", step))), now)
			}
			assert.Equal(t, held(choose(t, choice, now, demand("first")), "known"), test.known)
		})
	}
}

// TestReadingAgainIsDearWhenOthersWait holds that a subject stays where it was read
// while all engines are behind, although the one that holds it is a little more so:
// reading it again would hold up all who wait. When only that one is behind, it is
// read elsewhere.
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
			choice, list, now := selector.New("west"), pool(4), start()
			first := choose(t, choice, now, prompt(list, "k", "s", 50))
			home := first.Upstream().ID
			answer(first, now)
			for _, upstream := range list {
				for index := range test.behind(upstream.ID, home) {
					only := []*registrar.Upstream{upstream}
					choose(t, choice, now, prompt(only, "k", fmt.Sprintf("%s-%d", upstream.ID, index), 4000))
				}
			}
			assigned := choose(t, choice, now, prompt(list, "k", "s", 50)).Upstream().ID
			assert.Equal(t, assigned == home, test.stays)
		})
	}
}

// TestLateRequestsGoBehindOthers holds that a request that would be late wherever it
// went is put behind all others, that it takes nothing of those after it, and that
// neither happens to rules whose requests may not be deferred.
func TestLateRequestsGoBehindOthers(t *testing.T) {
	choice, list, now := selector.New("west"), pool(2), start()
	demand := func(deferrable bool) *selector.Demand {
		demand := prompt(list, "k", "s", 20_000)
		demand.Objective, demand.Deferrable = time.Second, deferrable
		return demand
	}
	deferred := 0
	for range 40 {
		if choose(t, choice, now, demand(true)).Deferred() {
			deferred++
		}
	}
	// Two engines read some 40 tokens a millisecond each: 4 requests in a second.
	assert.Assert(t, deferred >= 34 && deferred < 40, "%d", deferred)
	urgent := choose(t, choice, now, demand(false))
	assert.Assert(t, !urgent.Deferred())
	// The others are deferred, so it meets little more than a second of work.
	assert.Assert(t, choice.Report(now).Loads[0].Deferred > choice.Report(now).Loads[0].Unread)
}
