package server

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzParseCompletion checks that a body is either taken whole or refused with
// an error that callers can read.
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
			assert.Assert(t, json.Valid([]byte(body)) && parsed.Model != "" && parsed.bound() >= 0)
			return
		}
		assert.Equal(t, failure.status, 400)
		assert.Assert(t, failure.message != "")
		assert.Assert(t, json.Valid(failure.body()))
	})
}
