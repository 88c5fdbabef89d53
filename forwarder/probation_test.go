package forwarder_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUpstreamsOnProbationServeWhileNoOtherCan guards against callers that are refused since the only listed upstream
// that is not on probation has crashed, and against requests to one on probation while another can serve them.
func TestUpstreamsOnProbationServeWhileNoOtherCan(t *testing.T) {
	ran := make(map[string]int)
	serve := func(name string) http.HandlerFunc {
		return func(writer http.ResponseWriter, request *http.Request) {
			ran[name]++
			answer(http.StatusOK, name)(writer, request)
		}
	}
	harness := newHarness(t, serve("listed"), serve("on probation"))
	harness.mutex.Lock()
	harness.upstreams, harness.onProbation = harness.upstreams[:1], harness.upstreams[1:]
	harness.mutex.Unlock()
	for range 3 {
		response, _, err := harness.call("/once/x", "", unchanged)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.DeepEqual(t, ran, map[string]int{"listed": 3})

	harness.mutex.Lock()
	crashed := *harness.upstreams[0]
	crashed.Address = closedAddress(t)
	harness.upstreams[0] = &crashed
	harness.mutex.Unlock()
	for range 3 {
		response, _, err := harness.call("/once/x", "", unchanged)
		assert.NilError(t, err)
		assert.Equal(t, response.StatusCode, http.StatusOK)
	}
	assert.DeepEqual(t, ran, map[string]int{"listed": 3, "on probation": 3})
}
