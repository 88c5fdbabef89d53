package forwarder_test

import "testing"

// TestSilentStreamIsNotCutOffByARejection guards against streams that are given up for an upstream which then
// rejects them, so that nothing is left to go on at.
func TestSilentStreamIsNotCutOffByARejection(t *testing.T) {
	harness := newHarness(t, pausing(pause), full)
	harness.checkWhole()
}
