package simulator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/simulator"
)

// TestRestartsUnderTheSameName checks that nodes treat engines that restart under the same name as
// having empty caches. A third of the engines restart during a burst. If the restarts are
// announced, few requests miss their objective; otherwise a seventh do, until the nodes detect the
// restarts.
func TestRestartsUnderTheSameName(t *testing.T) {
	runWithDelay := func(delay time.Duration) (during, after simulator.Outcomes) {
		scenario := sharedPrefixScenario(deployment{18, 9, 8 * time.Second}, 2.5, 11)
		scenario.Duration = 16 * time.Second
		for engine := range 6 {
			scenario.Restarts = append(scenario.Restarts, simulator.Restart{Engine: engine, At: 10 * time.Second, AnnouncementDelay: delay})
		}
		result := simulator.Run(scenario)
		return sumOutcomes(result.BySecond[10:13]), sumOutcomes(result.BySecond[13:15])
	}
	during, after := runWithDelay(200 * time.Millisecond)
	unannounced, unannouncedAfter := runWithDelay(time.Hour)
	summary := fmt.Sprintf("announced: %+v, then %+v; not announced: %+v, then %+v", during, after, unannounced, unannouncedAfter)
	t.Log(summary)
	assert.Assert(t, after.InTimeShare() > 0.97, summary)
	assert.Assert(t, during.InTimeShare() > unannounced.InTimeShare()+0.1, summary)
}

// TestUnreadableEntriesInABurst checks that engines get no requests while their registry entries
// are unreadable and are used again afterwards, and that the other engines serve the load.
func TestUnreadableEntriesInABurst(t *testing.T) {
	from, until := 10*time.Second, 13*time.Second
	scenario := sharedPrefixScenario(deployment{18, 9, 8 * time.Second}, 1.5, 11)
	scenario.Duration = 18 * time.Second
	for engine := range 3 {
		scenario.UnreadableEntries = append(scenario.UnreadableEntries, simulator.UnreadableEntry{Engine: engine, From: from, Until: until})
	}
	result := simulator.Run(scenario)
	for engine := range 3 {
		sentDuring, sentAfter := 0, 0
		for _, sentAt := range result.SentAt[engine] {
			switch {
			case sentAt >= from && sentAt < until:
				sentDuring++
			case sentAt >= until:
				sentAfter++
			}
		}
		assert.Equal(t, sentDuring, 0, "engine %d", engine)
		assert.Assert(t, sentAfter > 0, "engine %d", engine)
	}
	during := sumOutcomes(result.BySecond[10:13])
	assert.Assert(t, during.InTimeShare() > 0.9, "%+v", during)
}
