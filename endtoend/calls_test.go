package endtoend_test

import (
	"context"
	"time"

	"limpetcleat/standin/caller"
)

// hangTimeout is far longer than every request deadline; a call that exceeds it is stuck.
const hangTimeout = 3 * deadlineMs * time.Millisecond

// completion returns a completion call whose response has the given number of tokens.
func completion(prompt string, tokens int, streamed bool) caller.Call {
	return withAPIKey(buttonsAPIKey, caller.Completion(modelName, prompt, tokens, streamed))
}

// chat returns a chat call whose response has the given number of tokens.
func chat(prompt string, tokens int, streamed bool) caller.Call {
	return withAPIKey(repliesAPIKey, caller.Chat(modelName, prompt, tokens, streamed))
}

// reservation returns a call that may run at most once for its idempotency key.
func reservation(key string) caller.Call {
	return withAPIKey(buttonsAPIKey, caller.Call{Path: "/services/stock/reservations", IdempotencyKey: key, Body: caller.EncodeJSON(map[string]string{"item": key})})
}

// withAPIKey returns the call with an Organisation's API key and the default deadline.
func withAPIKey(apiKey string, call caller.Call) caller.Call {
	call.APIKey, call.Timeout = apiKey, deadlineMs*time.Millisecond
	return call
}

// send sends a call to an entry and returns the reply, within hangTimeout.
func (entry *entry) send(call caller.Call) caller.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	return caller.New().Send(ctx, entry.callerAddress, call)
}

// sendUntilSettled sends a reservation until a reply carries no Retry-After header, as a caller
// does that respects Retry-After, and returns the last reply.
func (entry *entry) sendUntilSettled(key string) caller.Reply {
	entry.system.t.Helper()
	var reply caller.Reply
	eventually(entry.system.t, hangTimeout, key+" is settled", func() bool {
		reply = entry.send(reservation(key))
		return reply.Status != 0 && reply.RetryAfter() == ""
	})
	return reply
}

// sendAsync sends a call in the background; the channel receives its reply.
func (entry *entry) sendAsync(call caller.Call) <-chan caller.Reply {
	replies := make(chan caller.Reply, 1)
	go func() { replies <- entry.send(call) }()
	return replies
}
