package issuer_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/issuer"
	"limpetcleat/standin/measurer"
)

func start() time.Time { return time.Unix(1000, 0) }

func ask(number uint64, tier int, patience time.Duration) issuer.Ask {
	return issuer.Ask{ID: issuer.AskID{From: "entry", Number: number}, Tier: tier, Patience: patience}
}

// TestPermitsKeepToTheRate asks far more often than the rate allows, for low and high rates: no
// window has more permits than the rate and one burst, and most permits are used.
func TestPermitsKeepToTheRate(t *testing.T) {
	const window, step, span = 4 * time.Second, 5 * time.Millisecond, 60 * time.Second
	for _, rate := range []float64{0.2, 0.5, 1.7, 2.2, 10, 50} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			permits, now := issuer.New(start(), rate), start()
			var granted []time.Time
			for number := uint64(0); now.Before(start().Add(span)); number++ {
				now = now.Add(step)
				if permits.Ask(now, ask(number, int(number%5), 0)).Verdict == issuer.Granted {
					granted = append(granted, now)
				}
			}
			most := measurer.MaxInWindow(granted, window)
			allowed := rate*window.Seconds() + max(2, rate/4) + 1
			assert.Assert(t, float64(most) <= allowed, "%d permits in %v", most, window)
			assert.Assert(t, float64(len(granted)) >= 0.9*rate*span.Seconds()-1, "%d permits in %v", len(granted), span)
		})
	}
}

// TestANewIssuerHasNothingToGive checks that a new issuer has no permits at once, since its
// predecessor may just have issued them all.
func TestANewIssuerHasNothingToGive(t *testing.T) {
	permits := issuer.New(start(), 2)
	decision := permits.Ask(start(), ask(1, 0, 0))
	assert.Equal(t, decision.Verdict, issuer.Denied)
	assert.Assert(t, decision.After >= 500*time.Millisecond && decision.After < 510*time.Millisecond, "%v", decision.After)
	assert.Equal(t, permits.Ask(start().Add(decision.After), ask(2, 0, 0)).Verdict, issuer.Granted)
}

// TestQueuedAsksGoByTierAndTurn checks the order in which queued asks are granted, and that the
// ask that has waited longest goes first once in a while.
func TestQueuedAsksGoByTierAndTurn(t *testing.T) {
	permits := issuer.New(start(), 1)
	assert.Equal(t, permits.Ask(start(), ask(100, 4, 20*time.Second)).Verdict, issuer.Queued)
	for number := range uint64(10) {
		decision := permits.Ask(start(), ask(number, 1, 20*time.Second))
		assert.Equal(t, decision.Verdict, issuer.Queued)
		assert.Assert(t, decision.After > time.Duration(number)*time.Second, "%d: %v", number, decision.After)
	}
	var order []uint64
	for second := 1; second <= 11; second++ {
		at, ok := permits.Next()
		assert.Assert(t, ok)
		for _, decision := range permits.Due(at) {
			assert.Equal(t, decision.Verdict, issuer.Granted)
			order = append(order, decision.ID.Number)
		}
	}
	assert.DeepEqual(t, order, []uint64{0, 1, 2, 3, 4, 5, 6, 100, 7, 8, 9})
	_, waits := permits.Next()
	assert.Assert(t, !waits)
}

// TestAsksThatCannotBeMetAreDeniedAtOnce checks that an ask is denied at once if its patience
// would end before its turn, also with other asks queued.
func TestAsksThatCannotBeMetAreDeniedAtOnce(t *testing.T) {
	permits := issuer.New(start(), 1)
	assert.Equal(t, permits.Ask(start(), ask(1, 1, 2*time.Second)).Verdict, issuer.Queued)
	assert.Equal(t, permits.Ask(start(), ask(2, 1, 1500*time.Millisecond)).Verdict, issuer.Denied)
	assert.Equal(t, permits.Ask(start(), ask(3, 0, 1500*time.Millisecond)).Verdict, issuer.Queued, "a higher tier goes first")
	decisions := permits.Due(start().Add(1001 * time.Millisecond))
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].ID.Number, uint64(3))
	decisions = permits.Due(start().Add(2 * time.Second))
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Verdict, issuer.Denied, "its patience ends before the second permit")
}

// TestWithdrawnAsksTakeNoPermit checks that the next ask gets the permit of a withdrawn one.
func TestWithdrawnAsksTakeNoPermit(t *testing.T) {
	permits := issuer.New(start(), 1)
	permits.Ask(start(), ask(1, 0, 5*time.Second))
	permits.Ask(start(), ask(2, 0, 5*time.Second))
	permits.Withdraw(issuer.AskID{From: "entry", Number: 1})
	decisions := permits.Due(start().Add(1100 * time.Millisecond))
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].ID.Number, uint64(2))
}

// TestDeniedNodesAreSpreadOverThePermits checks that many nodes that ask at the same moment are
// told different times to ask again, none of more than 2 s.
func TestDeniedNodesAreSpreadOverThePermits(t *testing.T) {
	permits := issuer.New(start(), 10)
	var latest time.Duration
	for node := range 390 {
		decision := permits.Ask(start(), issuer.Ask{ID: issuer.AskID{From: definer.VM(fmt.Sprint(node))}})
		assert.Assert(t, decision.After >= latest && decision.After <= 2*time.Second, "%d: %v", node, decision.After)
		latest = decision.After
	}
	assert.Equal(t, latest, 2*time.Second)
}

// TestALowerRateHoldsAtOnce checks that permits kept under a higher rate are dropped when the
// rate falls.
func TestALowerRateHoldsAtOnce(t *testing.T) {
	permits := issuer.New(start(), 100)
	now := start().Add(time.Minute)
	permits.SetRate(now, 0.5)
	granted := 0
	for number := range uint64(50) {
		if permits.Ask(now, ask(number, 0, 0)).Verdict == issuer.Granted {
			granted++
		}
	}
	assert.Equal(t, granted, 2)
}
