package selector_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/selector"
)

// refuse has the assignment's upstream reject the request and ask for a backoff; a span of 0
// asks for none.
func refuse(assignment *selector.Assignment, now time.Time, span time.Duration) {
	if span > 0 {
		assignment.RecordBackoff(now, span)
	}
	assignment.End(now, selector.Full)
}

// TestRetryAfterIsKept checks that an upstream which asked for a backoff is sent nothing until
// the backoff ends, even if it alone caches the prompt's shared parts, if all others were tried
// or are in backoff as well, and if a second request in flight is rejected later with a shorter
// backoff.
func TestRetryAfterIsKept(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(2), start()
	home := choose(t, chooser, now, engineDemand(list, "k", "s", 50))
	answer(home, now)
	busy := home.Upstream().ID
	first := choose(t, chooser, now, engineDemand(list, "k", "s", 50))
	second := choose(t, chooser, now, engineDemand(list, "k", "s", 50))
	assert.Equal(t, first.Upstream().ID, busy)
	refuse(first, now, 3*time.Second)
	refuse(second, now.Add(time.Millisecond), time.Second)
	for range 20 {
		now = now.Add(140 * time.Millisecond)
		elsewhere := choose(t, chooser, now, engineDemand(list, "k", "s", 50))
		assert.Assert(t, elsewhere.Upstream().ID != busy)
		answer(elsewhere, now)
	}
	demand := engineDemand(list, "k", "s", 50)
	demand.Tried = map[definer.UpstreamName]bool{"u0": true, "u1": true}
	delete(demand.Tried, busy)
	demand.TimeLeft = 3 * time.Second
	_, err := chooser.Choose(now, demand)
	var failure *selector.Error
	assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.BackingOff, "%v", err)
	var limitation *selector.Limitation
	assert.Assert(t, errors.As(err, &limitation) && limitation.RetryAfter == 200*time.Millisecond, "%v", err)
}

// TestOneRequestTriesAnUpstreamThatBackedOff checks that only one request is sent to an
// upstream after its backoff, and that all others may follow once that request was accepted.
func TestOneRequestTriesAnUpstreamThatBackedOff(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(1), start()
	refuse(choose(t, chooser, now, serviceDemand(list)), now, time.Second)
	now = now.Add(time.Second)
	probe := choose(t, chooser, now, serviceDemand(list))
	_, err := chooser.Choose(now, serviceDemand(list))
	assert.Assert(t, err != nil, "the probe is in flight")
	refuse(probe, now, 0)
	probe = choose(t, chooser, now, serviceDemand(list))
	refuse(probe, now, 2*time.Second)
	_, err = chooser.Choose(now.Add(1900*time.Millisecond), serviceDemand(list))
	assert.Assert(t, err != nil, "it is in backoff again")
	now = now.Add(2 * time.Second)
	probe = choose(t, chooser, now, serviceDemand(list))
	probe.RecordFirstEvent(now)
	for range 5 {
		choose(t, chooser, now, serviceDemand(list))
	}
}

// TestATrialThatWasGivenUpIsFollowedByAnother checks that an upstream does not stay unused when
// the caller of the probing request leaves.
func TestATrialThatWasGivenUpIsFollowedByAnother(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(1), start()
	refuse(choose(t, chooser, now, serviceDemand(list)), now, time.Second)
	now = now.Add(time.Second)
	choose(t, chooser, now, serviceDemand(list)).End(now, selector.Abandoned)
	choose(t, chooser, now, serviceDemand(list))
}

// TestRetryAfterComesBeforeAPermit checks that a request which waited for a permit is not sent
// to an upstream that has asked for a backoff in the meantime.
func TestRetryAfterComesBeforeAPermit(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(1), start()
	chooser.SetLimited(now, list[0].Start(), true)
	waiting, other := choose(t, chooser, now, serviceDemand(list)), choose(t, chooser, now, serviceDemand(list))
	assert.Assert(t, waiting.NeedsPermit() && other.RecordPermit(now))
	refuse(other, now, time.Second)
	assert.Assert(t, !waiting.RecordPermit(now.Add(time.Millisecond)))
	waiting.End(now, selector.Abandoned)
	_, err := chooser.Choose(now.Add(time.Millisecond), serviceDemand(list))
	assert.Assert(t, err != nil)
}

// TestRetryAfterEndsWithTheStart checks that a backoff ends when the upstream restarts.
func TestRetryAfterEndsWithTheStart(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(1), start()
	refuse(choose(t, chooser, now, serviceDemand(list)), now, time.Hour)
	again := *list[0]
	again.Incarnation++
	list[0] = &again
	choose(t, chooser, now, serviceDemand(list))
}

// TestWithheldUpstreamsAreLeftToHigherTiers checks that after a tier was denied a permit,
// neither that tier nor lower ones ask for another one until then, and that higher ones do.
func TestWithheldUpstreamsAreLeftToHigherTiers(t *testing.T) {
	chooser, list, now := selector.New("west"), pool(1), start()
	chooser.SetLimited(now, list[0].Start(), true)
	of := func(tier int, patience time.Duration) *selector.Demand {
		demand := serviceDemand(list)
		demand.Tier, demand.MaxPermitWait = tier, patience
		return demand
	}
	choose(t, chooser, now, of(1, 0)).RecordDenial(now.Add(time.Second))
	for _, tier := range []int{1, 2} {
		_, err := chooser.Choose(now, of(tier, 500*time.Millisecond))
		var failure *selector.Error
		assert.Assert(t, errors.As(err, &failure) && failure.Kind() == selector.Limited, "%v", err)
		assert.Assert(t, choose(t, chooser, now, of(tier, 2*time.Second)).MayWaitForPermit())
	}
	assert.Assert(t, !choose(t, chooser, now, of(0, 0)).MayWaitForPermit())
	chooser.SetLimited(now, list[0].Start(), false)
	assert.Assert(t, !choose(t, chooser, now, of(2, 0)).NeedsPermit())
}
