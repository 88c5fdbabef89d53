package acceptor_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/acceptor"
)

const allowedDelay = 50 * time.Millisecond

func newController(now time.Time) *acceptor.Controller {
	return acceptor.NewController(now, func() time.Duration { return allowedDelay })
}

// recordWakeUps records wake-ups with the delays in turn for a span, and returns the changes.
func recordWakeUps(controller *acceptor.Controller, now *time.Time, span time.Duration, delays ...time.Duration) []acceptor.Change {
	var changes []acceptor.Change
	for count, end := 0, now.Add(span); now.Before(end); count++ {
		delay := delays[count%len(delays)]
		*now = now.Add(50*time.Millisecond + delay)
		if change, ok := controller.RecordWakeUp(*now, delay); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// acceptAll passes new connections at a rate for a span, each of which begins at once, and returns how many
// are accepted.
func acceptAll(controller *acceptor.Controller, now time.Time, span time.Duration, perSecond float64) (accepted int) {
	for sent := 0; sent < int(span.Seconds()*perSecond); sent++ {
		at := now.Add(time.Duration(float64(sent) / perSecond * float64(time.Second)))
		if controller.Accept(at) == "" {
			accepted++
			controller.Begin(at)
		}
	}
	return accepted
}

// It guards against a node that turns callers away for delays which pass: a suspension, or a share of the
// processor that is used up at times.
func TestPassingDelaysAreNoShortage(t *testing.T) {
	cases := map[string][]time.Duration{
		"none":       {0},
		"suspension": {0, 0, 0, 0, 0, 0, 0, 3 * time.Second},
		"quota":      {85 * time.Millisecond, 0},
	}
	for name, delays := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Now()
			controller := newController(now)
			assert.Equal(t, len(recordWakeUps(controller, &now, 10*time.Second, delays...)), 0)
			assert.Equal(t, acceptAll(controller, now, time.Second, 200), 200)
		})
	}
}

// It guards against a node that accepts ever more connections than it can serve, and against one that accepts
// none for so long that callers take it for ended.
func TestShortageLowersTheRateAndEnds(t *testing.T) {
	now := time.Now()
	controller := newController(now)
	acceptAll(controller, now, time.Second, 100)
	changes := recordWakeUps(controller, &now, time.Second, 2*allowedDelay)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Short && changes[0].Rate <= 100, "%v", changes[0])
	recordWakeUps(controller, &now, 10*time.Second, 2*allowedDelay)
	accepted := acceptAll(controller, now, 4*time.Second, 100)
	assert.Assert(t, accepted >= 4 && accepted <= 12, "%d accepted", accepted)

	changes = recordWakeUps(controller, &now, 10*time.Second, 0)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, !changes[0].Short && changes[0].Closed > 0, "%v", changes[0])
	assert.Equal(t, acceptAll(controller, now, time.Second, 200), 200)
}

// It guards against a crowd that is accepted as a whole before the first late wake-up is noticed.
func TestQueueOfNewConnectionsIsBounded(t *testing.T) {
	now := time.Now()
	controller := newController(now)
	accepted := 0
	for range 10000 {
		if controller.Accept(now) == "" {
			accepted++
		}
	}
	assert.Assert(t, accepted <= 64, "%d accepted at once", accepted)
	// Each takes 10 ms from now on, so that five of them fill the allowed delay.
	for ; accepted > 0; accepted-- {
		now = now.Add(10 * time.Millisecond)
		controller.Begin(now)
	}
	for accepted = 0; controller.Accept(now) == ""; accepted++ {
	}
	assert.Assert(t, accepted <= 8, "%d accepted", accepted)
}
