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

// restartedPool returns a copy of the list in which the upstream at that index has the
// incarnation.
func restartedPool(list []*registrar.Upstream, place int, incarnation definer.Incarnation) []*registrar.Upstream {
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

// TestARestartIsSentNothingOnWhatItHeld checks that nothing observed of an upstream's earlier
// start is applied to a later one: cached parts, requests in flight, failures and the pause.
func TestARestartIsSentNothingOnWhatItHeld(t *testing.T) {
	first := restartedPool(pool(1), 0, 10)
	later := restartedPool(pool(1), 0, 20)
	chooser := selector.New("west")
	read := choose(t, chooser, start(), engineDemand(first, "k", "s", 50))
	read.RecordFirstEvent(start())
	held := choose(t, chooser, start(), engineDemand(first, "k", "s", 50))
	assert.Assert(t, strings.HasSuffix(held.Basis(), "known=true"), held.Basis())
	held.End(start(), selector.Unreachable)

	anew := choose(t, chooser, start(), engineDemand(later, "k", "s", 50))
	assert.Assert(t, strings.HasSuffix(anew.Basis(), "known=false"), anew.Basis())
	assert.Assert(t, strings.HasPrefix(anew.Basis(), "inFlight=0 "), anew.Basis())
	assert.Assert(t, strings.Contains(anew.Basis(), "failures=0%"), anew.Basis())
	assert.Assert(t, anew.UpstreamSilent(), "nothing has come from this start")

	// Requests of the earlier start that end later do not affect the later one.
	read.End(start(), selector.Failed)
	next := choose(t, chooser, start(), engineDemand(later, "k", "s", 50))
	assert.Assert(t, strings.HasPrefix(next.Basis(), "inFlight=1 "), next.Basis())
	assert.Assert(t, strings.Contains(next.Basis(), "failures=0%"), next.Basis())
	report := chooser.Report(start())
	assert.Equal(t, len(report.Loads), 1)
	assert.Equal(t, report.Loads[0].Incarnation, definer.Incarnation(20))
	assert.Equal(t, report.Loads[0].InFlight, 2)
}

// TestAnEarlierStartComingLateChangesNothing checks that a stale list of upstreams does not
// replace the state of a later start by that of an earlier one.
func TestAnEarlierStartComingLateChangesNothing(t *testing.T) {
	first := restartedPool(pool(1), 0, 10)
	later := restartedPool(pool(1), 0, 20)
	chooser := selector.New("west")
	choose(t, chooser, start(), engineDemand(later, "k", "s", 50)).RecordFirstEvent(start())
	behind := choose(t, chooser, start(), engineDemand(first, "k", "s", 50))
	assert.Assert(t, strings.HasSuffix(behind.Basis(), "known=true"), behind.Basis())
	assert.Assert(t, strings.HasPrefix(behind.Basis(), "inFlight=1 "), behind.Basis())
}

// TestReportsSpeakOfOneStart checks that peers' reports on an earlier start are ignored, and
// that those on a later one are not lost.
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
			list := restartedPool(pool(1), 0, 20)
			chooser := selector.New("west")
			choose(t, chooser, start(), engineDemand(list, "k", "other", 50)).End(start(), selector.Abandoned)
			chooser.ApplyReport(start(), "peer", &messenger.LoadReport{
				Nodes: 1,
				Loads: []messenger.UpstreamLoad{{Upstream: "u0", Incarnation: test.told, InFlight: 3, Heard: time.Millisecond, HasHeard: true}},
				Reads: []messenger.PartsRead{{Upstream: "u0", Incarnation: test.told, Parts: []string{"s"}}},
			}, 1)
			chosen := choose(t, chooser, start(), engineDemand(list, "k", "s", 50))
			assert.Equal(t, strings.HasSuffix(chosen.Basis(), "known=true"), test.known, chosen.Basis())
			assert.Assert(t, strings.Contains(chosen.Basis(), test.inFlight), chosen.Basis())
		})
	}
}
