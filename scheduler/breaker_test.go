package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestDeadUpstreamDrawsNoMoreWork guards against sending most requests to a dead
// engine: one of two upstreams fails every request at once, which makes it look idle.
func TestDeadUpstreamDrawsNoMoreWork(t *testing.T) {
	const dead definer.UpstreamName = "runner00"
	harness := newHarness(t, poolSetting{upstreams: 2, slots: 4})
	failed := 0
	grant := func(class definer.ClassName) definer.UpstreamName {
		decisions := harness.ask(class, nil)
		assert.Equal(t, len(decisions), 1)
		if decisions[0].Upstream == dead {
			failed++
			harness.Release(harness.now, decisions[0].Grant, messenger.Observation{Failed: true, Total: time.Millisecond})
			return dead
		}
		harness.Release(harness.now, decisions[0].Grant, messenger.Observation{Tokens: 100, Total: time.Second})
		return decisions[0].Upstream
	}
	for range 200 {
		grant("digest")
	}
	assert.Equal(t, failed, breakerThreshold)
	for range 100 {
		harness.now = harness.now.Add(time.Second)
		grant("digest")
	}
	assert.Assert(t, failed > breakerThreshold, "no trial request was sent")
	assert.Assert(t, failed <= breakerThreshold+2*100/int(maxOpenTime.Seconds()), "%d failures", failed)

	running := harness.fill(t, "digest", 4)
	harness.now = harness.now.Add(maxOpenTime)
	trial := harness.ask("digest", nil)
	assert.Equal(t, trial[0].Upstream, dead)
	assert.Equal(t, len(harness.ask("digest", nil)), 0, "a second trial request was sent while the first was under way")
	assert.Equal(t, len(harness.ask("confirm", nil)), 1, "a protected request had to wait for the breaker")
	decisions := harness.Release(harness.now, trial[0].Grant, messenger.Observation{Tokens: 100, Total: time.Second})
	assert.Equal(t, len(decisions), 1, "a success did not close the breaker")
	assert.Equal(t, len(running), 4)
}
