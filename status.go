package limpetcleat

import (
	"net/http"

	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/operator"
	"limpetcleat/recorder"
)

// operatorHandler returns the operators' interface.
func (node *Node) operatorHandler() http.Handler {
	return operator.New(node, node.operatorToken, operator.WithLog(node.journal.event)).Handler()
}

// Status returns what the node knows of itself now.
func (node *Node) Status() decider.Status {
	node.core.Lock()
	defer node.core.Unlock()
	return node.decider.Status()
}

// Metrics returns the handler that serves the node's metrics to a scraper.
func (node *Node) Metrics() http.Handler { return node.recorder.Handler() }

// Snapshot returns what the node has counted.
func (node *Node) Snapshot() recorder.Snapshot { return node.recorder.Snapshot() }

// Configuration returns the configuration in force, or nil before the first.
func (node *Node) Configuration() *definer.Configuration {
	node.core.Lock()
	defer node.core.Unlock()
	return node.decider.Configuration()
}
