package forwarder_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/confiner"
	"limpetcleat/definer"
	"limpetcleat/forwarder"
	"limpetcleat/router"
)

// newConfinedHarness returns a harness with one upstream in the data centre west, which is
// preferred, and others in the data centre east, each in the region of the same name.
func newConfinedHarness(t *testing.T, handlers ...http.HandlerFunc) (*harness, *confiner.Confiner) {
	t.Helper()
	harness := newHarness(t, handlers...)
	confiner := confiner.New(map[definer.DataCentre]definer.Region{"west": "west", "east": "east"})
	forwarder.WithConfinement(confiner)(harness.forwarder)
	return harness, confiner
}

// confine confines a rule or the organisation to a region.
func confine(rule string, rules, organisation []definer.Region) func(definition *router.Definition) {
	return func(definition *router.Definition) {
		definition.Organisations[0].Regions = organisation
		for index := range definition.Rules {
			if definition.Rules[index].Name == rule {
				definition.Rules[index].Regions = rules
			}
		}
	}
}

// TestRequestsStayInTheirRegions checks that the first send, retries and resumed streams go only
// to regions that the rule and the organisation allow, and that a request that no upstream may
// serve is refused at once as not run.
func TestRequestsStayInTheirRegions(t *testing.T) {
	west, east := []definer.Region{"west"}, []definer.Region{"east"}
	cases := []struct {
		name         string
		path         string
		rule         []definer.Region
		organisation []definer.Region
		first        http.HandlerFunc
		status       int
		sends        int
		reason       forwarder.Reason
	}{
		{"near", "/once/x", west, nil, answer(200, "a"), 200, 1, forwarder.Served},
		{"far only", "/once/x", east, nil, answer(200, "a"), 200, 1, forwarder.Served},
		{"far only, by the organisation", "/once/x", nil, east, answer(200, "a"), 200, 1, forwarder.Served},
		{"a retry stays", "/safe/x", west, nil, full, 503, 1, forwarder.Full},
		{"a retry goes on", "/safe/x", nil, nil, full, 200, 2, forwarder.Served},
		{"a stream is not resumed elsewhere", "/resume/x", nil, west, cut, 502, 1, forwarder.Broken},
		{"a stream is resumed", "/resume/x", nil, nil, cut, 200, 2, forwarder.Served},
		{"nowhere", "/once/x", west, east, answer(200, "a"), 503, 0, forwarder.Confined},
		{"a region that does not exist", "/once/x", []definer.Region{"north"}, nil, answer(200, "a"), 503, 0, forwarder.Confined},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			harness, _ := newConfinedHarness(t, test.first, events(false, "id: 1\ndata: a\n\n"))
			rule := test.path[1 : len(test.path)-2]
			harness.configure(confine(rule, test.rule, test.organisation))
			got, _, err := harness.call(test.path, "", nil)
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, test.status)
			assert.Equal(t, harness.sends(), test.sends)
			assert.Equal(t, harness.records[0].Reason, test.reason)
			if test.reason == forwarder.Confined {
				assert.Assert(t, got.Header.Get("Retry-After") != "" && !harness.records[0].MayHaveRun)
			}
		})
	}
}

// TestEvacuatedDataCentreGetsNothing checks that an evacuation holds for retries of requests that
// are under way when it begins, and that requests return when it ends.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	var confines atomic.Pointer[confiner.Confiner]
	evacuation := confiner.Evacuation{DataCentre: "east"}
	evacuate := func(writer http.ResponseWriter, request *http.Request) {
		confines.Load().Apply([]confiner.Change{{Evacuation: evacuation}})
		full(writer, request)
	}
	harness, confinement := newConfinedHarness(t, evacuate, answer(200, "b"))
	confines.Store(confinement)
	got, _, err := harness.call("/safe/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, harness.sends(), 1)
	confinement.Replace([]confiner.Evacuation{{DataCentre: "west"}})
	got, text, err := harness.call("/once/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Equal(t, text, "b")
	confinement.Replace([]confiner.Evacuation{{DataCentre: "west"}, evacuation})
	got, _, err = harness.call("/once/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, harness.records[2].Reason, forwarder.Confined)
	assert.Equal(t, harness.sends(), 2)
}

// Guards against requests that a node which has just started sends to an evacuated data centre, since it knows the
// upstreams before the evacuations.
func TestNothingIsSentBeforeEvacuationsAreKnown(t *testing.T) {
	harness := newHarness(t, answer(http.StatusOK, "a"))
	confiner := confiner.New(nil, confiner.WithOrders())
	forwarder.WithConfinement(confiner)(harness.forwarder)
	response, _, err := harness.call("/once/", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, !harness.forwarder.Ready(time.Now()))
	assert.Equal(t, harness.sends(), 0)
	confiner.Replace(nil)
	response, _, err = harness.call("/once/", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, harness.forwarder.Ready(time.Now()))
}
