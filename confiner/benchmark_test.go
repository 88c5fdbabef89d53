package confiner_test

import (
	"testing"

	"limpetcleat/confiner"
	"limpetcleat/definer"
	"limpetcleat/registrar"
)

// BenchmarkPermitted measures the restriction of 10,000 upstreams without a restriction in force,
// with an evacuation, and with a confined request.
func BenchmarkPermitted(b *testing.B) {
	upstreams := make([]*registrar.Upstream, 10_000)
	for index := range upstreams {
		upstreams[index] = &registrar.Upstream{DataCentre: []definer.DataCentre{"a1", "a2", "b1", "c1"}[index%4]}
	}
	for name, test := range map[string]struct {
		evacuated []definer.DataCentre
		regions   []definer.Region
	}{
		"unrestricted": {},
		"evacuated":    {evacuated: []definer.DataCentre{"a1"}},
		"confined":     {regions: []definer.Region{"a"}},
	} {
		b.Run(name, func(b *testing.B) {
			sut := confiner.New(regions())
			sut.Replace(evacuations(test.evacuated...))
			b.ReportAllocs()
			for b.Loop() {
				sut.Permitted(upstreams, test.regions, nil)
			}
		})
	}
}
