package limpetcleat

import (
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/messenger"
)

// TestForwardedCallsAreNotChanged guards against a data race: setting the reply address on the
// original call, while an earlier send of that call may still be encoding it.
func TestForwardedCallsAreNotChanged(t *testing.T) {
	node := New("vm", "west", WithInner(nil, "10.0.0.1:7200"))
	call := &messenger.CallForward{Request: "r1"}
	sent, ok := node.withReplyAddress(call).(*messenger.CallForward)
	assert.Assert(t, ok)
	assert.Equal(t, sent.ReplyTo, "10.0.0.1:7200")
	assert.Equal(t, string(sent.Request), "r1")
	assert.Equal(t, call.ReplyTo, "")
}
