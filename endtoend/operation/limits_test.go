package operation_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/tester"
)

// TestNodeLogsItsLimits guards against logs from which the end of a process for want of memory cannot be
// told from any other.
func TestNodeLogsItsLimits(t *testing.T) {
	fleet := tester.NewFleet(t)
	fleet.Configure(tester.UnsafeRule("/"))
	node := fleet.StartNode("entry")
	node.AwaitReady()
	output, err := node.Output()
	assert.NilError(t, err)
	_, limits, found := strings.Cut(output, "eventName=processLimits ")
	assert.Assert(t, found, output)
	assert.Assert(t, strings.Contains(limits, " memory=268435456 "), limits)
	assert.Assert(t, !strings.Contains(limits, " descriptors=0 "), limits)
	assert.Assert(t, !strings.Contains(output, "usageUnreadable"), output)
}
