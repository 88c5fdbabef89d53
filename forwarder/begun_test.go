package forwarder_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
)

// TestBegunIsToldOnce checks that a request is reported as begun exactly once, however often
// it was sent, and not at all if no upstream has answered or all state that it did not run.
func TestBegunIsToldOnce(t *testing.T) {
	cases := []struct {
		name      string
		path      string
		upstreams []http.HandlerFunc
		begun     int
	}{
		{"served", "/once/", []http.HandlerFunc{answer(200, "text")}, 1},
		{"failed by its upstream", "/once/", []http.HandlerFunc{answer(500, "oops")}, 1},
		{"failed, and served by another", "/safe/", []http.HandlerFunc{answer(500, "oops"), answer(200, "text")}, 1},
		{"turned away, not run", "/once/", []http.HandlerFunc{full}, 0},
		{"turned away, then served", "/safe/", []http.HandlerFunc{full, answer(200, "text")}, 1},
		{"nothing came back", "/once/", []http.HandlerFunc{cut}, 0},
		{"a stream", "/stream/", []http.HandlerFunc{events(false, "id: 1\n\n", "id: 2\n\n")}, 1},
		{"a stream that breaks off", "/stream/", []http.HandlerFunc{events(true, "id: 1\n\n")}, 1},
		{"a stream that is resumed", "/resume/", []http.HandlerFunc{events(true, "id: 1\n\n"), events(false, "id: 2\n\n")}, 1},
		{"a stream broken before its first event", "/stream/", []http.HandlerFunc{cut}, 0},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, test.upstreams...)
			_, _, _ = harness.call(test.path, "", unchanged)
			harness.mutex.Lock()
			defer harness.mutex.Unlock()
			assert.Equal(t, len(harness.begun), test.begun)
			for _, organisation := range harness.begun {
				assert.Equal(t, organisation, definer.OrganisationName("guild"))
			}
		})
	}
}
