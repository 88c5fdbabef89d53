package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Evidence stores which upstreams are presumed lost, and exchanges this with peers. Its methods may
// be called while the lock of the Exchanger is held.
type Evidence interface {
	// NextReport returns the evidence for the next report of the scope.
	NextReport(now time.Time, scope messenger.LoadScope) []messenger.UpstreamEvidence
	// Learn stores the evidence and the signs of life in the report of a peer.
	Learn(now time.Time, from definer.VM, report *messenger.LoadReport)
	// SetNodes sets the list of all nodes, this one included.
	SetNodes(nodes []definer.VM)
}

// noEvidence is the default Evidence; it exchanges none.
type noEvidence struct{}

// NextReport returns no evidence.
func (noEvidence) NextReport(time.Time, messenger.LoadScope) []messenger.UpstreamEvidence { return nil }

// Learn ignores the report.
func (noEvidence) Learn(time.Time, definer.VM, *messenger.LoadReport) {}

// SetNodes ignores the nodes.
func (noEvidence) SetNodes([]definer.VM) {}
