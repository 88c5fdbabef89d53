package selector_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

// restarted returns a pool whose upstream of that place has started anew.
func restarted(list []*registrar.Upstream, place int, incarnation definer.Incarnation) []*registrar.Upstream {
	anew := make([]*registrar.Upstream, len(list))
	for index, upstream := range list {
		later := *upstream
		if index == place {
			later.Incarnation = incarnation
		}
		anew[index] = &later
	}
	return anew
}

// TestARestartIsSentNothingOnWhatItHeld holds that with a later start goes what was
// believed of the earlier one: the parts that it had read, the requests that it had, and
// that it was left alone.
func TestARestartIsSentNothingOnWhatItHeld(t *testing.T) {
	first := restarted(pool(1), 0, 10)
	later := restarted(pool(1), 0, 20)
	choice := selector.New("west")
	read := choose(t, choice, start(), prompt(first, "k", "s", 50))
	read.Begun(start())
	held := choose(t, choice, start(), prompt(first, "k", "s", 50))
	assert.Assert(t, strings.HasSuffix(held.Basis(), "known=true"), held.Basis())
	held.End(start(), selector.Unreachable)

	anew := choose(t, choice, start(), prompt(later, "k", "s", 50))
	assert.Assert(t, strings.HasSuffix(anew.Basis(), "known=false"), anew.Basis())
	assert.Assert(t, strings.HasPrefix(anew.Basis(), "inFlight=0 "), anew.Basis())
	assert.Assert(t, strings.Contains(anew.Basis(), "failures=0%"), anew.Basis())
	assert.Assert(t, anew.Silent(), "nothing has come of this start")

	// Requests of the earlier start that end late change nothing of the later one.
	read.End(start(), selector.Failed)
	next := choose(t, choice, start(), prompt(later, "k", "s", 50))
	assert.Assert(t, strings.HasPrefix(next.Basis(), "inFlight=1 "), next.Basis())
	assert.Assert(t, strings.Contains(next.Basis(), "failures=0%"), next.Basis())
	report := choice.Report(start())
	assert.Equal(t, len(report.Loads), 1)
	assert.Equal(t, report.Loads[0].Incarnation, definer.Incarnation(20))
	assert.Equal(t, report.Loads[0].InFlight, 2)
}

// TestAnEarlierStartComingLateChangesNothing holds that a list that is behind does not
// bring back what was believed of an earlier start.
func TestAnEarlierStartComingLateChangesNothing(t *testing.T) {
	first := restarted(pool(1), 0, 10)
	later := restarted(pool(1), 0, 20)
	choice := selector.New("west")
	choose(t, choice, start(), prompt(later, "k", "s", 50)).Begun(start())
	behind := choose(t, choice, start(), prompt(first, "k", "s", 50))
	assert.Assert(t, strings.HasSuffix(behind.Basis(), "known=true"), behind.Basis())
	assert.Assert(t, strings.HasPrefix(behind.Basis(), "inFlight=1 "), behind.Basis())
}

// TestReportsSpeakOfOneStart holds that what peers tell of an earlier start is not taken
// in, and that what they tell of a later one is not lost.
func TestReportsSpeakOfOneStart(t *testing.T) {
	cases := []struct {
		name     string
		told     definer.Incarnation
		known    bool
		inFlight string
	}{
		{"the same start", 20, true, "others=3 "},
		{"an earlier start", 10, false, "others=0 "},
		{"a later start", 30, true, "others=3 "},
		{"a start that is not told", 0, false, "others=0 "},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			list := restarted(pool(1), 0, 20)
			choice := selector.New("west")
			choose(t, choice, start(), prompt(list, "k", "other", 50)).End(start(), selector.Abandoned)
			choice.Learn(start(), "peer", &messenger.LoadReport{
				Nodes: 1,
				Loads: []messenger.UpstreamLoad{{Upstream: "u0", Incarnation: test.told, InFlight: 3, Heard: time.Millisecond, HasHeard: true}},
				Reads: []messenger.PartsRead{{Upstream: "u0", Incarnation: test.told, Parts: []string{"s"}}},
			}, 1)
			chosen := choose(t, choice, start(), prompt(list, "k", "s", 50))
			assert.Equal(t, strings.HasSuffix(chosen.Basis(), "known=true"), test.known, chosen.Basis())
			assert.Assert(t, strings.Contains(chosen.Basis(), test.inFlight), chosen.Basis())
		})
	}
}
