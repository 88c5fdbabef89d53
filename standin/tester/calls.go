package tester

import (
	"context"
	"time"

	"limpetcleat/standin/caller"
)

// HangTimeout is far longer than every request deadline; a call that exceeds it is stuck.
const HangTimeout = 3 * deadlineMs * time.Millisecond

// Completion returns a completion call whose response has the given number of tokens.
func Completion(prompt string, tokens int, streamed bool) caller.Call {
	return WithAPIKey(ButtonsAPIKey, caller.Completion(ModelName, prompt, tokens, streamed))
}

// Chat returns a chat call whose response has the given number of tokens.
func Chat(prompt string, tokens int, streamed bool) caller.Call {
	return WithAPIKey(repliesAPIKey, caller.Chat(ModelName, prompt, tokens, streamed))
}

// Reservation returns a call that may run at most once for its idempotency key.
func Reservation(key string) caller.Call {
	return WithAPIKey(ButtonsAPIKey, caller.Call{Path: "/services/stock/reservations", IdempotencyKey: key, Body: caller.EncodeJSON(map[string]string{"item": key})})
}

// WithAPIKey returns the call with an Organisation's API key and the default deadline.
func WithAPIKey(apiKey string, call caller.Call) caller.Call {
	call.APIKey, call.Timeout = apiKey, deadlineMs*time.Millisecond
	return call
}

// Send sends a call to an entry and returns the reply, within hangTimeout.
func (entry *Entry) Send(call caller.Call) caller.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), HangTimeout)
	defer cancel()
	return caller.New().Send(ctx, entry.callerAddress, call)
}

// SendUntilSettled sends a reservation until a reply carries no Retry-After header, as a caller
// does that respects Retry-After, and returns the last reply.
func (entry *Entry) SendUntilSettled(key string) caller.Reply {
	entry.system.T.Helper()
	var reply caller.Reply
	Eventually(entry.system.T, HangTimeout, key+" is settled", func() bool {
		reply = entry.Send(Reservation(key))
		return reply.Status != 0 && reply.RetryAfter() == ""
	})
	return reply
}

// SendAsync sends a call in the background; the channel receives its reply.
func (entry *Entry) SendAsync(call caller.Call) <-chan caller.Reply {
	replies := make(chan caller.Reply, 1)
	go func() { replies <- entry.Send(call) }()
	return replies
}
