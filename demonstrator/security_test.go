package demonstrator_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"limpetcleat"
	"limpetcleat/demonstrator"
	"limpetcleat/logger"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answer is what one call came to.
type answer struct {
	status int
	header http.Header
	body   string
}

// call makes one call under a bearer token.
func call(t *testing.T, method, address, path, token, body string, headers ...string) answer {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(t, err)
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	for index := 0; index < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return answer{status: response.StatusCode, header: response.Header, body: string(data)}
}

func start(t *testing.T, options ...limpetcleat.Option) *demonstrator.System {
	t.Helper()
	system, err := demonstrator.Start(t.Context(), "127.0.0.1:0", demonstrator.ButtonsKey, options...)
	assert.NilError(t, err)
	t.Cleanup(system.Stop)
	return system
}

func TestKeysAndTokensOpenTheirOwnDoorOnly(t *testing.T) {
	system := start(t)
	callers, operators := system.Callers()[0], system.Operators()[0]
	cases := []struct {
		name, method, address, path, token string
		status                             int
	}{
		{"caller's key to callers", http.MethodGet, callers, "/v1/models", demonstrator.ButtonsKey, 200},
		{"operators' token to callers", http.MethodGet, callers, "/v1/models", demonstrator.OperatorToken, 401},
		{"nothing to callers", http.MethodGet, callers, "/v1/models", "", 401},
		{"hash of a key to callers", http.MethodGet, callers, "/v1/models", hash(system), 401},
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
			assert.Equal(t, call(t, test.method, test.address, test.path, test.token, "").status, test.status)
		})
	}
	assert.Equal(t, call(t, http.MethodGet, operators, "/status", demonstrator.OperatorToken, "").status, 200, "no drain began")
}

// hash returns the stored form of the first organisation's key.
func hash(*demonstrator.System) string {
	return demonstrator.Document(demonstrator.ButtonsKey, nil, nil).Organisations[0].KeyHashes[0]
}

// TestNothingTellsASecret looks for keys, prompts and answers where operators
// look, after requests that were served, refused and malformed.
func TestNothingTellsASecret(t *testing.T) {
	var lines bytes.Buffer
	system := start(t, limpetcleat.WithLogger(logger.New(&lines, logger.WithLevel(logger.Debug))))
	const prompt, wrongKey, idempotencyKey = "the-tailor-waits", "a-key-that-nobody-has", "reservation-of-the-tailor"
	address := system.Callers()[0]
	served := call(t, http.MethodPost, address, "/v1/completions", demonstrator.ButtonsKey, `{"model":"`+demonstrator.ModelName+`","prompt":"`+prompt+`","max_tokens":5}`)
	assert.Equal(t, served.status, 200, served.body)
	var completion struct{ Choices []struct{ Text string } }
	assert.NilError(t, json.Unmarshal([]byte(served.body), &completion))
	refused := call(t, http.MethodPost, address, "/v1/completions", demonstrator.ButtonsKey, `{"model":"none","prompt":"`+prompt+`"}`)
	assert.Equal(t, refused.status, 404, refused.body)
	assert.Equal(t, call(t, http.MethodPost, address, "/v1/completions", wrongKey, "{}").status, 401)
	assert.Equal(t, call(t, http.MethodPost, address, "/services/stock/reservations", demonstrator.ButtonsKey, prompt, "Idempotency-Key", idempotencyKey).status, 200)
	assert.Equal(t, call(t, http.MethodPost, system.Operators()[0], "/drain", wrongKey, "").status, 401)
	configuration := call(t, http.MethodGet, system.Operators()[0], "/configuration", demonstrator.OperatorToken, "").body
	metrics := call(t, http.MethodGet, system.Operators()[0], "/metrics", demonstrator.OperatorToken, "").body
	system.Stop()

	text := lines.String()
	secrets := []string{
		prompt, wrongKey, idempotencyKey, demonstrator.ButtonsKey, demonstrator.RepliesKey, demonstrator.OperatorToken, completion.Choices[0].Text,
	}
	for _, secret := range secrets {
		assert.Assert(t, !strings.Contains(text, secret), "%q is in the log", secret)
		assert.Assert(t, !strings.Contains(configuration, secret), "%q is in the configuration", secret)
		assert.Assert(t, !strings.Contains(metrics, secret), "%q is in the metrics", secret)
	}
	request := served.header.Get("X-Request-Id")
	ended := line(t, text, "eventName=requestEnded", "request="+request)
	for _, part := range []string{"class=counterQuery", "outcome=ran", "complete=true", "reason=", "organisation=buttons", "tokens=", "total="} {
		assert.Assert(t, strings.Contains(ended, part), "%q is missing in %q", part, ended)
	}
	line(t, text, "eventName=requestRefused", "request="+refused.header.Get("X-Request-Id"), "reason=noModel", "outcome=notRun")
	line(t, text, "eventName=requestEnded", "request="+refused.header.Get("X-Request-Id"), "reason=noModel")
	line(t, text, "eventName=operatorRejected", "path=/drain")
	for _, each := range strings.Split(text, "\n") {
		if strings.Contains(each, "eventName=request") || strings.Contains(each, "eventName=attempt") {
			assert.Assert(t, strings.Contains(each, " request="), each)
		}
	}
}

// line returns the one line that holds all parts.
func line(t *testing.T, text string, parts ...string) string {
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

// TestKeysOfTwoOrganisationsAreApart uses one Idempotency-Key in both: each
// gets its own run, and a repeat its own answer.
func TestKeysOfTwoOrganisationsAreApart(t *testing.T) {
	system := start(t)
	reserve := func(node int, key, body string) answer {
		return call(t, http.MethodPost, system.Callers()[node], "/services/stock/reservations", key, body, "Idempotency-Key", "order-7")
	}
	first := reserve(0, demonstrator.ButtonsKey, "ten zips")
	assert.Equal(t, first.status, 200, first.body)
	second := reserve(1, demonstrator.RepliesKey, "ten zips")
	assert.Equal(t, second.status, 200, second.body)
	assert.Equal(t, second.header.Get("Idempotency-Replayed"), "")
	assert.Assert(t, first.body != second.body, "both have an answer of their own")
	for _, node := range []int{0, 1} {
		again := reserve(node, demonstrator.ButtonsKey, "ten zips")
		assert.Equal(t, again.body, first.body)
		assert.Equal(t, again.header.Get("Idempotency-Replayed"), "true")
		again = reserve(node, demonstrator.RepliesKey, "ten zips")
		assert.Equal(t, again.body, second.body)
	}
	assert.Equal(t, reserve(0, demonstrator.ButtonsKey, "eleven zips").status, 422, "the key is for another call")
}
