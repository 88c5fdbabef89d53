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
