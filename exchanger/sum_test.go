package exchanger

import (
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestSumsKeepStartsApart checks that an aggregator does not add up loads of two starts
// of an upstream, and that the load of each start can be subtracted from the sum
// separately.
func TestSumsKeepStartsApart(t *testing.T) {
	report := func(incarnation definer.Incarnation, inFlight int) *messenger.LoadReport {
		return &messenger.LoadReport{Nodes: 1, Loads: []messenger.UpstreamLoad{{Upstream: "u", Incarnation: incarnation, InFlight: inFlight}}}
	}
	earlier, later := report(10, 1), report(20, 2)
	all := newSum(true)
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
			for _, load := range all.reportWithout(messenger.FleetLoad, test.without, nil).Loads {
				found[load.Incarnation] = load.InFlight
			}
			assert.DeepEqual(t, found, test.found)
		})
	}
}
