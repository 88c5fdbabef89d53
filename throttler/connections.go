package throttler

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/issuer"
)

const (
	// firstPoolShare is the part of an upstream's pool of connections that the first node of the order
	// uses, and standInPoolShare that of any other. Two of them, if each considers the other one gone, keep
	// within the pool, and three within what the upstream accepts.
	firstPoolShare   = 0.7
	standInPoolShare = 0.2
	// assumedNodes is the number of nodes while the list has not been read.
	assumedNodes = 48
)

// Allowance returns how many connections to an upstream, which accepts a number of them from all nodes
// together, this node may open without a permit. While the list of nodes has not been read there is nobody to ask,
// and one connection is allowed in any case.
func (throttler *Throttler) Allowance(accepted int) int {
	nodes, known := throttler.fleet.Nodes()
	allowance, _ := issuer.SplitConnections(accepted, countNodes(len(nodes), known))
	if !known {
		return max(allowance, 1)
	}
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
	issuance.pool.SetSize(poolPart(asked.connections, pool, &poolPosition{
		connected: list.known && (2*list.reached > len(order) || len(list.nodes) <= 2),
		listed:    len(predecessors(order, throttler.self.VM)) + countDistant(list, throttler.self, asked.dataCentre),
		present:   throttler.countPresent(now, counted, placesGoneTimeout),
		open:      now.Sub(issuance.openedAt),
	}))
	issuance.issuer.SetRate(now, unlimitedRate)
	issuance.issuer.LimitPlaces(issuance.pool, 1)
	if asked.occupancy != nil {
		issuance.issuer.Reconcile(now, asked.ask.ID.From, asked.occupancy.Held, asked.occupancy.Settled)
	}
}

// poolPosition is the position of this node among those that may issue the permits of connections.
type poolPosition struct {
	// connected is set if the node is connected with most of the others.
	connected bool
	// listed is the number of nodes that precede it, and present that of those which are not gone.
	listed  int
	present int
	// open is how long it has issued the permits.
	open time.Duration
}

// poolPart returns how many connections of a pool a node issues permits for, at least one if it can. One that has begun to do so
// is a stand-in first, until it has heard of the permits of the previous issuer. One that stands in for a
// node that is gone stays a stand-in, since that node may be cut off and issue permits as well.
func poolPart(accepted, pool int, position *poolPosition) int {
	one := min(pool, 1)
	standIn := int(standInPoolShare * float64(pool))
	if accepted > 1 {
		standIn = max(standIn, one)
	}
	switch {
	case !position.connected || position.present > 1:
		return 0
	case position.present == 1:
		return min(standIn, pool-one)
	case position.listed > 0:
		return standIn
	case position.open < takeoverPeriod:
		return max(standIn, one)
	default:
		return max(min(int(firstPoolShare*float64(pool)), pool-standIn), one)
	}
}

// countDistant returns the number of nodes in the data centre of an upstream, none if the node is there too:
// it issues permits only because those are gone.
func countDistant(list nodeList, node exchanger.Peer, dataCentre definer.DataCentre) int {
	count := 0
	for _, peer := range list.nodes {
		if peer.DataCentre == dataCentre && node.DataCentre != dataCentre {
			count++
		}
	}
	return count
}
