package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSilentStreamIsNotCutOffByARejection guards against streams that are given up for an upstream which then
// rejects them, so that nothing is left to go on at.
func TestSilentStreamIsNotCutOffByARejection(t *testing.T) {
	harness := newHarness(t, pausing(pause), full)
	harness.checkWhole()
}

// TestSilentUpstreamAnswersAfterAFailedRepeat guards against silent upstreams that are given up before another
// one has taken the request.
func TestSilentUpstreamAnswersAfterAFailedRepeat(t *testing.T) {
	late := func(writer http.ResponseWriter, request *http.Request) {
		<-time.After(2 * gapTimeout)
		answer(http.StatusOK, secondEvent)(writer, request)
	}
	cases := []struct {
		name, path    string
		first, second http.HandlerFunc
		want          string
	}{
		{"stream, connection closed", "/resume/", pausing(pause), cut, firstEvent + secondEvent},
		{"stream, server error", "/resume/", pausing(pause), answer(http.StatusInternalServerError, "text"), firstEvent + secondEvent},
		{"stream, not found", "/resume/", pausing(pause), answer(http.StatusNotFound, "text"), firstEvent + secondEvent},
		{"answer, rejection", "/safe/", late, full, secondEvent},
		{"answer, connection closed", "/safe/", late, cut, secondEvent},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, test.first, test.second)
			_, text, err := harness.call(test.path, "", unchanged)
			assert.NilError(t, err)
			assert.Equal(t, text, test.want)
			assert.Equal(t, harness.sends(), 2)
		})
	}
}
