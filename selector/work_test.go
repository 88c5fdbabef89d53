package selector_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
	"limpetcleat/selector"
)

// TestBeyondShareGivesWay guards against load beyond the share of one organisation that harms
// others: deferrable requests beyond their share are deferred and refused whatever their objective,
// and those within it are neither, and the engines are not divided anew.
func TestBeyondShareGivesWay(t *testing.T) {
	cases := []struct {
		name            string
		beyond          bool
		change          func(demand *selector.Demand)
		refused, behind bool
	}{
		{"within", false, nil, false, false},
		{"beyond", true, nil, true, true},
		{"beyond, of a higher tier", true, func(demand *selector.Demand) { demand.Deferrable = false }, false, false},
		{"beyond, without an objective", true, func(demand *selector.Demand) { demand.Objective = 0 }, true, true},
		{"beyond, with time left", true, func(demand *selector.Demand) { demand.TimeLeft = time.Minute }, false, true},
	}
	for _, source := range []string{"own", "peers"} {
		for _, test := range cases {
			t.Run(source+" "+test.name, func(t *testing.T) {
				chooser, list := selector.New("west"), pool(1)
				list[0].Slots = 20
				loaded := chooser
				if source == "peers" {
					loaded = selector.New("west")
				}
				for range 40 {
					load := engineDemand(list, "flood", "", 5000)
					load.BeyondShare, load.Deferrable = true, true
					choose(t, loaded, start(), load)
				}
				if source == "peers" {
					chooser.ApplyReport(start(), "peer", loaded.Report(start()), 1)
				}
				assert.Equal(t, chooser.BusyEngines(start(), "pool"), 0.0)
				demand := deferrableDemand(list, "s", 10*time.Second)
				demand.BeyondShare = test.beyond
				if test.change != nil {
					test.change(demand)
				}
				assignment, err := chooser.Choose(start(), demand)
				var saturation *selector.Saturation
				assert.Equal(t, errors.As(err, &saturation), test.refused, "%v", err)
				if !test.refused {
					assert.NilError(t, err)
					assert.Equal(t, assignment.Deferred(), test.behind)
					return
				}
				assert.Assert(t, saturation.RetryAfter >= demand.Objective && saturation.RetryAfter < demand.TimeLeft/2)
			})
		}
	}
}

// TestBeyondShareIsReported guards against requests beyond their share that keep counting after
// their end, at the node that sent them or at its peers.
func TestBeyondShareIsReported(t *testing.T) {
	chooser, list := selector.New("west"), pool(1)
	demand := engineDemand(list, "k", "", 100)
	demand.BeyondShare, demand.Deferrable = true, true
	assignment := choose(t, chooser, start(), demand)
	choose(t, chooser, start(), engineDemand(list, "k", "", 100))
	assert.Equal(t, chooser.Report(start()).Loads[0].Beyond, 1)
	answer(assignment, start())
	load := chooser.Report(start()).Loads[0]
	assert.Assert(t, load.Beyond == 0 && load.InFlight == 1 && load.Deferred == 0)
	assert.Equal(t, load.Plus(messenger.UpstreamLoad{Beyond: 2}).Minus(messenger.UpstreamLoad{Beyond: 1}).Beyond, 1)
}

// TestWorkIsPredicted guards against shares by wrong amounts: work is the prefill of what no engine
// has cached and the part of an engine that the answer occupies; engines that cannot be reached
// are no capacity.
func TestWorkIsPredicted(t *testing.T) {
	chooser, list := selector.New("west"), pool(2)
	list[0].Slots, list[1].Slots = 10, 30
	demand := engineDemand(list, "k", "", 4000)
	assert.Equal(t, chooser.PredictWork(start(), &selector.Demand{Service: "pool", PromptTokens: 4000}), time.Duration(0))
	before := chooser.PredictWork(start(), demand)
	demand.Parts = []selector.Part{{ID: "s", Tokens: 3000}}
	assignment := choose(t, chooser, start(), demand)
	assert.Equal(t, before-chooser.PredictWork(start(), demand), 75*time.Millisecond)
	assignment.RecordFirstEvent(start())
	assignment.End(start().Add(2*time.Second), selector.Answered)
	// 3,100 tokens at the initial speed of 40 per millisecond, and 2 s on one of 20 slots.
	assert.Equal(t, chooser.PredictWork(start(), demand), 177500*time.Microsecond)
	assert.Equal(t, chooser.LiveUpstreams(start(), list), 2)
	choose(t, chooser, start(), demand).End(start(), selector.Unreachable)
	assert.Equal(t, chooser.LiveUpstreams(start(), list), 1)
	assert.Equal(t, chooser.LiveUpstreams(start().Add(time.Minute), list), 2)
	chooser.SetLost(start().Add(time.Minute), list[1].Start(), start().Add(2*time.Minute))
	assert.Equal(t, chooser.LiveUpstreams(start().Add(time.Minute), list), 1)
}
