package engine_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"limpetcleat/standin/engine"
	"limpetcleat/standin/runner"
)

const (
	// slowFaults makes a response of some hundred tokens last for seconds, so that a test can act
	// during it.
	slowFaults = `{"slowFactor":200}`
	// crawlFaults effectively stops the computation until the factor is reset.
	crawlFaults = `{"slowFactor":1e7}`
)

func TestAnswers(t *testing.T) {
	prompt := "zips #len=12 #len=3"
	cases := []struct {
		name   string
		call   completionCall
		text   string
		reason string
		usage  int
	}{
		{"streamed", completionCall{}, expectedText(prompt, 0, 12), "stop", 12},
		{"streamed with a usage chunk", completionCall{usage: true}, expectedText(prompt, 0, 12), "stop", 12},
		{"whole", completionCall{whole: true}, expectedText(prompt, 0, 12), "stop", 12},
		{"bounded", completionCall{maxTokens: 5}, expectedText(prompt, 0, 5), "length", 5},
		{"bounded and whole", completionCall{maxTokens: 5, whole: true}, expectedText(prompt, 0, 5), "length", 5},
		{"from an offset", completionCall{offset: 7, resume: true}, expectedText(prompt, 7, 12), "stop", 12},
		{"from an offset and whole", completionCall{offset: 7, resume: true, whole: true}, expectedText(prompt, 7, 12), "stop", 12},
		{"from the end", completionCall{offset: 12, resume: true}, "", "stop", 12},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := startEngine(t)
			test.call.attempt, test.call.prompt = "a1", prompt
			result := client.complete(test.call)
			assert.Equal(t, result.text, test.text)
			assert.Equal(t, result.finishReason, test.reason)
			assert.Equal(t, result.headerAttemptID, "a1")
			assert.Equal(t, result.chunkAttemptID, "a1")
			assert.Equal(t, result.done, !test.call.whole)
			if test.call.offset < 12 || test.call.usage {
				assert.Equal(t, result.usage.CompletionTokens, test.usage)
			}
			record := client.record("a1")
			assert.Assert(t, record.Finished && record.Starts == 1)
			assert.Equal(t, record.Tokens, test.usage-test.call.offset)
		})
	}
}

func TestPromptOfAndLengths(t *testing.T) {
	cases := []struct{ body, prompt string }{
		{`{"prompt":"a"}`, "a"},
		{`{"prompt":["a","b"]}`, "a\nb"},
		{`{"messages":[{"role":"system","content":"s"},{"role":"user","content":[{"type":"text","text":"u"}]}]}`, "system: s\nuser: u\n"},
	}
	for _, test := range cases {
		prompt, err := engine.PromptFromBody([]byte(test.body))
		assert.NilError(t, err)
		assert.Equal(t, prompt, test.prompt)
	}
	_, err := engine.PromptFromBody([]byte("{"))
	var refusal *engine.Error
	assert.Assert(t, cmp.ErrorType(err, refusal))
	client := startEngine(t, engine.WithResponseLengths(3, 4))
	result := client.complete(completionCall{attempt: "a1", prompt: "buttons"})
	assert.Assert(t, len(result.indexes) == 3 || len(result.indexes) == 4)
	assert.Equal(t, result.text, expectedText("buttons", 0, len(result.indexes)))
}

func TestRefusals(t *testing.T) {
	cases := []struct {
		name, before, body string
		call               completionCall
		status             int
		notRun             bool
	}{
		{name: "unknown model", call: completionCall{model: "x"}, status: 404, notRun: true},
		{name: "leaving", before: "/admin/leave", body: "{}", status: 503, notRun: true},
		{name: "fault before", before: "/faults", body: `{"failBefore":1}`, status: 503, notRun: true},
		{name: "fault after", before: "/faults", body: `{"failAfter":1}`, status: 500},
		{name: "offset past the end", call: completionCall{resume: true, offset: 9}, status: 400, notRun: true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := startEngine(t)
			if test.before != "" {
				client.post(test.before, test.body)
			}
			test.call.attempt, test.call.prompt = "a1", "x #len=8"
			result := client.complete(test.call)
			assert.Equal(t, result.status, test.status)
			assert.Equal(t, result.notRun, test.notRun)
			assert.Equal(t, client.record("a1").Started, !test.notRun)
		})
	}
}

func TestAKnownAttemptDoesNotRunAgain(t *testing.T) {
	client := startEngine(t)
	client.complete(completionCall{attempt: "a1", prompt: "x #len=8"})
	again := client.complete(completionCall{attempt: "a1", prompt: "x #len=8"})
	assert.Equal(t, again.status, 409)
	assert.Assert(t, !again.notRun, "the attempt has run")
	assert.Equal(t, client.record("a1").Starts, 1)
	client.post("/admin/leave", "{}")
	other := client.complete(completionCall{attempt: "a1", prompt: "another", resume: true})
	assert.Assert(t, other.status == 400 && !other.notRun)
}

func TestANewReaderReplacesTheOld(t *testing.T) {
	client := startEngine(t)
	client.post("/faults", slowFaults)
	old, err := client.open(completionCall{attempt: "a1", prompt: "x #len=200"})
	assert.NilError(t, err)
	seen := old.read(untilTokens(2))
	client.post("/faults", crawlFaults)
	fresh, err := client.open(completionCall{attempt: "a1", prompt: "x #len=200", resume: true, offset: 1})
	assert.NilError(t, err)
	rest := old.read(nil)
	assert.Assert(t, rest.truncated)
	assert.Equal(t, seen.text+rest.text, expectedText("x #len=200", 0, len(seen.indexes)+len(rest.indexes)))
	client.post("/faults", `{"slowFactor":1}`)
	assert.Equal(t, fresh.read(nil).text, expectedText("x #len=200", 1, 200))
	assert.Equal(t, client.record("a1").Tokens, 200)
}

func TestTextCompletionsAndModels(t *testing.T) {
	client := startEngine(t)
	client.post("/faults", `{"crossed":1}`)
	for _, crossed := range []bool{true, false} {
		_, body := client.post("/v1/completions", `{"model":"m","prompt":"x #len=4"}`)
		want := engine.ResponseText(model, "x #len=4", 0, 4)
		assert.Equal(t, strings.Contains(body, `"text":"`+want), !crossed, body)
	}
	status, _ := client.post("/v1/completions", `{"model":"m","prompt":"x","max_tokens":0}`)
	assert.Equal(t, status, 400)
	var models struct{ Data []struct{ ID string } }
	client.get("/v1/models", &models)
	assert.Equal(t, models.Data[0].ID, model)
}

func TestStreamFaults(t *testing.T) {
	prompt := "x #len=10"
	cases := []struct {
		name, faults string
		text         string
		cut, crossed bool
	}{
		{"none", `{}`, expectedText(prompt, 0, 10), false, false},
		{"stalled and slow", `{"stallMs":5,"slowFactor":2}`, expectedText(prompt, 0, 10), false, false},
		{"cut", `{"cutAfterTokens":4,"cutCount":1}`, expectedText(prompt, 0, 4), true, false},
		{"cut before the end mark", `{"cutAfterTokens":99,"cutCount":1}`, expectedText(prompt, 0, 10), true, false},
		{"doubled", `{"doubled":1}`, expectedText(prompt, 0, 6) + expectedText(prompt, 5, 10), false, false},
		{"crossed", `{"crossed":1}`, engine.ResponseText(model, "other", 0, 10), false, true},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := startEngine(t)
			client.complete(completionCall{attempt: "other", prompt: "o #len=1"})
			client.post("/faults", test.faults)
			result := client.complete(completionCall{attempt: "a1", prompt: prompt})
			assert.Equal(t, result.text, test.text)
			assert.Equal(t, result.truncated, test.cut)
			assert.Equal(t, result.done, !test.cut)
			assert.Equal(t, result.headerAttemptID == "other" && result.chunkAttemptID == "other", test.crossed)
			next := client.complete(completionCall{attempt: "a2", prompt: prompt})
			assert.Equal(t, next.text, expectedText(prompt, 0, 10), "the fault count is used up")
		})
	}
}

func TestACutStreamResumesWithoutComputingAgain(t *testing.T) {
	client := startEngine(t, engine.WithResumeGrace(time.Minute))
	prompt := "x #len=500"
	client.post("/faults", `{"cutAfterTokens":4,"cutCount":1}`)
	cut := client.complete(completionCall{attempt: "a1", prompt: prompt})
	assert.Assert(t, cut.truncated)
	parked := client.await("a1", func(record engine.Record) bool { return record.Tokens >= 4+64 })
	assert.Equal(t, parked.Starts, 1)
	rest := client.complete(completionCall{attempt: "a1", prompt: prompt, resume: true, offset: 3})
	assert.Equal(t, rest.text, expectedText(prompt, 3, 500))
	record := client.record("a1")
	assert.Equal(t, record.Tokens, 500)
	assert.Equal(t, record.Starts, 1)
	assert.Equal(t, record.Sent, 500)

	elsewhere := startEngine(t)
	rest = elsewhere.complete(completionCall{attempt: "a1", prompt: prompt, resume: true, offset: 4})
	assert.Equal(t, rest.text, expectedText(prompt, 4, 500))
	assert.Equal(t, elsewhere.record("a1").Tokens, 496)
}

func TestAClientThatLeftIsGivenUpAfterTheGrace(t *testing.T) {
	client := startEngine(t, engine.WithResumeGrace(500*time.Millisecond))
	stream, err := client.open(completionCall{attempt: "a1", prompt: "x #len=100000"})
	assert.NilError(t, err)
	stream.read(untilTokens(3))
	stream.disconnect()
	record := client.await("a1", func(record engine.Record) bool { return record.Cancelled })
	assert.Assert(t, record.Discarded > 0 && record.Discarded == record.Tokens-record.Sent)
	assert.Equal(t, client.runs().DiscardedTokens, int64(record.Discarded))
}

func TestPriorityPausesAndKeepsTokens(t *testing.T) {
	cases := []struct {
		name        string
		priority    int
		preemptible bool
		paused      bool
	}{
		{"less urgent and preemptible", 3, true, true},
		{"less urgent, not preemptible", 3, false, false},
		{"as urgent", 1, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			client := startEngine(t, engine.WithMaxRunning(1), engine.WithPrefillTime(0))
			client.post("/faults", slowFaults)
			low, err := client.open(completionCall{
				attempt: "low", prompt: "l #len=400", priority: test.priority, preemptible: test.preemptible,
			})
			assert.NilError(t, err)
			before := low.read(untilTokens(3))
			client.post("/faults", crawlFaults)
			urgentResults := make(chan result, 1)
			go func() {
				urgentResults <- client.complete(completionCall{attempt: "high", prompt: "h #len=20", priority: 1})
			}()
			client.await("high", func(record engine.Record) bool { return record.AttemptID != "" })
			assert.Equal(t, client.record("high").Started, test.paused)
			client.post("/faults", `{"slowFactor":1}`)
			assert.Equal(t, (<-urgentResults).text, expectedText("h #len=20", 0, 20))
			after := low.read(nil)
			assert.Equal(t, before.text+after.text, expectedText("l #len=400", 0, 400))
			record := client.record("low")
			assert.Equal(t, record.Pauses == 1, test.paused)
			assert.Equal(t, strings.Contains(after.events, "event: paused;event: resumed;"), test.paused)
			assert.Equal(t, record.Tokens, 400, "nothing is computed twice")
		})
	}
}

func TestQueueIsBoundedAndInOrderOfPriority(t *testing.T) {
	client := startEngine(t, engine.WithMaxRunning(1), engine.WithMaxQueued(2), engine.WithPrefillTime(0))
	running, err := client.open(completionCall{attempt: "running", prompt: "r #len=100000"})
	assert.NilError(t, err)
	running.read(untilTokens(1))
	results := make(chan result, 2)
	for _, waiting := range []completionCall{
		{attempt: "w5", prompt: "w #len=1", priority: 5}, {attempt: "w4", prompt: "w #len=20", priority: 4},
	} {
		go func() { results <- client.complete(waiting) }()
		client.await(waiting.attempt, func(record engine.Record) bool { return record.AttemptID != "" })
	}
	full := client.complete(completionCall{attempt: "full", prompt: "f", priority: 9})
	assert.Assert(t, full.status == 503 && full.notRun)
	assert.Equal(t, client.record("full"), engine.Record{})
	client.post("/faults", crawlFaults)
	_, answer := client.post("/cancel", `{"attemptId":"running"}`)
	assert.Assert(t, strings.Contains(answer, `"state":"cancelled"`), answer)
	assert.Equal(t, running.read(nil).failure, "cancelled")
	client.await("w4", func(record engine.Record) bool { return record.Started })
	assert.Assert(t, !client.record("w5").Started, "the more urgent attempt starts first")
	_, answer = client.post("/cancel", `{"attemptId":"w5"}`)
	assert.Equal(t, answer, `{"state":"cancelled","tokens":0}`)
	cancelled := <-results
	assert.Assert(t, cancelled.status == 503 && cancelled.notRun, "the attempt never started")
	_, answer = client.post("/cancel", `{"attemptId":"none"}`)
	assert.Equal(t, answer, `{"state":"unknown","tokens":0}`)
	client.post("/faults", `{"slowFactor":1}`)
	assert.Assert(t, (<-results).done)
	_, answer = client.post("/cancel", `{"attemptId":"w4"}`)
	assert.Equal(t, answer, `{"state":"done","tokens":20}`)
}

func TestLeavingLetsStreamsGoOn(t *testing.T) {
	client := startEngine(t)
	client.post("/faults", slowFaults)
	stream, err := client.open(completionCall{attempt: "a1", prompt: "x #len=400"})
	assert.NilError(t, err)
	stream.read(untilTokens(1))
	client.post("/admin/leave", "{}")
	assert.Assert(t, !client.record("a1").Finished)
	client.post("/faults", `{"slowFactor":1}`)
	var load engine.LoadReport
	client.get("/load", &load)
	assert.Assert(t, load.Leaving)
	response, err := http.Get(client.url + "/health")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, 503)
	assert.Assert(t, stream.read(nil).done)
}

func TestLoadLagsAndPrefixIsCached(t *testing.T) {
	prompt := strings.Repeat("catalogue ", 100) + "#len=2"
	client := startEngine(t, engine.WithLoadLag(time.Hour))
	first := client.complete(completionCall{attempt: "a1", prompt: prompt})
	second := client.complete(completionCall{attempt: "a2", prompt: prompt + " and more"})
	assert.Equal(t, first.usage.PromptDetails.CachedTokens, 0)
	assert.Assert(t, second.usage.PromptDetails.CachedTokens >= 240)
	var load engine.LoadReport
	client.get("/load", &load)
	assert.Equal(t, load.CachedBlocks, 0, "the load report lags by an hour")

	small := startEngine(t, engine.WithPrefixCacheBlocks(2))
	small.complete(completionCall{attempt: "a1", prompt: prompt})
	again := small.complete(completionCall{attempt: "a2", prompt: prompt})
	assert.Equal(t, again.usage.PromptDetails.CachedTokens, 0, "the cache capacity is 2 blocks")
	small.get("/load", &load)
	assert.Equal(t, load.CachedBlocks, 2)
}

func TestDeadEngineAnswersNothing(t *testing.T) {
	client := startEngine(t)
	client.post("/faults", `{"dead":true}`)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "GET", client.url+"/health", nil)
	assert.NilError(t, err)
	_, err = http.DefaultClient.Do(request)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	client.post("/faults", `{"dead":false}`)
	assert.Assert(t, client.complete(completionCall{attempt: "a1", prompt: "x"}).done)
}

func TestCloseEndsStreamsAndTheLoop(t *testing.T) {
	defer goleak.VerifyNone(t)
	standin := engine.New(engine.WithModels(model), engine.WithClockScale(100))
	running, err := runner.Start(context.Background(), standin, runner.Loopback)
	assert.NilError(t, err)
	client := client{t: t, url: "http://" + running.Address()}
	stream, err := client.open(completionCall{attempt: "a1", prompt: "x #len=100000"})
	assert.NilError(t, err)
	stream.read(untilTokens(2))
	assert.NilError(t, standin.Close())
	assert.Assert(t, stream.read(nil).truncated)
	stream.disconnect()
	assert.NilError(t, running.Wait())
	http.DefaultClient.CloseIdleConnections()
}
