package server_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/server"
	"limpetcleat/standin/caller"
)

// crasher is a core and a runner that panic at one point.
type crasher struct {
	// point names the point of the panic, as passed to crash.
	point string
	// served receives the actions; it is set before the first event.
	served *server.Server
	mutex  sync.Mutex
	events []decider.Event
}

// crash panics with a nil dereference, as a programming error does, if at is the chosen point.
func (crasher *crasher) crash(at string) {
	if crasher.point == at {
		var missing *definer.Class
		_ = missing.Name()
	}
}

func (crasher *crasher) Submit(event decider.Event) {
	crasher.mutex.Lock()
	crasher.events = append(crasher.events, event)
	crasher.mutex.Unlock()
	switch event := event.(type) {
	case decider.RequestArrived:
		crasher.crash("arrival")
		crasher.served.DeliverAction(event.Request, decider.StartAttempt{Request: event.Request, Attempt: "1"})
	case decider.AttemptEnded:
		crasher.crash("end")
		refusal := decider.Refusal{Status: http.StatusBadGateway, Reason: "upstreamFailed", Outcome: definer.Unknown}
		if event.Result != decider.AttemptBroken {
			refusal.Outcome = definer.NotRun
		}
		crasher.served.DeliverAction(event.Request, decider.RefuseRequest{Request: event.Request, Refusal: refusal})
	}
}

func (crasher *crasher) Run(_ context.Context, start decider.StartAttempt, _ dispatcher.Exchange, sink dispatcher.Sink, _ dispatcher.Progress) decider.AttemptEnded {
	if crasher.point == "stream" {
		sink.Begin(http.StatusOK, http.Header{})
	}
	crasher.crash("run")
	crasher.crash("stream")
	return decider.AttemptEnded{Request: start.Request, Attempt: start.Attempt, Result: decider.AttemptUnsent}
}

func TestCrashesAreAnswered(t *testing.T) {
	cases := []struct {
		at, key    string
		status     int
		outcome    string
		retryAfter bool
		left       bool
	}{
		{at: "nowhere", status: http.StatusBadGateway, outcome: "notRun"},
		{at: "arrival", status: http.StatusInternalServerError, outcome: "notRun", retryAfter: true, left: true},
		{at: "arrival", key: "k", status: http.StatusInternalServerError, outcome: "unknown", left: true},
		{at: "run", status: http.StatusBadGateway, outcome: "unknown"},
		{at: "stream", status: http.StatusOK, outcome: "unknown"},
		{at: "end", status: http.StatusInternalServerError, outcome: "unknown", left: true},
	}
	system := &system{t: t, serviceAddress: closedAddress, engineAddresses: []string{closedAddress}, setup: setup{slots: 1}}
	configuration, err := definer.Build(1, system.document())
	assert.NilError(t, err)
	for _, test := range cases {
		t.Run(test.at+test.key, func(t *testing.T) {
			crasher := &crasher{point: test.at}
			crashes := 0
			served := server.New(crasher, crasher, server.WithCrashHandler(func(id definer.RequestID, cause any, stack []byte) {
				assert.Assert(t, id != "" && cause != nil && len(stack) > 0)
				crashes++
			}))
			crasher.served = served
			served.Apply(configuration)
			request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(chat(prompt, true)))
			request.Header.Set("Authorization", "Bearer "+apiKey)
			request.Header.Set("Idempotency-Key", test.key)
			recorder := httptest.NewRecorder()
			served.Handler().ServeHTTP(recorder, request)
			answer := caller.ReadReply(recorder.Result(), nil)
			assert.Equal(t, answer.Status, test.status)
			assert.Equal(t, answer.Outcome, test.outcome)
			assert.Equal(t, answer.Header.Get("Retry-After") != "", test.retryAfter)
			assert.Equal(t, crashes > 0, test.at != "nowhere")
			_, left := crasher.events[len(crasher.events)-1].(decider.CallerLeft)
			assert.Equal(t, left, test.left, "whether the last event is CallerLeft, so that the core ends the request")
			served.Close()
		})
	}
}
