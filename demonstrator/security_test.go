package demonstrator_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat"
	"limpetcleat/demonstrator"
	"limpetcleat/logger"
	"limpetcleat/standin/caller"
)

// storageTimeout is the time limit for storing the end of a call, equal to the time that a graceful
// shutdown waits for it.
const storageTimeout = 5 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// call sends a call with a bearer token and returns the reply.
func call(t *testing.T, method, address, path, token, body string, key ...string) caller.Reply {
	t.Helper()
	call := caller.Call{Method: method, Path: path, APIKey: token, Body: strings.NewReader(body), IdempotencyKey: strings.Join(key, "")}
	reply := caller.New().Send(t.Context(), address, call)
	assert.NilError(t, reply.Err)
	return reply
}

// startSystem starts the demonstration and stops it at the end of the test.
func startSystem(t *testing.T, options ...limpetcleat.Option) *demonstrator.System {
	t.Helper()
	system, err := demonstrator.Start(t.Context(), "127.0.0.1:0", demonstrator.ButtonsKey, options...)
	assert.NilError(t, err)
	t.Cleanup(system.Stop)
	return system
}

// TestKeysAndTokensOpenTheirOwnDoorOnly checks that API keys are accepted only at the callers'
// address and operators' tokens only at the operators' address.
func TestKeysAndTokensOpenTheirOwnDoorOnly(t *testing.T) {
	system := startSystem(t)
	callers, operators := system.Callers()[0], system.Operators()[0]
	cases := []struct {
		name, method, address, path, token string
		status                             int
	}{
		{"caller's key to callers", http.MethodGet, callers, "/v1/models", demonstrator.ButtonsKey, 200},
		{"operators' token to callers", http.MethodGet, callers, "/v1/models", demonstrator.OperatorToken, 401},
		{"nothing to callers", http.MethodGet, callers, "/v1/models", "", 401},
		{"hash of a key to callers", http.MethodGet, callers, "/v1/models", buttonsKeyHash(system), 401},
		{"operators' token to operators", http.MethodGet, operators, "/status", demonstrator.OperatorToken, 200},
		{"caller's key to operators", http.MethodGet, operators, "/status", demonstrator.ButtonsKey, 401},
		{"caller's key to the metrics", http.MethodGet, operators, "/metrics", demonstrator.ButtonsKey, 401},
		{"caller's key to the configuration", http.MethodGet, operators, "/configuration", demonstrator.ButtonsKey, 401},
		{"caller's key to drain", http.MethodPost, operators, "/drain", demonstrator.ButtonsKey, 401},
		{"nothing to the counts", http.MethodGet, operators, "/snapshot", "", 401},
		{"beginning of the token", http.MethodGet, operators, "/status", demonstrator.OperatorToken[:5], 401},
		{"operators' paths at the callers' address", http.MethodGet, callers, "/status", demonstrator.OperatorToken, 404},
		{"callers' paths at the operators' address", http.MethodGet, operators, "/v1/models", demonstrator.ButtonsKey, 404},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, call(t, test.method, test.address, test.path, test.token, "").Status, test.status)
		})
	}
	assert.Equal(t, call(t, http.MethodGet, operators, "/status", demonstrator.OperatorToken, "").Status, 200, "the node must not be draining")
}

// buttonsKeyHash returns the stored form of the first Organisation's key.
func buttonsKeyHash(*demonstrator.System) string {
	return demonstrator.Document(demonstrator.ButtonsKey, nil, nil).Organisations[0].KeyHashes[0]
}

// TestNothingTellsASecret checks that the log, the configuration and the metrics contain no keys,
// tokens, prompts or answers after requests that were served, refused or not authenticated. It also
// checks the log entries of these requests.
func TestNothingTellsASecret(t *testing.T) {
	var lines bytes.Buffer
	system := startSystem(t, limpetcleat.WithLogger(logger.New(&lines, logger.WithLevel(logger.Debug))))
	const prompt, wrongKey, idempotencyKey = "the-tailor-waits", "a-key-that-nobody-has", "reservation-of-the-tailor"
	address := system.Callers()[0]
	served := call(t, http.MethodPost, address, "/v1/completions", demonstrator.ButtonsKey, `{"model":"`+demonstrator.ModelName+`","prompt":"`+prompt+`","max_tokens":5}`)
	assert.Equal(t, served.Status, 200, served.Body)
	var completion struct{ Choices []struct{ Text string } }
	assert.NilError(t, json.Unmarshal([]byte(served.Body), &completion))
	refused := call(t, http.MethodPost, address, "/v1/completions", demonstrator.ButtonsKey, `{"model":"none","prompt":"`+prompt+`"}`)
	assert.Equal(t, refused.Status, 404, refused.Body)
	assert.Equal(t, call(t, http.MethodPost, address, "/v1/completions", wrongKey, "{}").Status, 401)
	assert.Equal(t, call(t, http.MethodPost, address, "/services/stock/reservations", demonstrator.ButtonsKey, prompt, idempotencyKey).Status, 200)
	assert.Equal(t, call(t, http.MethodPost, system.Operators()[0], "/drain", wrongKey, "").Status, 401)
	configuration := call(t, http.MethodGet, system.Operators()[0], "/configuration", demonstrator.OperatorToken, "").Body
	metrics := call(t, http.MethodGet, system.Operators()[0], "/metrics", demonstrator.OperatorToken, "").Body
	system.Stop()

	text := lines.String()
	secrets := []string{
		prompt, wrongKey, idempotencyKey, demonstrator.ButtonsKey, demonstrator.RepliesKey, demonstrator.OperatorToken, completion.Choices[0].Text,
	}
	for _, secret := range secrets {
		assert.Assert(t, !strings.Contains(text, secret), "the log contains %q", secret)
		assert.Assert(t, !strings.Contains(configuration, secret), "the configuration contains %q", secret)
		assert.Assert(t, !strings.Contains(metrics, secret), "the metrics contain %q", secret)
	}
	request := served.Header.Get("X-Request-Id")
	ended := findLine(t, text, "eventName=requestEnded", "request="+request)
	for _, part := range []string{"class=counterQuery", "outcome=ran", "complete=true", "reason=", "organisation=buttons", "tokens=", "total="} {
		assert.Assert(t, strings.Contains(ended, part), "%q is missing from %q", part, ended)
	}
	findLine(t, text, "eventName=requestRefused", "request="+refused.Header.Get("X-Request-Id"), "reason=noModel", "outcome=notRun")
	findLine(t, text, "eventName=requestEnded", "request="+refused.Header.Get("X-Request-Id"), "reason=noModel")
	findLine(t, text, "eventName=operatorRejected", "path=/drain")
	for _, each := range strings.Split(text, "\n") {
		if strings.Contains(each, "eventName=request") || strings.Contains(each, "eventName=attempt") {
			assert.Assert(t, strings.Contains(each, " request="), each)
		}
	}
}

// findLine returns the only line that contains all parts.
func findLine(t *testing.T, text string, parts ...string) string {
	t.Helper()
	var found []string
	for _, line := range strings.Split(text, "\n") {
		all := true
		for _, part := range parts {
			all = all && strings.Contains(line, part)
		}
		if all {
			found = append(found, line)
		}
	}
	assert.Equal(t, len(found), 1, "%v in %s", parts, text)
	return found[0]
}

// TestKeysOfTwoOrganisationsAreApart checks that the same Idempotency-Key in two Organisations
// identifies two calls: each is executed once, and a repetition gets the stored answer of its own
// Organisation.
func TestKeysOfTwoOrganisationsAreApart(t *testing.T) {
	system := startSystem(t)
	reserve := func(node int, key, body string) caller.Reply {
		return call(t, http.MethodPost, system.Callers()[node], "/services/stock/reservations", key, body, "order-7")
	}
	first := reserve(0, demonstrator.ButtonsKey, "ten zips")
	assert.Equal(t, first.Status, 200, first.Body)
	second := reserve(1, demonstrator.RepliesKey, "ten zips")
	assert.Equal(t, second.Status, 200, second.Body)
	assert.Equal(t, second.Header.Get("Idempotency-Replayed"), "")
	assert.Assert(t, first.Body != second.Body, "the Organisations must get different answers")
	// replayed repeats a call until it gets the stored answer. The answer is stored after it has
	// been sent; until then, and only then, nodes other than the one that executed the call
	// respond with 409 keyInUse and a Retry-After header.
	replayed := func(node, ranAt int, key string) caller.Reply {
		var again caller.Reply
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			again = reserve(node, key, "ten zips")
			if node == ranAt || again.Status != http.StatusConflict {
				return poll.Success()
			}
			assert.Assert(t, strings.Contains(again.Body, "keyInUse"), again.Body)
			assert.Assert(t, again.Header.Get("Retry-After") != "", again.Body)
			return poll.Continue("the answer is not stored yet")
		}, poll.WithTimeout(storageTimeout), poll.WithDelay(10*time.Millisecond))
		return again
	}
	for _, node := range []int{0, 1} {
		again := replayed(node, 0, demonstrator.ButtonsKey)
		assert.Equal(t, again.Body, first.Body)
		assert.Equal(t, again.Header.Get("Idempotency-Replayed"), "true")
		again = replayed(node, 1, demonstrator.RepliesKey)
		assert.Equal(t, again.Body, second.Body)
		assert.Equal(t, again.Header.Get("Idempotency-Replayed"), "true")
	}
	assert.Equal(t, reserve(0, demonstrator.ButtonsKey, "eleven zips").Status, 422, "the key belongs to a call with another body")
}
