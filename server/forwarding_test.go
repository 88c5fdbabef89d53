package server

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// deafCore takes events and does nothing.
type deafCore struct{}

func (deafCore) Submit(decider.Event) {}

// TestRepeatedCallsArePromisedNothing guards against a refusal of one send of a forwarded call that is passed on as a
// promise, while the peer still receives another send of the call and runs it.
func TestRepeatedCallsArePromisedNothing(t *testing.T) {
	cases := []struct {
		name    string
		after   time.Duration
		outcome definer.Outcome
		wanted  definer.Outcome
	}{
		{"refused, sent once", forwardRetryInterval / 2, definer.NotRun, definer.NotRun},
		{"refused, sent twice", forwardRetryInterval * 3 / 2, definer.NotRun, definer.Unknown},
		{"run, sent twice", forwardRetryInterval * 3 / 2, definer.Ran, definer.Ran},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := New(deafCore{}, nil)
				defer server.Close()
				recorder := httptest.NewRecorder()
				active := &activeRequest{
					server: server, arrived: decider.RequestArrived{Request: "r"}, mailbox: server.mailboxes.add("r"), sink: newSink(recorder),
				}
				refusal := failure{status: http.StatusServiceUnavailable, code: "c", message: "m", outcome: test.outcome}
				time.AfterFunc(test.after, func() {
					server.DeliverAnswer(&messenger.CallAnswer{Request: "r", Status: refusal.status, Body: refusal.body(), Outcome: test.outcome})
				})
				active.forward(t.Context(), decider.ForwardCall{Request: "r"})
				assert.Equal(t, recorder.Header().Get(headerOutcome), string(test.wanted))
				assert.Equal(t, strings.Count(recorder.Body.String(), `"outcome":"`+string(test.wanted)+`"`), 2, recorder.Body.String())
			})
		})
	}
}
