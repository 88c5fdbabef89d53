package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/forwarder"
	"limpetcleat/throttler"
)

// TestStatusesThatPromiseAreNotBelievedUnstated guards against callers that are told that their request has not run, and
// against second sends of it, because of the status alone of an answer that the upstream made by running it.
func TestStatusesThatPromiseAreNotBelievedUnstated(t *testing.T) {
	for _, status := range []int{
		http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
	} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			harness := newHarness(t, answer(status, "text"), answer(http.StatusOK, "text"))
			got, _, err := harness.call("/once/", "body", nil)
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, http.StatusBadGateway)
			assert.Equal(t, harness.sends(), 1)
			assert.DeepEqual(t, harness.evidence, []string{"u0 alive"})
		})
	}
}

// TestNothingIsPromisedAfterAnUnknownSend guards against refusals as not run of requests that an upstream may have run,
// whatever ends them after that.
func TestNothingIsPromisedAfterAnUnknownSend(t *testing.T) {
	for name, test := range map[string]struct {
		second http.HandlerFunc
		// between is called before the connection of the first send is cut.
		between func(harness *harness)
		header  string
		status  int
	}{
		"the second is full":       {second: full, status: http.StatusBadGateway},
		"the second asks for time": {second: withHeader("Retry-After", "1", full), status: http.StatusBadGateway},
		"another has the address":  {second: misdirected, status: http.StatusBadGateway},
		"the second unreachable":   {status: http.StatusBadGateway},
		"a planned stop":           {second: answer(http.StatusOK, "text"), between: func(harness *harness) { harness.forwarder.EndStarts() }, status: http.StatusBadGateway},
		"the time limit":           {second: answer(http.StatusOK, "text"), between: func(*harness) { time.Sleep(200 * time.Millisecond) }, status: http.StatusGatewayTimeout},
		"no upstream is left": {second: answer(http.StatusOK, "text"), between: func(harness *harness) {
			harness.mutex.Lock()
			defer harness.mutex.Unlock()
			harness.upstreams = nil
		}, status: http.StatusBadGateway},
		"no permit": {second: answer(http.StatusOK, "text"), between: func(harness *harness) {
			harness.selector.SetLimited(time.Now(), definer.UpstreamStart{Upstream: "u1"}, true)
		}, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			var harness *harness
			harness = newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
				if test.between != nil {
					test.between(harness)
				}
				cut(writer, request)
			}, test.second)
			if test.second == nil {
				harness.upstreams[1].Address = closedAddress(t)
			}
			harness.take = func(throttler.PermitRequest) throttler.Permit {
				return throttler.Permit{RetryAfter: time.Second}
			}
			got, _, err := harness.call("/safe/", "body", func(request *http.Request) { request.Header.Set("X-Deadline-Ms", "180") })
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, test.status)
			assert.Assert(t, harness.records[0].MayHaveRun)
		})
	}
}

// TestNothingIsPromisedAfterASecondSend guards against refusals as not run while one of two upstreams that were sent a
// request, because the first was silent, may have run it.
func TestNothingIsPromisedAfterASecondSend(t *testing.T) {
	const silence = 300 * time.Millisecond
	late := func(handler http.HandlerFunc, span time.Duration) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			time.Sleep(span)
			handler(writer, request)
		}
	}
	for name, test := range map[string]struct {
		first, second http.HandlerFunc
		status        int
	}{
		"both refuse":                   {late(full, 5*silence), full, http.StatusServiceUnavailable},
		"the second may have run it":    {late(full, 5*silence), answer(http.StatusServiceUnavailable, "busy"), http.StatusBadGateway},
		"the second breaks":             {late(full, 5*silence), cut, http.StatusBadGateway},
		"the first was given up for it": {late(full, 5*silence), late(full, silence), http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			harness := newHarness(t, test.first, test.second)
			got, _, err := harness.call("/safe/", "body", nil)
			assert.NilError(t, err)
			assert.Equal(t, harness.sends(), 2)
			assert.Equal(t, got.StatusCode, test.status)
			assert.Equal(t, harness.records[0].MayHaveRun, test.status != http.StatusServiceUnavailable)
		})
	}
}

// TestNothingIsPromisedWithoutRetryBudget guards against refusals as not run of requests that an upstream may have run
// and that may not be sent again for want of retries.
func TestNothingIsPromisedWithoutRetryBudget(t *testing.T) {
	harness := newHarness(t, cut, full)
	for number := 0; ; number++ {
		assert.Assert(t, number < 100, "the retry budget is not used up")
		got, _, err := harness.call("/safe/", "body", nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusBadGateway)
		if harness.records[number].Unrepeated == forwarder.ObstacleBudget {
			return
		}
	}
}
