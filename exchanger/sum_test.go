package exchanger

import (
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestSumsKeepStartsApart holds that loads at two starts of an upstream are not added up
// on their way through an aggregator, and are taken off the sum each by itself.
func TestSumsKeepStartsApart(t *testing.T) {
	report := func(incarnation definer.Incarnation, inFlight int) *messenger.LoadReport {
		return &messenger.LoadReport{Nodes: 1, Loads: []messenger.UpstreamLoad{{Upstream: "u", Incarnation: incarnation, InFlight: inFlight}}}
	}
	earlier, later := report(10, 1), report(20, 2)
	all := newSum()
	all.add(earlier, 0)
	all.add(later, 0)
	cases := []struct {
		name    string
		without *messenger.LoadReport
		found   map[definer.Incarnation]int
	}{
		{"all", nil, map[definer.Incarnation]int{10: 1, 20: 2}},
		{"without the earlier", earlier, map[definer.Incarnation]int{20: 2}},
		{"without the later", later, map[definer.Incarnation]int{10: 1}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			found := make(map[definer.Incarnation]int)
			for _, load := range all.report(messenger.FleetLoad, test.without, nil).Loads {
				found[load.Incarnation] = load.InFlight
			}
			assert.DeepEqual(t, found, test.found)
		})
	}
}
