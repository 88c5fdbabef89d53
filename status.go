package limpetcleat

import (
	"net/http"
	"slices"
	"time"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/operator"
	"limpetcleat/quarantiner"
	"limpetcleat/recorder"
)

// operatorHandler returns the HTTP handler for operators.
func (node *Node) operatorHandler() http.Handler {
	return operator.New(node, node.operatorToken, operator.WithLog(node.journal.event)).Handler()
}

// Status returns the node's current status.
func (node *Node) Status() decider.Status {
	node.core.Lock()
	defer node.core.Unlock()
	return node.decider.Status()
}

// Quarantine returns the requests that are suspected of crashing upstreams.
func (node *Node) Quarantine() operator.Quarantine { return quarantine{node} }

// quarantine implements operator.Quarantine with the suspicions of a node's core.
type quarantine struct{ node *Node }

// List returns the suspicions at the given time.
func (quarantine quarantine) List(now time.Time) []quarantiner.Suspicion {
	quarantine.node.core.Lock()
	defer quarantine.node.core.Unlock()
	return quarantine.node.decider.Suspicions(now)
}

// Lift requests the release of a request that is held off, and reports whether the request is
// known.
func (quarantine quarantine) Lift(now time.Time, identity definer.RequestIdentity) bool {
	known := slices.ContainsFunc(quarantine.List(now), func(suspicion quarantiner.Suspicion) bool { return suspicion.Identity == identity })
	if known {
		quarantine.node.Submit(decider.LiftRequested{Identity: identity})
	}
	return known
}

// Metrics returns the handler that serves the node's metrics.
func (node *Node) Metrics() http.Handler { return node.recorder.Handler() }

// Snapshot returns the node's statistics.
func (node *Node) Snapshot() recorder.Snapshot { return node.recorder.Snapshot() }

// Configuration returns the configuration in force, or nil if there is none yet.
func (node *Node) Configuration() *definer.Configuration {
	node.core.Lock()
	defer node.core.Unlock()
	return node.decider.Configuration()
}
