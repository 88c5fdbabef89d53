package forwarder_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/forwarder"
)

// TestConnectionClosedByTheNodeIsNotTheCallers guards against requests that a planned stop cuts off and that
// are logged as left by their callers, and against a count of open streams that does not return to 0.
func TestConnectionClosedByTheNodeIsNotTheCallers(t *testing.T) {
	begun := func(writer http.ResponseWriter, request *http.Request) {
		events(false, "id: 1\n\n")(writer, request)
		<-request.Context().Done()
	}
	cases := []struct {
		name    string
		path    string
		serve   http.HandlerFunc
		streams int64
		cut     bool
		reason  forwarder.Reason
	}{
		{"stream that its caller leaves", "/stream/", begun, 1, false, forwarder.Left},
		{"stream that the node cuts off", "/stream/", begun, 1, true, forwarder.Cut},
		{"unanswered request that its caller leaves", "/once/", silent, 0, false, forwarder.Left},
		{"unanswered request that the node cuts off", "/once/", silent, 0, true, forwarder.Cut},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			harness := newHarness(t, test.serve)
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				answer, _, err := harness.call(test.path, "", func(request *http.Request) { *request = *request.WithContext(ctx) })
				if err == nil {
					_, _ = io.Copy(io.Discard, answer.Body)
				}
			}()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if harness.sends() == 1 && harness.forwarder.OpenStreams() == test.streams {
					return poll.Success()
				}
				return poll.Continue("%d streams", harness.forwarder.OpenStreams())
			}, poll.WithTimeout(10*time.Second))
			if test.cut {
				harness.forwarder.Cut()
			}
			cancel()
			<-ended
			<-harness.finished
			harness.mutex.Lock()
			defer harness.mutex.Unlock()
			assert.Equal(t, harness.records[0].Reason, test.reason)
			assert.Equal(t, harness.records[0].Status, 0)
			assert.Equal(t, harness.forwarder.OpenStreams(), int64(0))
		})
	}
}
