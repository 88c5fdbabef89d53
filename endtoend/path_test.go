package endtoend_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
)

// TestWholePath sends every kind of call through every entry.
func TestWholePath(t *testing.T) {
	system := startSystem(t)
	for _, entry := range system.entries {
		for _, streamed := range []bool{false, true} {
			for _, call := range []caller.Call{completion("a completion by "+entry.name, 12, streamed), chat("a chat by "+entry.name, 12, streamed)} {
				reply := entry.send(call)
				assert.Assert(t, reply.Complete && reply.Tokens == 12 && reply.MatchesCall(call), "%s %s: %v", entry.name, call.Path, reply)
			}
		}
		key := "order-by-" + entry.name
		first := entry.send(reservation(key))
		assert.Assert(t, first.Complete && gjson.Get(first.Body, "runs").Int() == 1, "%s: %v %s", entry.name, first, first.Body)
		for _, again := range system.entries {
			assert.Equal(t, again.sendUntilSettled(key).Body, first.Body)
		}
		assert.Equal(t, system.runCount(key), 1)

		wrong := completion("x", 2, false)
		wrong.APIKey = "a-key-of-nobody"
		reply := entry.send(wrong)
		assert.Assert(t, reply.Status == http.StatusUnauthorized && reply.NotRun(), "%v", reply)
		unknown := completion("x", 2, false)
		unknown.Body = strings.NewReader(`{"model": "nobody-has-it", "prompt": "x"}`)
		reply = entry.send(unknown)
		assert.Assert(t, reply.Status == http.StatusNotFound && reply.NotRun(), "%v", reply)
		assert.DeepEqual(t, entry.models(t), []string{modelName})
	}
	for _, entry := range system.entries {
		entry.process.Terminate()
		assert.Equal(t, entry.process.exitCode(hangTimeout), 0)
	}
}

// models returns the models that an entry offers.
func (entry *entry) models(t *testing.T) []string {
	t.Helper()
	reply := entry.send(caller.Call{Method: http.MethodGet, Path: "/v1/models", APIKey: buttonsAPIKey, Body: http.NoBody})
	assert.Equal(t, reply.Status, http.StatusOK, "%v", reply)
	var names []string
	for _, item := range gjson.Get(reply.Body, "data.#.id").Array() {
		names = append(names, item.String())
	}
	return names
}
