package server

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParseCompletion checks that each body is either valid JSON with a model, or refused with
// status 400, a message and a JSON error body.
func FuzzParseCompletion(f *testing.F) {
	f.Add(`{"model":"m","messages":[{"role":"user","content":"x"}],"stream":true}`, true)
	f.Add(`{"model":"m","prompt":["a","b"],"max_tokens":5}`, false)
	f.Add(`{"model":1}`, false)
	f.Add(`{"model":"m","messages":[{"role":{}}]}`, true)
	f.Add(strings.Repeat("[", 100), true)
	f.Fuzz(func(t *testing.T, body string, chat bool) {
		path := "/v1/completions"
		if chat {
			path = "/v1/chat/completions"
		}
		parsed, failure, ok := parseCompletion(path, []byte(body))
		if ok {
			assert.Assert(t, json.Valid([]byte(body)) && parsed.Model != "" && parsed.tokenLimit() >= 0)
			return
		}
		assert.Equal(t, failure.status, 400)
		assert.Assert(t, failure.message != "")
		assert.Assert(t, json.Valid(failure.body()))
	})
}
