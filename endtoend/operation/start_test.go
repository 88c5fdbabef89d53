package operation_test

import (
	"fmt"
	"testing"

	"github.com/sourcegraph/conc"

	"limpetcleat/standin/tester"
)

// TestNodesStartAtOnce guards against nodes that are started at the same time with each other's settings, as soaks do.
func TestNodesStartAtOnce(t *testing.T) {
	fleet := tester.NewFleet(t)
	fleet.Configure(tester.UnsafeRule("/"))
	var group conc.WaitGroup
	for number := range 4 {
		group.Go(func() { fleet.StartNode(fmt.Sprintf("entry-%d", number)) })
	}
	group.Wait()
	for _, node := range fleet.StartedNodes() {
		node.AwaitReady()
	}
}
