package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/forwarder"
	"limpetcleat/gatekeeper"
	"limpetcleat/router"
)

// TestDeniedConnectionsAreBounded checks that a request without leave for a connection goes to other
// upstreams, waits for the last one and is refused as not run.
//
// It guards against an ask at each of many upstreams by each request of a burst.
func TestDeniedConnectionsAreBounded(t *testing.T) {
	for name, test := range map[string]struct {
		upstreams int
		asked     bool
		opens     int
	}{
		"by the issuer":           {20, true, 4},
		"by this node":            {20, false, 8},
		"no further upstream":     {3, false, 3},
		"by the issuer, only one": {1, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			harness := newHarness(t)
			harness.denial = &gatekeeper.Denial{RetryAfter: 900 * time.Millisecond, Asked: test.asked}
			harness.configure(func(definition *router.Definition) {
				definition.Services[0].MaxConnections = 40
				for index := range definition.Rules {
					definition.Rules[index].Objective = time.Minute // The last ask has time left to wait.
				}
			})
			for index := range test.upstreams {
				harness.add(index, closedAddress(t))
			}
			got, _, err := harness.call("/once/x", "", nil)
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, got.Header.Get("Retry-After"), "0.900")
			assert.Equal(t, harness.records[0].Reason, forwarder.Limited)
			assert.Check(t, !harness.records[0].MayHaveRun)
			assert.Equal(t, len(harness.opens), test.opens)
			for index, need := range harness.opens {
				assert.Equal(t, need.Connections, 40)
				assert.Equal(t, need.Patience > 0, index == test.opens-1, "ask %d", index)
			}
		})
	}
}
