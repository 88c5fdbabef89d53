package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestDeadUpstreamDrawsNoMoreWork has one of two upstreams fail at once each
// time, as a killed engine does, which makes it look idle.
func TestDeadUpstreamDrawsNoMoreWork(t *testing.T) {
	const dead definer.UpstreamName = "runner00"
	bench := newBench(t, setting{upstreams: 2, slots: 4})
	failed := 0
	grant := func(class definer.ClassName) definer.UpstreamName {
		decisions := bench.ask(class, nil)
		assert.Equal(t, len(decisions), 1)
		if decisions[0].Upstream == dead {
			failed++
			bench.Release(bench.now, decisions[0].Grant, messenger.Observation{Failed: true, Total: time.Millisecond})
			return dead
		}
		bench.Release(bench.now, decisions[0].Grant, messenger.Observation{Tokens: 100, Total: time.Second})
		return decisions[0].Upstream
	}
	for range 200 {
		grant("digest")
	}
	assert.Equal(t, failed, breakAfter)
	for range 100 {
		bench.now = bench.now.Add(time.Second)
		grant("digest")
	}
	assert.Assert(t, failed > breakAfter, "no trial was made")
	assert.Assert(t, failed <= breakAfter+2*100/int(longestPause.Seconds()), "%d failures", failed)

	running := bench.fill(t, "digest", 4)
	bench.now = bench.now.Add(longestPause)
	trial := bench.ask("digest", nil)
	assert.Equal(t, trial[0].Upstream, dead)
	assert.Equal(t, len(bench.ask("digest", nil)), 0, "a second trial beside the first")
	assert.Equal(t, len(bench.ask("confirm", nil)), 1, "protected work was kept waiting")
	decisions := bench.Release(bench.now, trial[0].Grant, messenger.Observation{Tokens: 100, Total: time.Second})
	assert.Equal(t, len(decisions), 1, "a success did not end it")
	assert.Equal(t, len(running), 4)
}
