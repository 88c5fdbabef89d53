package exchanger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/corroborator"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// TestEvidenceReachesEachNode checks that evidence of two nodes, wherever they are in the hierarchy,
// and then a sign of life make all nodes change their view within two intervals although all
// messages of the first are lost, and that evidence does not circulate.
func TestEvidenceReachesEachNode(t *testing.T) {
	start := definer.UpstreamStart{Upstream: "lost", Incarnation: 7}
	for _, witnesses := range [][]definer.VM{{"0-002", "1-019"}, {"1-017", "1-018"}, {"1-000", "2-000"}} {
		fleet, tables := newFleet(t, 3, 20, 1), make(map[definer.VM]*corroborator.Corroborator)
		sent := 0
		fleet.onDelivery = func(_ definer.VM, report *messenger.LoadReport) { sent += len(report.Evidence) }
		for vm, node := range fleet.nodes {
			tables[vm] = corroborator.New(vm)
			node.evidence = tables[vm]
			node.Replace(fleet.order)
		}
		fleet.step(2)
		assert.Equal(t, sent, 0)
		lossy := false
		fleet.isCut = func(_, _ definer.VM) bool { return lossy }
		agree := func(lost bool) {
			lossy = true
			fleet.step(1)
			lossy = false
			fleet.step(1)
			for vm, table := range tables {
				_, presumed := table.Presumed(fleet.now, start)
				assert.Check(t, presumed == lost, "%s, evidence of %v", vm, witnesses)
			}
		}
		for _, vm := range witnesses {
			tables[vm].RecordFailure(fleet.now, start, messenger.EvidenceRefused)
		}
		agree(true)
		tables[witnesses[0]].RecordSignOfLife(fleet.now, start)
		agree(false)
		fleet.step(2)
		sent = 0
		fleet.now = fleet.now.Add(100 * time.Millisecond)
		fleet.step(2)
		assert.Equal(t, sent, 0)
	}
}
