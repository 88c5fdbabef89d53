package delegator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/delegator"
)

// TestAsks holds who asks the store: the leader of a data centre always, others only once
// nobody else seems to be able to, one behind the other.
func TestAsks(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	never := time.Time{}
	cases := []struct {
		name      string
		situation delegator.Situation
		first     bool
		// until is the last time at which it does not ask, in seconds; negative when it
		// asks at once.
		until float64
	}{
		{"the leader", delegator.Situation{Leads: true, Aggregates: true, Heard: true, Confirmed: at(0)}, false, -1},
		{"the leader of nobody", delegator.Situation{Leads: true}, false, -1},
		{"an aggregator", delegator.Situation{Aggregates: true, Rank: 1, Heard: true, Confirmed: at(0)}, false, 2.7},
		{"the next one", delegator.Situation{Aggregates: true, Rank: 3, Heard: true, Confirmed: at(0)}, false, 3.0},
		{"a member", delegator.Situation{Heard: true, Confirmed: at(0)}, false, 8.9},
		{"a member that hears from nobody", delegator.Situation{Confirmed: at(0)}, false, 2.9},
		{"a start among others that know nothing", delegator.Situation{Heard: true, Confirmed: never}, false, 8.9},
		{"a start alone", delegator.Situation{Confirmed: never}, false, 0.4},
		{"the first start", delegator.Situation{Confirmed: never}, true, 1.9},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			decides := delegator.New(start, 5*time.Second, 0.5, test.first)
			if test.until >= 0 {
				assert.Assert(t, !decides.Asks(at(test.until), test.situation))
			}
			assert.Assert(t, decides.Asks(at(test.until+0.2), test.situation) || test.until < 0 && decides.Asks(start, test.situation))
		})
	}
}

// TestAsksUntilPeersDo holds that a node which asks since nobody else did goes on until a
// peer's word is fresh, and does not take its own for one.
func TestAsksUntilPeersDo(t *testing.T) {
	start := time.Unix(1000, 0)
	decides := delegator.New(start, 5*time.Second, 0, false)
	situation := delegator.Situation{Aggregates: true, Rank: 1, Heard: true, Confirmed: start}
	now := start.Add(3 * time.Second)
	assert.Assert(t, decides.Asks(now, situation))
	situation.Confirmed = now
	assert.Assert(t, decides.Asks(now, situation), "its own word is fresh")
	situation.ByPeers = now.Add(-time.Second)
	assert.Assert(t, !decides.Asks(now, situation), "a peer's word is fresh")
}

// TestPauses holds that those who have to notice the store's return do so soon.
func TestPauses(t *testing.T) {
	leader := delegator.LongestPause(delegator.Situation{Leads: true, Heard: true})
	alone := delegator.LongestPause(delegator.Situation{})
	member := delegator.LongestPause(delegator.Situation{Heard: true})
	assert.Assert(t, leader <= 500*time.Millisecond && alone <= 500*time.Millisecond)
	assert.Assert(t, member > 4*time.Second)
}

// TestBoundsFollowTheRevocation holds that a node which asks knows, and has told, of a
// revocation well before its bound, also where that is shorter than 5 s.
func TestBoundsFollowTheRevocation(t *testing.T) {
	for _, revocation := range []time.Duration{0, 3 * time.Second, 4 * time.Second, 5 * time.Second, time.Minute} {
		decides := delegator.New(time.Unix(1000, 0), revocation, 0, false)
		if revocation == 0 || revocation > 5*time.Second {
			revocation = 5 * time.Second
		}
		assert.Assert(t, decides.Freshness() < revocation*6/10)
		assert.Assert(t, decides.Wait() >= 200*time.Millisecond && decides.Wait() < decides.Freshness())
	}
	assert.Equal(t, delegator.New(time.Unix(1000, 0), 5*time.Second, 0, false).Wait(), 1200*time.Millisecond)
}
