package confiner_test

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/confiner"
	"limpetcleat/definer"
	"limpetcleat/registrar"
)

func regions() map[definer.DataCentre]definer.Region {
	return map[definer.DataCentre]definer.Region{"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
}

func upstreamsIn(dataCentres ...definer.DataCentre) []*registrar.Upstream {
	var list []*registrar.Upstream
	for _, dataCentre := range dataCentres {
		list = append(list, &registrar.Upstream{ID: definer.UpstreamName(dataCentre), DataCentre: dataCentre})
	}
	return list
}

func dataCentresOf(list []*registrar.Upstream) []definer.DataCentre {
	var dataCentres []definer.DataCentre
	for _, upstream := range list {
		dataCentres = append(dataCentres, upstream.DataCentre)
	}
	return dataCentres
}

// TestPermitted checks to which data centres requests may be sent.
func TestPermitted(t *testing.T) {
	cases := []struct {
		name         string
		rule         []definer.Region
		organisation []definer.Region
		evacuated    []definer.DataCentre
		permitted    []definer.DataCentre
	}{
		{"not confined", nil, nil, nil, []definer.DataCentre{"a1", "a2", "b1", "c1", "x1"}},
		{"an empty list", []definer.Region{}, nil, nil, []definer.DataCentre{"a1", "a2", "b1", "c1", "x1"}},
		{"by the rule", []definer.Region{"a", "b"}, nil, nil, []definer.DataCentre{"a1", "a2", "b1"}},
		{"by the organisation", nil, []definer.Region{"c"}, nil, []definer.DataCentre{"c1"}},
		{"by both", []definer.Region{"a", "b"}, []definer.Region{"b", "c"}, nil, []definer.DataCentre{"b1"}},
		{"by both to nowhere", []definer.Region{"a"}, []definer.Region{"b"}, nil, nil},
		{"to a region that does not exist", []definer.Region{"z"}, nil, nil, nil},
		{"to a region without a name", []definer.Region{""}, nil, nil, nil},
		{"an evacuation", nil, nil, []definer.DataCentre{"a2"}, []definer.DataCentre{"a1", "b1", "c1", "x1"}},
		{"an evacuation of a region's only data centre", []definer.Region{"b"}, nil, []definer.DataCentre{"b1"}, nil},
		{"an evacuation of nothing", nil, nil, []definer.DataCentre{"y1", ""}, []definer.DataCentre{"a1", "a2", "b1", "c1", "x1"}},
		{"all evacuated", nil, nil, []definer.DataCentre{"a1", "a2", "b1", "c1", "x1"}, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			confiner := confiner.New(regions())
			confiner.Replace(evacuations(test.evacuated...))
			all := upstreamsIn("a1", "a2", "b1", "c1", "x1")
			assert.DeepEqual(t, dataCentresOf(confiner.Permitted(all, test.rule, test.organisation)), test.permitted)
			assert.Equal(t, len(all), 5)
		})
	}
}

func evacuations(dataCentres ...definer.DataCentre) []confiner.Evacuation {
	var list []confiner.Evacuation
	for index, dataCentre := range dataCentres {
		list = append(list, confiner.Evacuation{DataCentre: dataCentre, Revision: uint64(index + 1)})
	}
	return list
}

// TestChangesAreReportedOnce checks that only differences are reported, and in order.
func TestChangesAreReportedOnce(t *testing.T) {
	var reported []string
	sut := confiner.New(regions(), confiner.WithChanges(func(change confiner.Change) {
		reported = append(reported, fmt.Sprintf("%s %t", change.Evacuation.DataCentre, !change.Removed))
	}))
	take := func() []string {
		defer func() { reported = nil }()
		return reported
	}
	sut.Replace(evacuations("a1", "b1"))
	assert.DeepEqual(t, take(), []string{"a1 true", "b1 true"})
	sut.Replace(evacuations("a1", "b1"))
	assert.Equal(t, len(take()), 0)
	sut.Replace(evacuations("b1", "c1"))
	assert.DeepEqual(t, take(), []string{"c1 true", "a1 false"})
	sut.Apply([]confiner.Change{
		{Evacuation: confiner.Evacuation{DataCentre: "a1"}, Removed: true},
		{Evacuation: confiner.Evacuation{DataCentre: "b1"}, Removed: true},
		{Evacuation: confiner.Evacuation{DataCentre: "b1"}},
	})
	assert.DeepEqual(t, take(), []string{"b1 false", "b1 true"})
	assert.DeepEqual(t, sut.Evacuations(), []confiner.Evacuation{{DataCentre: "b1"}, {DataCentre: "c1", Revision: 2}})
	assert.Assert(t, sut.Knows("a1") && !sut.Knows("x1"))
}

// TestPermittedIsExact checks on random evacuations and confinements that exactly those upstreams
// are permitted that no restriction excludes, and that the list of candidates is not modified.
func TestPermittedIsExact(t *testing.T) {
	dataCentres := []definer.DataCentre{"a1", "a2", "b1", "c1", "x1"}
	names := []definer.Region{"a", "b", "c", "z"}
	rapid.Check(t, func(t *rapid.T) {
		evacuated := rapid.SliceOfDistinct(rapid.SampledFrom(dataCentres), rapid.ID).Draw(t, "evacuated")
		first := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "rule")
		second := rapid.SliceOfDistinct(rapid.SampledFrom(names), rapid.ID).Draw(t, "organisation")
		candidates := upstreamsIn(rapid.SliceOfN(rapid.SampledFrom(dataCentres), 0, 12).Draw(t, "candidates")...)
		before := slices.Clone(candidates)
		sut := confiner.New(regions())
		sut.Replace(evacuations(evacuated...))
		var expected []*registrar.Upstream
		for _, candidate := range candidates {
			region := regions()[candidate.DataCentre]
			inFirst := len(first) == 0 || slices.Contains(first, region)
			inSecond := len(second) == 0 || slices.Contains(second, region)
			if inFirst && inSecond && !slices.Contains(evacuated, candidate.DataCentre) {
				expected = append(expected, candidate)
			}
		}
		assert.Assert(t, slices.Equal(sut.Permitted(candidates, first, second), expected))
		assert.Assert(t, slices.Equal(candidates, before))
	})
}
