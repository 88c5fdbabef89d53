package selector_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/selector"
)

// refuse has the assignment's upstream turn the request away and ask for a backoff; 0 asks for none.
func refuse(assignment *selector.Assignment, now time.Time, span time.Duration) {
	if span > 0 {
		assignment.BackOff(now, span)
	}
	assignment.End(now, selector.Full)
}

// TestRetryAfterIsKept holds that an upstream which asked for a backoff is sent nothing until it is over,
// also when it alone holds what a prompt shares, when all others were tried or back off as well, and
// when the requests were under way as the first was turned away.
func TestRetryAfterIsKept(t *testing.T) {
	choice, list, now := selector.New("west"), pool(2), start()
	home := choose(t, choice, now, prompt(list, "k", "s", 50))
	answer(home, now)
	busy := home.Upstream().ID
	first := choose(t, choice, now, prompt(list, "k", "s", 50))
	second := choose(t, choice, now, prompt(list, "k", "s", 50))
	assert.Equal(t, first.Upstream().ID, busy)
	refuse(first, now, 3*time.Second)
	refuse(second, now.Add(time.Millisecond), time.Second)
	for range 20 {
		now = now.Add(140 * time.Millisecond)
		elsewhere := choose(t, choice, now, prompt(list, "k", "s", 50))
		assert.Assert(t, elsewhere.Upstream().ID != busy)
		answer(elsewhere, now)
	}
	demand := prompt(list, "k", "s", 50)
	demand.Tried = map[definer.UpstreamName]bool{"u0": true, "u1": true}
	delete(demand.Tried, busy)
	demand.TimeLeft = 3 * time.Second
	_, err := choice.Choose(now, demand)
	var failure *selector.Error
	assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.BackingOff, "%v", err)
	var limitation *selector.Limitation
	assert.Assert(t, errors.As(err, &limitation) && limitation.Pause == 200*time.Millisecond, "%v", err)
}

// TestOneRequestTriesAnUpstreamThatBackedOff holds that not all go there at once, and that all
// may once one was taken.
func TestOneRequestTriesAnUpstreamThatBackedOff(t *testing.T) {
	choice, list, now := selector.New("west"), pool(1), start()
	refuse(choose(t, choice, now, plain(list)), now, time.Second)
	now = now.Add(time.Second)
	trial := choose(t, choice, now, plain(list))
	_, err := choice.Choose(now, plain(list))
	assert.Assert(t, err != nil, "the trial is under way")
	refuse(trial, now, 0)
	trial = choose(t, choice, now, plain(list))
	refuse(trial, now, 2*time.Second)
	_, err = choice.Choose(now.Add(1900*time.Millisecond), plain(list))
	assert.Assert(t, err != nil, "it backsOff again")
	now = now.Add(2 * time.Second)
	trial = choose(t, choice, now, plain(list))
	trial.Begun(now)
	for range 5 {
		choose(t, choice, now, plain(list))
	}
}

// TestATrialThatWasGivenUpIsFollowedByAnother holds that a caller who leaves does not keep an
// upstream out of use.
func TestATrialThatWasGivenUpIsFollowedByAnother(t *testing.T) {
	choice, list, now := selector.New("west"), pool(1), start()
	refuse(choose(t, choice, now, plain(list)), now, time.Second)
	now = now.Add(time.Second)
	choose(t, choice, now, plain(list)).End(now, selector.Abandoned)
	choose(t, choice, now, plain(list))
}

// TestRetryAfterComesBeforeAPermit holds that a request which waited for a permit is not sent to an
// upstream that has asked for a backoff meanwhile.
func TestRetryAfterComesBeforeAPermit(t *testing.T) {
	choice, list, now := selector.New("west"), pool(1), start()
	choice.Limit(now, list[0].Start(), true)
	waiting, other := choose(t, choice, now, plain(list)), choose(t, choice, now, plain(list))
	assert.Assert(t, waiting.NeedsPermit() && other.Granted(now))
	refuse(other, now, time.Second)
	assert.Assert(t, !waiting.Granted(now.Add(time.Millisecond)))
	waiting.End(now, selector.Abandoned)
	_, err := choice.Choose(now.Add(time.Millisecond), plain(list))
	assert.Assert(t, err != nil)
}

// TestRetryAfterEndsWithTheStart holds that an upstream which has started again asked for nothing.
func TestRetryAfterEndsWithTheStart(t *testing.T) {
	choice, list, now := selector.New("west"), pool(1), start()
	refuse(choose(t, choice, now, plain(list)), now, time.Hour)
	again := *list[0]
	again.Incarnation++
	list[0] = &again
	choose(t, choice, now, plain(list))
}

// TestWithheldUpstreamsAreLeftToHigherTiers holds that a permit which a tier did not get is not
// asked for again by it or by lower ones, and by higher ones is.
func TestWithheldUpstreamsAreLeftToHigherTiers(t *testing.T) {
	choice, list, now := selector.New("west"), pool(1), start()
	choice.Limit(now, list[0].Start(), true)
	of := func(tier int, patience time.Duration) *selector.Demand {
		demand := plain(list)
		demand.Tier, demand.Patience = tier, patience
		return demand
	}
	choose(t, choice, now, of(1, 0)).Withheld(now.Add(time.Second))
	for _, tier := range []int{1, 2} {
		_, err := choice.Choose(now, of(tier, 500*time.Millisecond))
		var failure *selector.Error
		assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.Limited, "%v", err)
		assert.Assert(t, choose(t, choice, now, of(tier, 2*time.Second)).Waits())
	}
	assert.Assert(t, !choose(t, choice, now, of(0, 0)).Waits())
	choice.Limit(now, list[0].Start(), false)
	assert.Assert(t, !choose(t, choice, now, of(2, 0)).NeedsPermit())
}
