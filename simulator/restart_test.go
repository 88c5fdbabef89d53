package simulator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/simulator"
)

// TestRestartsUnderTheSameName holds that engines which start again empty under their names
// are used for what they are: a third of them within a burst cost hardly anyone their
// time when the nodes are told of the start, and a seventh of the requests when they have
// to find out.
func TestRestartsUnderTheSameName(t *testing.T) {
	play := func(told time.Duration) (during, after simulator.Window) {
		pattern := quotes(system{18, 9, 8 * time.Second}, 2.5, 11)
		pattern.Length = 16 * time.Second
		for engine := range 6 {
			pattern.Restarts = append(pattern.Restarts, simulator.Restart{Engine: engine, At: 10 * time.Second, Told: told})
		}
		result := simulator.Play(pattern)
		return sum(result.Seconds[10:13]), sum(result.Seconds[13:15])
	}
	during, after := play(200 * time.Millisecond)
	untold, untoldAfter := play(time.Hour)
	report := fmt.Sprintf("told: %+v, then %+v; not told: %+v, then %+v", during, after, untold, untoldAfter)
	t.Log(report)
	assert.Assert(t, after.Share() > 0.97, report)
	assert.Assert(t, during.Share() > untold.Share()+0.1, report)
}

// TestUnreadableEntriesInABurst holds that engines whose entries cannot be read for a while
// get nothing in it and are used before and after, and that the others carry the load.
func TestUnreadableEntriesInABurst(t *testing.T) {
	from, until := 10*time.Second, 13*time.Second
	pattern := quotes(system{18, 9, 8 * time.Second}, 1.5, 11)
	pattern.Length = 18 * time.Second
	for engine := range 3 {
		pattern.Unreadable = append(pattern.Unreadable, simulator.Unreadable{Engine: engine, From: from, Until: until})
	}
	result := simulator.Play(pattern)
	for engine := range 3 {
		during, after := 0, 0
		for _, sent := range result.Sent[engine] {
			switch {
			case sent >= from && sent < until:
				during++
			case sent >= until:
				after++
			}
		}
		assert.Equal(t, during, 0, "engine %d", engine)
		assert.Assert(t, after > 0, "engine %d", engine)
	}
	burst := sum(result.Seconds[10:13])
	assert.Assert(t, burst.Share() > 0.9, "%+v", burst)
}
