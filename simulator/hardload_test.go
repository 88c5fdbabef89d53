package simulator_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/simulator"
)

// maxLateShare is the users' bound on the share of short streams that may be late, by their first
// event or by a pause.
const maxLateShare = 0.08

// mixedScenario returns long prompts and short streams of a higher tier with the figures of a
// customer, on engines with the settings; one of the classes comes in a burst of 6 s.
func mixedScenario(nodes int, settings simulator.EngineSettings, long, short simulator.Class, seed uint64) simulator.Scenario {
	long.Name, long.Tier, long.Deferrable, long.PrefixTokens, long.UniqueTokens, long.Spread = "long", 1, true, 6300, 2200, 0.8
	short.Name, short.Prefixes, short.PrefixTokens, short.UniqueTokens, short.OutputTokens, short.Spread = "short", 80, 198, 480, 220, 0.8
	return simulator.Scenario{
		Engines: 60, Nodes: nodes, Seed: seed, ReportDelay: 20 * time.Millisecond, Settings: settings,
		Classes:   []simulator.Class{long, short},
		BurstFrom: 2 * time.Second, BurstUntil: 8 * time.Second, Duration: 10 * time.Second,
	}
}

// evenEngines models a customer whose engines are alike; each running request lengthens their steps.
func evenEngines(longBurst, shortBurst float64, seed uint64) simulator.Scenario {
	settings := simulator.EngineSettings{
		Slots: 64, CacheTokens: 495_571, PrefillTokensPerMillisecond: 92, StepTime: 3030 * time.Microsecond,
		StepTimePerRequest: 121 * time.Microsecond, ChunkTokens: 4096, EventTokens: 7, BaseLatency: 60 * time.Millisecond,
	}
	long := simulator.Class{RequestsPerSecond: 195, BurstFactor: longBurst, Prefixes: 2149, OutputTokens: 49, Objective: 600 * time.Millisecond, GapObjective: 400 * time.Millisecond, Timeout: 4 * time.Second}
	short := simulator.Class{RequestsPerSecond: 260, BurstFactor: shortBurst, Objective: 400 * time.Millisecond, GapObjective: 250 * time.Millisecond, Timeout: 12 * time.Second}
	return mixedScenario(88, settings, long, short, seed)
}

// unevenEngines models a customer of whose engines a quarter has less than half the speed of the
// others.
func unevenEngines(longBurst, shortBurst float64, seed uint64) simulator.Scenario {
	settings := simulator.EngineSettings{
		Slots: 32, CacheTokens: 264_902, PrefillTokensPerMillisecond: 41.4, StepTime: 4630 * time.Microsecond,
		StepTimePerRequest: 12 * time.Microsecond, ChunkTokens: 4096, EventTokens: 6, BaseLatency: 2 * time.Millisecond,
		Speeds: []float64{0.55, 1.2, 1.2, 1.2},
	}
	long := simulator.Class{RequestsPerSecond: 113, BurstFactor: longBurst, Prefixes: 709, OutputTokens: 54, Objective: 800 * time.Millisecond, GapObjective: 600 * time.Millisecond, Timeout: 5 * time.Second}
	short := simulator.Class{RequestsPerSecond: 150, BurstFactor: shortBurst, Objective: 500 * time.Millisecond, GapObjective: 400 * time.Millisecond, Timeout: 15 * time.Second}
	return mixedScenario(66, settings, long, short, seed)
}

// TestStreamsAreNotInterrupted guards against long prompts that interrupt the streams of a higher
// tier, and against nodes that herd on old reports, under bursts of either kind. longInTime is the
// share of the long prompts that were in time without interruption before pauses were predicted; the
// protection of streams must not cost them.
func TestStreamsAreNotInterrupted(t *testing.T) {
	cases := []struct {
		name       string
		scenario   simulator.Scenario
		longInTime float64
	}{
		{"even engines, short burst", evenEngines(1, 2.4, 3), 0.978},
		{"even engines, long burst", evenEngines(2.5, 1, 3), 0.902},
		{"uneven engines, short burst", unevenEngines(1, 2.4, 3), 0.907},
		{"uneven engines, long burst", unevenEngines(2.5, 1, 3), 0.856},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			result := simulator.Run(test.scenario)
			long, short := result.ByClass["long"], result.ByClass["short"]
			summary := fmt.Sprintf("short %+v, long %+v, median error of first events by engine %.2f", short, long, medianError(result.PredictionRatios))
			t.Log(summary)
			assert.Check(t, float64(short.Late+short.Interrupted) <= maxLateShare*float64(short.InTime+short.Late), summary)
			assert.Check(t, float64(long.InTime-long.Interrupted) >= test.longInTime*float64(long.Requests), summary)
		})
	}
}

// medianError returns the median over the engines of the median deviation of the ratios from 1.
func medianError(ratiosByEngine [][]float64) float64 {
	var medians []float64
	for _, ratios := range ratiosByEngine {
		var deviations []float64
		for _, ratio := range ratios {
			deviations = append(deviations, math.Abs(ratio-1))
		}
		slices.Sort(deviations)
		if len(deviations) > 0 {
			medians = append(medians, deviations[len(deviations)/2])
		}
	}
	slices.Sort(medians)
	return medians[len(medians)/2]
}
