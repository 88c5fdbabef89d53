package definer_test

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

func TestWanted(t *testing.T) {
	cases := []struct {
		name, kind string
		models     []string
		wanted     *definer.WantedDocument
		loads      int
		fault      string
	}{
		{name: "nothing", kind: "engine", models: []string{"m"}},
		{name: "role", kind: "engine", models: []string{"m"}, wanted: &definer.WantedDocument{Role: "prefill"}},
		{name: "a model more", kind: "engine", models: []string{"m"}, wanted: &definer.WantedDocument{Models: []string{"m", "n"}}, loads: 4},
		{name: "served, not wanted", kind: "engine", models: []string{"m"}, wanted: &definer.WantedDocument{Models: []string{"n"}}, fault: `model "m" is served but not wanted`},
		{name: "empty", kind: "engine", wanted: &definer.WantedDocument{}, fault: "neither models nor a role"},
		{name: "twice", kind: "engine", wanted: &definer.WantedDocument{Models: []string{"n", "n"}}, fault: `model "n" twice`},
		{name: "no name", kind: "engine", wanted: &definer.WantedDocument{Models: []string{""}}, fault: "without a name"},
		{name: "service", kind: "service", wanted: &definer.WantedDocument{Role: "r"}, fault: "only an engine"},
		{name: "loads", kind: "engine", loads: 101, fault: "concurrentLoads is 101"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			upstream := definer.UpstreamDocument{Name: "e", DataCentre: "dc", Address: "127.0.0.1:1", Slots: 1, Models: test.models, Wanted: test.wanted}
			_, err := definer.Build(1, definer.Document{
				Pools:  []definer.PoolDocument{{Name: "p", Kind: test.kind, Upstreams: []definer.UpstreamDocument{upstream}}},
				Limits: definer.LimitsDocument{ConcurrentLoads: test.loads},
			})
			if test.fault == "" {
				assert.NilError(t, err)
				return
			}
			var failure *definer.Error
			assert.Assert(t, errors.As(err, &failure))
			assert.Assert(t, strings.Contains(err.Error(), test.fault), err)
		})
	}
}
