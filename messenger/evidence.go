package messenger

import (
	"time"

	"limpetcleat/definer"
)

// EvidenceKind is what a node observed of an upstream that may be lost. The numbers are part of
// the protocol between nodes.
type EvidenceKind int

const (
	// EvidenceRefused means that the upstream's address refused a connection.
	EvidenceRefused EvidenceKind = iota + 1
	// EvidenceReset means that the connection was reset before anything was received on it.
	EvidenceReset
	// EvidenceReplaced means that another incarnation answered at the upstream's address.
	EvidenceReplaced
	// EvidenceAlive means that something was received from the upstream: it is evidence against the loss.
	EvidenceAlive
)

// String returns the name of the kind, as logs and commands show it.
func (kind EvidenceKind) String() string {
	switch kind {
	case EvidenceRefused:
		return "refused"
	case EvidenceReset:
		return "reset"
	case EvidenceReplaced:
		return "replaced"
	case EvidenceAlive:
		return "alive"
	}
	return "unknown"
}

// UpstreamEvidence is the observation by one node that an upstream is lost or, with the kind
// EvidenceAlive, that it is not.
type UpstreamEvidence struct {
	Upstream definer.UpstreamName
	// Incarnation identifies the start of the upstream that was observed.
	Incarnation definer.Incarnation
	Kind        EvidenceKind
	// Witness is the node that made the observation.
	Witness definer.VM
	// Age is the time from the observation to the report.
	Age time.Duration
}

// Start returns the start of the upstream that was observed.
func (evidence UpstreamEvidence) Start() definer.UpstreamStart {
	return definer.UpstreamStart{Upstream: evidence.Upstream, Incarnation: evidence.Incarnation}
}
