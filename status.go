package limpetcleat

import (
	"net/http"

	"limpetcleat/decider"
	"limpetcleat/operator"
)

// operatorHandler returns the operators' interface.
func (node *Node) operatorHandler() http.Handler {
	return operator.New(node, node.operatorToken).Handler()
}

// Status returns what the node knows of itself now.
func (node *Node) Status() decider.Status {
	node.core.Lock()
	defer node.core.Unlock()
	return node.decider.Status()
}

// Metrics returns the handler of the recorder's metrics, or one that answers
// nothing when the recorder has none.
func (node *Node) Metrics() http.Handler {
	if exposed, ok := node.recorder.(interface{ Handler() http.Handler }); ok {
		return exposed.Handler()
	}
	return http.NotFoundHandler()
}
