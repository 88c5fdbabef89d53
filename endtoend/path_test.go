package endtoend_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"
)

// TestWholePath sends every kind of call through every entry.
func TestWholePath(t *testing.T) {
	system := startSystem(t)
	for _, entry := range system.entries {
		for _, streamed := range []bool{false, true} {
			for _, call := range []call{completion("a completion by "+entry.name, 12, streamed), chat("a chat by "+entry.name, 12, streamed)} {
				got := entry.send(call)
				assert.Assert(t, got.whole && got.tokens == 12 && got.own(call), "%s %s: %v", entry.name, call.path, got)
			}
		}
		key := "order-by-" + entry.name
		first := entry.send(reservation(key))
		assert.Assert(t, first.whole && gjson.Get(first.body, "runs").Int() == 1, "%s: %v %s", entry.name, first, first.body)
		for _, again := range system.entries {
			assert.Equal(t, again.settle(key).body, first.body)
		}
		assert.Equal(t, system.runs(key), 1)

		wrong := completion("x", 2, false)
		wrong.apiKey = "a-key-of-nobody"
		got := entry.send(wrong)
		assert.Assert(t, got.status == http.StatusUnauthorized && got.notRun(), "%v", got)
		unknown := completion("x", 2, false)
		unknown.body = strings.NewReader(`{"model": "nobody-has-it", "prompt": "x"}`)
		got = entry.send(unknown)
		assert.Assert(t, got.status == http.StatusNotFound && got.notRun(), "%v", got)
		assert.DeepEqual(t, entry.models(t), []string{modelName})
	}
	for _, entry := range system.entries {
		entry.process.stop()
		assert.Equal(t, entry.process.exitCode(hangLimit), 0)
	}
}

// models returns the models that an entry offers.
func (entry *entry) models(t *testing.T) []string {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry.callers+"/v1/models", http.NoBody)
	assert.NilError(t, err)
	request.Header.Set("Authorization", "Bearer "+buttonsKey)
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var got reply
	got.read(response, call{})
	var names []string
	for _, item := range gjson.Get(got.body, "data.#.id").Array() {
		names = append(names, item.String())
	}
	return names
}
