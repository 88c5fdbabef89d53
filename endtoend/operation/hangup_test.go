package operation_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

// TestHangupDuringStartIsHandled guards against a node that SIGHUP ends in place of making it read its
// settings again, because it arrives before the node serves callers.
func TestHangupDuringStartIsHandled(t *testing.T) {
	fleet := tester.NewFleet(t)
	fleet.Configure(tester.UnsafeRule("/"))
	node, settings := fleet.StartWaitingNode("entry")
	settings.AwaitReader()
	node.Hangup()
	settings.Provide()
	tester.Eventually(t, tester.StartTimeout, "the settings are read again", func() bool {
		output, err := node.Output()
		assert.NilError(t, err)
		return strings.Contains(output, "eventName=settingsReloaded cause=<nil>")
	})
	node.Terminate()
	assert.Equal(t, node.AwaitExit(tester.HangTimeout), 0)
}

// TestHangupDoesNotEndANode guards against a node with INI settings that SIGHUP ends at once, with all the
// requests that it serves.
func TestHangupDoesNotEndANode(t *testing.T) {
	system := tester.StartTopology(t, tester.Topology{Entries: []string{tester.West}, Engines: []string{tester.West}})
	entry := system.Entries[0]
	call := tester.Completion("during the signal", streamTokens, true)
	replied := entry.SendAsync(call)
	entry.Process.Hangup()
	reply := <-replied
	assert.Assert(t, reply.Complete && reply.MatchesCall(call), "%v", reply)
	output, err := entry.Process.Output()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(output, "eventName=settingsReloaded cause=<nil>"), output)
	entry.Process.Terminate()
	assert.Equal(t, entry.Process.AwaitExit(tester.HangTimeout), 0)
}
