package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/definer"
	"limpetcleat/issuer"
	"limpetcleat/throttler"
)

// TestPermitsInUseAreReturnedOnce guards against places that stay occupied after a request has ended,
// whichever way it ended, and against rejections that are not reported.
func TestPermitsInUseAreReturnedOnce(t *testing.T) {
	cases := []struct {
		name     string
		path     string
		handlers []http.HandlerFunc
		returned []issuer.Outcome
	}{
		{"served", "/once/x", []http.HandlerFunc{answer(200, "a")}, []issuer.Outcome{issuer.Served}},
		{"a stream", "/stream/x", []http.HandlerFunc{events(false, "id: 1\ndata: a\n\n")}, []issuer.Outcome{issuer.Served}},
		{"a failure of its own", "/once/x", []http.HandlerFunc{answer(500, "a")}, []issuer.Outcome{issuer.Served}},
		{"rejected, then served", "/safe/x", []http.HandlerFunc{full, answer(200, "a")}, []issuer.Outcome{issuer.Rejected, issuer.Served}},
		{"a backoff", "/once/x", []http.HandlerFunc{withHeader("Retry-After", "1", full)}, []issuer.Outcome{issuer.Unused}},
		{"another upstream at the address", "/once/x", []http.HandlerFunc{misdirected}, []issuer.Outcome{issuer.Unused}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, test.handlers...)
			harness.rejectionLimit.Limit = definer.LimitTo(6)
			harness.take = func(need throttler.PermitRequest) throttler.Permit {
				assert.Check(t, need.Placed && need.Slots == 64 && need.Service == "pool")
				return throttler.Permit{Granted: true, Holding: &throttler.Holding{}}
			}
			_, _, err := harness.call(test.path, "", nil)
			assert.NilError(t, err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				harness.mutex.Lock()
				defer harness.mutex.Unlock()
				if len(harness.returned) < len(test.returned) {
					return poll.Continue("%v", harness.returned)
				}
				return poll.Success()
			}, poll.WithTimeout(5*time.Second))
			assert.DeepEqual(t, harness.returned, test.returned)
		})
	}
}
