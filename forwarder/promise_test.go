package forwarder_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
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
