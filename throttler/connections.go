package throttler

import (
	"time"

	"limpetcleat/exchanger"
	"limpetcleat/issuer"
)

const (
	// firstPoolShare is the part of an upstream's pool of connections that its issuer uses, and
	// standInPoolShare that of the next node in the order: both together keep within the pool, whichever
	// of them other nodes ask. Nodes behind them issue no permits for connections.
	firstPoolShare   = 0.7
	standInPoolShare = 0.3
	// assumedNodes is the number of nodes while the list has not been read.
	assumedNodes = 48
)

// Allowance returns how many connections to an upstream, which accepts a number of them from all nodes
// together, this node may open without a permit.
func (throttler *Throttler) Allowance(accepted int) int {
	nodes, known := throttler.fleet.Nodes()
	allowance, _ := issuer.SplitConnections(accepted, countNodes(len(nodes), known))
	return allowance
}

// countNodes returns the number of nodes among which connections are divided.
func countNodes(listed int, known bool) int {
	if !known {
		return max(listed, assumedNodes)
	}
	return listed
}

// decideConnection decides on an ask for a connection or queues it. The mutex is held.
func (throttler *Throttler) decideConnection(now time.Time, list nodeList, asked *askedPermit) {
	order := throttler.order(now, list.nodes, asked.start, asked.dataCentre, placesGoneTimeout)
	issuance := throttler.issuanceOf(now, asked.resource())
	throttler.updatePool(now, issuance, asked, list, order)
	throttler.answerAsk(now, issuance, asked, order)
}

// settleConnection processes the permit of a closed connection, or a report on the connections that a node
// has open with permits. The mutex is held.
func (throttler *Throttler) settleConnection(now time.Time, list nodeList, asked *askedPermit) {
	order := throttler.order(now, list.nodes, asked.start, asked.dataCentre, placesGoneTimeout)
	issuance := throttler.issuanceOf(now, asked.resource())
	throttler.updatePool(now, issuance, asked, list, order)
	issuance.issuer.Return(now, asked.ask.ID, decodeOutcome(asked.occupancy.Outcome))
	throttler.answerQueued(now, asked.resource(), issuance)
}

// updatePool limits the connections that may be open with permits of this node, and records which of them
// the asking node has open. The mutex is held.
func (throttler *Throttler) updatePool(now time.Time, issuance *issuance, asked *askedPermit, list nodeList, order []exchanger.Peer) {
	counted := throttler.meetIssuers(now, issuance, asked, order)
	if issuance.pool == nil {
		issuance.pool = &issuer.Pool{}
	}
	_, pool := issuer.SplitConnections(asked.connections, countNodes(len(list.nodes), list.known))
	share := poolShare(list, order, throttler.countPresent(now, counted, placesGoneTimeout), now.Sub(issuance.openedAt))
	issuance.pool.SetSize(int(share * float64(pool)))
	issuance.issuer.SetRate(now, unlimitedRate)
	issuance.issuer.LimitPlaces(issuance.pool, 1)
	if asked.occupancy != nil {
		issuance.issuer.Reconcile(now, asked.ask.ID.From, asked.occupancy.Held, asked.occupancy.Settled)
	}
}

// poolShare returns the part of the pool that a node uses with the given number of present nodes before it
// in the order. One that has begun to issue permits uses the part of a stand-in first, until it has heard of
// the connections of the previous issuer.
func poolShare(list nodeList, order []exchanger.Peer, position int, open time.Duration) float64 {
	connected := list.known && (2*list.reached > len(order) || len(list.nodes) <= 2)
	switch {
	case !connected || position > 1:
		return 0
	case position == 1 || open < takeoverPeriod:
		return standInPoolShare
	default:
		return firstPoolShare
	}
}
