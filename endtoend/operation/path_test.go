package operation_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/tester"
)

// TestWholePath sends every kind of call through every entry.
func TestWholePath(t *testing.T) {
	system := tester.StartSystem(t)
	for _, entry := range system.Entries {
		for _, streamed := range []bool{false, true} {
			for _, call := range []caller.Call{tester.Completion("a completion by "+entry.Name, 12, streamed), tester.Chat("a chat by "+entry.Name, 12, streamed)} {
				reply := entry.Send(call)
				assert.Assert(t, reply.Complete && reply.Tokens == 12 && reply.MatchesCall(call), "%s %s: %v", entry.Name, call.Path, reply)
			}
		}
		key := "order-by-" + entry.Name
		first := entry.Send(tester.Reservation(key))
		assert.Assert(t, first.Complete && gjson.Get(first.Body, "runs").Int() == 1, "%s: %v %s", entry.Name, first, first.Body)
		for _, again := range system.Entries {
			assert.Equal(t, again.SendUntilSettled(key).Body, first.Body)
		}
		assert.Equal(t, system.RunCount(key), 1)

		wrong := tester.Completion("x", 2, false)
		wrong.APIKey = "a-key-of-nobody"
		reply := entry.Send(wrong)
		assert.Assert(t, reply.Status == http.StatusUnauthorized && reply.NotRun(), "%v", reply)
		unknown := tester.Completion("x", 2, false)
		unknown.Body = strings.NewReader(`{"model": "nobody-has-it", "prompt": "x"}`)
		reply = entry.Send(unknown)
		assert.Assert(t, reply.Status == http.StatusNotFound && reply.NotRun(), "%v", reply)
		assert.DeepEqual(t, models(t, entry), []string{tester.ModelName})
	}
	for _, entry := range system.Entries {
		entry.Process.Terminate()
		assert.Equal(t, entry.Process.AwaitExit(tester.HangTimeout), 0)
	}
}

// models returns the models that an entry offers.
func models(t *testing.T, entry *tester.Entry) []string {
	t.Helper()
	reply := entry.Send(caller.Call{Method: http.MethodGet, Path: "/v1/models", APIKey: tester.ButtonsAPIKey, Body: http.NoBody})
	assert.Equal(t, reply.Status, http.StatusOK, "%v", reply)
	var names []string
	for _, item := range gjson.Get(reply.Body, "data.#.id").Array() {
		names = append(names, item.String())
	}
	return names
}
