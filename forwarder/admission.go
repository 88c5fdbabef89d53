package forwarder

import (
	"context"
	"errors"

	"limpetcleat/connector"
	"limpetcleat/gatekeeper"
	"limpetcleat/registrar"
	"limpetcleat/throttler"
)

const (
	// maxConnectionAsks bounds the connections that the issuers deny to one request, and
	// maxConnectionDenials all denials. After that the request is refused.
	maxConnectionAsks    = 4
	maxConnectionDenials = 8
)

// Connections grants leave to open connections to upstreams.
type Connections interface {
	// Open asks for leave for the connection that is described. The error is a *gatekeeper.Denial.
	Open(ctx context.Context, need throttler.PermitRequest) (*gatekeeper.Pass, error)
}

// WithConnections sets what grants leave to open connections to upstreams that accept a number of them; by
// default it is not needed.
func WithConnections(connections Connections) Option {
	return func(forwarder *Forwarder) { forwarder.connections = connections }
}

// admission asks for leave to open a connection to an upstream. It implements connector.Admission.
type admission struct {
	exchange *exchange
	upstream *registrar.Upstream
}

// admission returns what grants leave for a connection to an upstream; nil if its service does not limit
// connections.
func (exchange *exchange) admission(upstream *registrar.Upstream) connector.Admission {
	if exchange.forwarder.connections == nil || exchange.service.MaxConnections <= 0 {
		return nil
	}
	return admission{exchange: exchange, upstream: upstream}
}

// Open asks for leave to open a connection. It waits for that only if the request has no other upstream to
// go to.
func (admission admission) Open(ctx context.Context) (connector.Pass, error) {
	exchange := admission.exchange
	need := exchange.permitRequest(admission.upstream)
	need.Placed, need.Connections = false, exchange.service.MaxConnections
	last := exchange.connectionAsks == maxConnectionAsks-1 || exchange.connectionDenials == maxConnectionDenials-1
	if last || exchange.triedAll() {
		need.Patience = exchange.permitWait()
	}
	pass, err := exchange.forwarder.connections.Open(ctx, need)
	if err != nil {
		return nil, err
	}
	return pass, nil
}

// triedAll reports whether each upstream that may serve the request was chosen before.
func (exchange *exchange) triedAll() bool {
	for _, upstream := range exchange.candidates() {
		if !exchange.tried[upstream.ID] {
			return false
		}
	}
	return true
}

// recordDenied records when a connection may be opened to an upstream at which none may be now.
func (exchange *exchange) recordDenied(err error) {
	var denial *gatekeeper.Denial
	if !errors.As(err, &denial) {
		return
	}
	exchange.connectionDenials++
	if denial.Asked {
		exchange.connectionAsks++
	}
	if exchange.connectionDelay == 0 || denial.RetryAfter < exchange.connectionDelay {
		exchange.connectionDelay = denial.RetryAfter
	}
	if exchange.deniedConnections() {
		exchange.retryDelay = exchange.connectionDelay
	}
}

// deniedConnections reports whether the request was denied as many connections as it may ask for.
func (exchange *exchange) deniedConnections() bool {
	return exchange.connectionAsks >= maxConnectionAsks || exchange.connectionDenials >= maxConnectionDenials
}
