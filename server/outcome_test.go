package server_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/dispatcher"
	"limpetcleat/standin/engine"
)

const prompt = "zips #len=20"

// failurePoint is one way in which upstreams fail to serve a request.
type failurePoint struct {
	name          string
	engineFaults  string
	serviceFaults string
	unreachable   bool
	shortTimeouts bool
	timeoutMs     string
	// outcome is the outcome that every failed call must report; if it is empty, any outcome that
	// agrees with the upstreams' records is accepted.
	outcome string
	// complete reports whether idempotent streams must still be complete.
	complete bool
}

func failurePoints() []failurePoint {
	return []failurePoint{
		{name: "none", complete: true},
		{name: "connection refused", unreachable: true, outcome: "notRun"},
		{name: "refused without running", engineFaults: `{"failBefore":50}`, serviceFaults: `{"failBefore":50}`, outcome: "notRun"},
		{name: "error after running", engineFaults: `{"failAfter":50}`, serviceFaults: `{"failAfter":50}`},
		{name: "cut before the first byte", engineFaults: `{"cutAfterTokens":0,"cutCount":50}`, serviceFaults: `{"cutAfterBytes":1,"cutCount":50}`},
		{name: "cut after some tokens", engineFaults: `{"cutAfterTokens":5,"cutCount":1}`, serviceFaults: `{"cutAfterBytes":9,"cutCount":50}`, complete: true},
		{name: "cut each time", engineFaults: `{"cutAfterTokens":2,"cutCount":50}`, serviceFaults: `{"cutAfterBytes":9,"cutCount":50}`},
		{name: "crossed", engineFaults: `{"crossed":50}`, serviceFaults: `{"crossed":50}`},
		{name: "doubled", engineFaults: `{"doubled":50}`, complete: true},
		{name: "stalled", engineFaults: `{"stallMs":600000}`, serviceFaults: `{"stallMs":600000}`, shortTimeouts: true},
		{name: "dead", engineFaults: `{"dead":true}`, serviceFaults: `{"dead":true}`, shortTimeouts: true},
		{name: "deadline", engineFaults: `{"stallMs":600000}`, serviceFaults: `{"stallMs":600000}`, timeoutMs: "300"},
	}
}

// requestForm is one kind of call.
type requestForm struct {
	name, path, body string
}

func requestForms() []requestForm {
	return []requestForm{
		{"stream", "/v1/chat/completions", chat(prompt, true)},
		{"whole", "/v1/chat/completions", chat(prompt, false)},
		{"service", "/services/stock/reservations", `{"zips":12}`},
	}
}

// TestOutcomeIsTrue compares the outcome that a caller receives, at each point of failure, with the
// upstreams' own records of the attempts that they ran.
func TestOutcomeIsTrue(t *testing.T) {
	for _, point := range failurePoints() {
		t.Run(point.name, func(t *testing.T) {
			for _, repeat := range []definer.Repeat{definer.Idempotent, definer.Never, definer.Keyed} {
				system := start(t, point.setup())
				for _, requestForm := range requestForms() {
					t.Run(string(repeat)+" "+requestForm.name, func(t *testing.T) {
						system.t = t
						system.injectFaults(point.engineFaults, point.serviceFaults)
						point.check(system, repeat, requestForm)
					})
				}
			}
		})
	}
}

func (point failurePoint) setup() setup {
	setup := setup{engines: 2}
	if point.unreachable {
		setup.engineAddress, setup.serviceAddress = closedAddress, closedAddress
	}
	if point.shortTimeouts {
		short := 300 * time.Millisecond
		setup.dispatcher = []dispatcher.Option{dispatcher.WithTimeouts(short, short), dispatcher.WithUnstreamedTimeout(short)}
	}
	return setup
}

func (point failurePoint) check(system *system, repeat definer.Repeat, requestForm requestForm) {
	t := system.t
	request := system.request(requestForm.path, requestForm.body, "X-Repeat", string(repeat))
	if repeat == definer.Keyed {
		request.Header.Set("Idempotency-Key", point.name+requestForm.name)
	}
	if point.timeoutMs != "" {
		request.Header.Set("X-Request-Timeout-Ms", point.timeoutMs)
	}
	answer := system.do(request)
	assert.NilError(t, answer.Err)
	id := answer.Header.Get("X-Request-Id")
	assert.Assert(t, id != "")
	runs := system.runs(id)
	outcome := answer.Outcome
	t.Logf("status %d, outcome %s, runs %d", answer.Status, outcome, runs)
	if outcome == "notRun" {
		assert.Equal(t, runs, 0, answer.Body)
	}
	if outcome == "ran" {
		assert.Assert(t, runs > 0, answer.Body)
	}
	if repeat != definer.Idempotent {
		assert.Assert(t, runs <= 1, "the request ran %d times", runs)
	}
	if !answer.Failed {
		assert.Equal(t, outcome, "ran")
		if requestForm.name != "service" {
			assert.Equal(t, answer.Text, expected(prompt, 20))
		}
		return
	}
	assert.Assert(t, !point.complete || requestForm.name == "service" || repeat != definer.Idempotent, answer.Body)
	assert.Assert(t, outcome == "notRun" || outcome == "unknown" || outcome == "ran", outcome)
	if point.outcome != "" {
		assert.Equal(t, outcome, point.outcome, answer.Body)
	}
	if answer.Status != http.StatusOK {
		assert.Equal(t, answer.Header.Get("X-Outcome"), outcome)
	}
	mayRepeat := repeat == definer.Idempotent || outcome == "notRun"
	assert.Equal(t, answer.Header.Get("Retry-After") != "", mayRepeat && answer.Status != http.StatusOK, answer.Body)
}

// TestCallerLeaves checks that the work for a disconnected caller is cancelled, except for a call
// with an idempotency key: its answer is completed and, if it can be stored, replayed to a retry.
func TestCallerLeaves(t *testing.T) {
	system := start(t, setup{engine: []engine.Option{engine.WithResumeGrace(time.Hour)}})
	cases := []struct {
		repeat definer.Repeat
		stream bool
		tokens int
		// status is the status of the retry; 0 when there is no retry.
		status int
	}{
		{definer.Idempotent, true, 3000, 0},
		{definer.Idempotent, false, 3000, 0},
		{definer.Never, true, 3000, 0},
		{definer.Never, false, 3000, 0},
		{definer.Keyed, true, 1000, http.StatusConflict},
		{definer.Keyed, false, 300, http.StatusOK},
	}
	for _, test := range cases {
		t.Run(fmt.Sprintf("%s, streamed %t", test.repeat, test.stream), func(t *testing.T) {
			system.t = t
			prompt := fmt.Sprintf("zips #len=%d", test.tokens)
			request := func() *http.Request {
				return system.request("/v1/chat/completions", chat(prompt, test.stream), "X-Repeat", string(test.repeat), "Idempotency-Key", t.Name())
			}
			id := system.sendAndDisconnect(request(), test.stream)
			if test.repeat != definer.Keyed {
				record := system.awaitRecord(id, func(record engine.Record) bool { return record.Cancelled })
				assert.Assert(t, record.Tokens < test.tokens)
				return
			}
			record := system.awaitRecord(id, func(record engine.Record) bool { return record.Finished })
			assert.Equal(t, record.Starts, 1)
			answer := system.do(request())
			for strings.Contains(answer.Body, "keyInUse") {
				assert.Equal(t, answer.Outcome, "unknown")
				assert.Assert(t, answer.Header.Get("Retry-After") != "")
				answer = system.do(request())
			}
			assert.Equal(t, answer.Status, test.status, answer.Body)
			assert.Equal(t, answer.Outcome, "ran")
			assert.Equal(t, system.runs(answer.Header.Get("X-Request-Id")), 0, "the retry must not run")
			if test.status == http.StatusOK {
				assert.Equal(t, answer.Header.Get("Idempotency-Replayed"), "true")
				assert.Equal(t, answer.Text, expected(prompt, test.tokens))
			}
		})
	}
}

// TestCutStreamsGoOn checks that an engine computes no token twice for a stream that is interrupted
// and resumed.
func TestCutStreamsGoOn(t *testing.T) {
	system := start(t, setup{engine: []engine.Option{engine.WithResumeGrace(time.Hour)}})
	system.injectFaults(`{"cutAfterTokens":5,"cutCount":1}`, "")
	answer := system.do(system.request("/v1/chat/completions", chat(prompt, true)))
	assert.Equal(t, answer.Text, expected(prompt, 20), answer.Body)
	assert.Equal(t, strings.Count(answer.Body, "[DONE]"), 1)
	records := system.records(answer.Header.Get("X-Request-Id"))
	assert.Equal(t, len(records), 1)
	assert.Equal(t, records[0].Starts, 1)
	assert.Equal(t, records[0].Tokens, 20)
	assert.Equal(t, records[0].Discarded, 0)
}
