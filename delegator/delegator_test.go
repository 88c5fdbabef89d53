package delegator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/delegator"
)

// TestAsks checks which nodes read the store: the leader of a data centre always does,
// others only once no node before them appears to be able to.
func TestAsks(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	never := time.Time{}
	cases := []struct {
		name      string
		situation delegator.Situation
		first     bool
		// until is the last time at which the node does not read the store, in seconds;
		// negative if it reads at once.
		until float64
	}{
		{"the leader", delegator.Situation{Leads: true, Aggregates: true, HearsPeers: true, Confirmed: at(0)}, false, -1},
		{"the leader of nobody", delegator.Situation{Leads: true}, false, -1},
		{"an aggregator", delegator.Situation{Aggregates: true, Rank: 1, HearsPeers: true, Confirmed: at(0)}, false, 2.7},
		{"the next one", delegator.Situation{Aggregates: true, Rank: 3, HearsPeers: true, Confirmed: at(0)}, false, 3.0},
		{"a member", delegator.Situation{HearsPeers: true, Confirmed: at(0)}, false, 8.9},
		{"a member that hears from nobody", delegator.Situation{Confirmed: at(0)}, false, 2.9},
		{"a start among others that know nothing", delegator.Situation{HearsPeers: true, Confirmed: never}, false, 8.9},
		{"a start alone", delegator.Situation{Confirmed: never}, false, 0.4},
		{"the first start", delegator.Situation{Confirmed: never}, true, 1.9},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decider := delegator.New(start, delegator.Bounds{Revocation: 5 * time.Second}, 0.5, test.first)
			if test.until >= 0 {
				assert.Assert(t, !decider.MustReadStore(at(test.until), test.situation))
			}
			assert.Assert(t, decider.MustReadStore(at(test.until+0.2), test.situation) || test.until < 0 && decider.MustReadStore(start, test.situation))
		})
	}
}

// TestAsksUntilPeersDo checks that a node which reads the store because no other did
// continues until a peer's confirmation is fresh, and does not mistake its own for one.
func TestAsksUntilPeersDo(t *testing.T) {
	start := time.Unix(1000, 0)
	decider := delegator.New(start, delegator.Bounds{Revocation: 5 * time.Second}, 0, false)
	situation := delegator.Situation{Aggregates: true, Rank: 1, HearsPeers: true, Confirmed: start}
	now := start.Add(3 * time.Second)
	assert.Assert(t, decider.MustReadStore(now, situation))
	situation.Confirmed = now
	assert.Assert(t, decider.MustReadStore(now, situation), "only its own confirmation is fresh")
	situation.ConfirmedByPeers = now.Add(-time.Second)
	assert.Assert(t, !decider.MustReadStore(now, situation), "a peer's confirmation is fresh")
}

// TestPauses checks that the nodes that have to notice the store's return retry failed
// calls soon.
func TestPauses(t *testing.T) {
	leader := delegator.MaxRetryDelay(delegator.Situation{Leads: true, HearsPeers: true})
	alone := delegator.MaxRetryDelay(delegator.Situation{})
	member := delegator.MaxRetryDelay(delegator.Situation{HearsPeers: true})
	assert.Assert(t, leader <= 500*time.Millisecond && alone <= 500*time.Millisecond)
	assert.Assert(t, member > 4*time.Second)
}

// TestBoundsFollowTheRevocation checks that a node which reads the store learns of a
// revocation, and forwards it, well before the revocation bound, also where that is
// shorter than 5 s.
func TestBoundsFollowTheRevocation(t *testing.T) {
	for _, revocation := range []time.Duration{0, 3 * time.Second, 4 * time.Second, 5 * time.Second, time.Minute} {
		decider := delegator.New(time.Unix(1000, 0), delegator.Bounds{Revocation: revocation}, 0, false)
		if revocation == 0 || revocation > 5*time.Second {
			revocation = 5 * time.Second
		}
		assert.Assert(t, decider.MaxAge() < revocation*6/10)
		assert.Assert(t, decider.WatchWait() >= 200*time.Millisecond && decider.WatchWait() < decider.MaxAge())
	}
	assert.Equal(t, delegator.New(time.Unix(1000, 0), delegator.Bounds{Revocation: 5 * time.Second}, 0, false).WatchWait(), 1200*time.Millisecond)
}

// TestTakesOverWhileReadersFail checks which nodes read the store once the calls of all that read
// it fail: the first member of a group soon, the next ones much later, for as long as their own
// calls are answered.
func TestTakesOverWhileReadersFail(t *testing.T) {
	start := time.Unix(1000, 0)
	failing := delegator.Situation{HearsPeers: true, Confirmed: start, ConfirmedByPeers: start, ReadersFail: true}
	second := failing
	second.GroupRank = 1
	first, next := delegator.New(start, delegator.Bounds{Revocation: 5 * time.Second}, 0, false), delegator.New(start, delegator.Bounds{Revocation: 5 * time.Second}, 0, false)
	assert.Assert(t, !first.MustReadStore(start, failing) && !next.MustReadStore(start, second))
	now := start.Add(400 * time.Millisecond)
	assert.Assert(t, first.MustReadStore(now, failing))
	assert.Assert(t, !next.MustReadStore(now, second))
	assert.Assert(t, next.MustReadStore(start.Add(5100*time.Millisecond), second))

	fresh := failing
	fresh.ConfirmedByPeers = now
	assert.Assert(t, first.MustReadStore(now, fresh), "the confirmation is the node's own, passed on by a peer")
	fresh.ReadersFail = false
	assert.Assert(t, !first.MustReadStore(now, fresh), "another node reads the store")
}

// TestGivesUpWhenItsOwnCallsFail checks that a node which took over leaves the store alone once its
// calls fail too, and takes over again only after the store has answered some node.
func TestGivesUpWhenItsOwnCallsFail(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	failing := delegator.Situation{HearsPeers: true, Confirmed: start, ConfirmedByPeers: start, ReadersFail: true}
	decider := delegator.New(start, delegator.Bounds{Revocation: 5 * time.Second}, 0, false)
	decider.MustReadStore(at(0), failing)
	assert.Assert(t, decider.MustReadStore(at(400), failing))
	own := failing
	own.Fails = true
	assert.Assert(t, !decider.MustReadStore(at(600), own))
	assert.Assert(t, !decider.MustReadStore(at(5000), failing))
	recovered := failing
	recovered.ReadersFail, recovered.Confirmed, recovered.ConfirmedByPeers = false, at(5200), at(5200)
	assert.Assert(t, !decider.MustReadStore(at(5200), recovered))
	failing.Confirmed, failing.ConfirmedByPeers = at(5200), at(5200)
	assert.Assert(t, !decider.MustReadStore(at(5400), failing))
	assert.Assert(t, decider.MustReadStore(at(5800), failing))
}

// TestReadsUntilTheCopyIsSettled guards against nodes that take over and stop before they know what a watch that lags did not
// return: the copy counts as fresh from the first answer on.
func TestReadsUntilTheCopyIsSettled(t *testing.T) {
	start := time.Unix(1000, 0)
	bounds := delegator.Bounds{Revocation: 5 * time.Second, Leaving: 2 * time.Second}
	cases := map[string]struct {
		change func(situation *delegator.Situation)
		reads  bool
	}{
		"takes over":     {func(*delegator.Situation) {}, true},
		"its calls fail": {func(situation *delegator.Situation) { situation.Fails = true }, false},
		"has no copy at first": {func(situation *delegator.Situation) {
			situation.Current, situation.Confirmed = time.Time{}, time.Time{}
		}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			decider := delegator.New(start, bounds, 0, false)
			aged := delegator.Situation{Aggregates: true, HearsPeers: true, Confirmed: start, ConfirmedByPeers: start, Current: start, CurrentByPeers: start}
			fresh := aged
			test.change(&aged)
			now := start.Add(3 * time.Second)
			assert.Assert(t, decider.MustReadStore(now, aged))
			fresh.Confirmed, fresh.ConfirmedByPeers, fresh.Current, fresh.CurrentByPeers, fresh.Fails = now, now, now, now, aged.Fails
			assert.Equal(t, decider.MustReadStore(now.Add(time.Second), fresh), test.reads)
			fresh.Current, fresh.CurrentByPeers = now.Add(time.Second), now.Add(time.Second)
			assert.Assert(t, !decider.MustReadStore(now.Add(1500*time.Millisecond), fresh))
		})
	}
}
