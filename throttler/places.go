package throttler

import (
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/issuer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
)

const (
	// trickleShare is the part of the tolerated rejections that may be caused, all together, by nodes
	// that issue permits without a connection to most others: even if all of their requests are
	// rejected, the upstream bears it.
	trickleShare = 0.25
	// minTrickle is the lowest rate of permits of such a node.
	minTrickle = 1e-3
)

// rejectionLimit returns the rejection limit that applies to an ask. An ask without an occupancy
// does not name the service, which earlier ones may have done. The mutex is held.
func (throttler *Throttler) rejectionLimit(now time.Time, asked *askedPermit) announcer.RejectionLimit {
	var service definer.PoolName
	if asked.occupancy != nil {
		service = asked.occupancy.Limit.Service
	} else if known, ok := throttler.issuances[asked.resource()]; ok {
		service = known.service
	}
	limit, _ := throttler.announcer.RejectionLimit(now, service)
	return limit
}

// updatePlaces limits the permits in use of an issuance, and records which of them the asking node
// holds. The mutex is held.
func (throttler *Throttler) updatePlaces(now time.Time, issuance *issuance, asked *askedPermit, list nodeList, order []exchanger.Peer, limit announcer.RejectionLimit) {
	perSecond, limited := limit.Limit.PerSecond()
	if !limited {
		issuance.room = nil
		issuance.issuer.LimitPlaces(nil, 0)
		return
	}
	if asked.occupancy != nil {
		issuance.service = asked.occupancy.Limit.Service
	}
	if issuance.room == nil {
		// In the time after the first announcement, the upstream has the room that it had before.
		issuance.room = issuer.NewRoom(asked.slots(), now.Sub(limit.Since) < takeoverPeriod)
	}
	issuance.room.SetTolerated(perSecond)
	share, rate := placeShare(list, order, throttler.countPresent(now, predecessors(order, throttler.self.VM), placesGoneTimeout), perSecond)
	issuance.issuer.LimitPlaces(issuance.room, share)
	if rate < issuance.issuer.Rate() {
		issuance.issuer.SetRate(now, rate)
	}
	if asked.occupancy != nil {
		issuance.issuer.Reconcile(now, asked.ask.ID.From, asked.occupancy.Held, asked.occupancy.Settled)
	}
}

// slots returns the slots of the upstream, as far as the ask states them.
func (asked *askedPermit) slots() int {
	if asked.occupancy == nil {
		return 0
	}
	return max(asked.occupancy.Slots, 0)
}

// placeShare returns the part of an upstream's room that a node may use with the given number of
// present nodes before it in the order, and the rate of its permits. A node that is not connected
// with most of the nodes in the order issues few, since others may issue permits as well.
func placeShare(list nodeList, order []exchanger.Peer, position int, tolerated float64) (share, rate float64) {
	connected := list.known && (2*list.reached > len(order) || len(list.nodes) <= 2)
	switch {
	case connected && position == 0:
		return 1, unlimitedRate
	case connected && position == 1:
		return standInShare, unlimitedRate
	default:
		return 1, max(trickleShare*tolerated/float64(max(len(list.nodes), 1)), minTrickle)
	}
}

// settle processes a returned permit, or a report on the permits that a node holds. The mutex is
// held.
func (throttler *Throttler) settle(now time.Time, list nodeList, asked *askedPermit) {
	if asked.occupancy == nil {
		return
	}
	if asked.connections > 0 {
		throttler.settleConnection(now, list, asked)
		return
	}
	limit := throttler.rejectionLimit(now, asked)
	issuance, known := throttler.issuances[asked.resource()]
	if !known && !limit.InForce() {
		return
	}
	if !known || issuance.room == nil || !limit.InForce() {
		issuance = throttler.issuanceOf(now, asked.resource())
		issuance.dataCentre = asked.dataCentre
		order := throttler.order(now, list.nodes, asked.start, asked.dataCentre, placesGoneTimeout)
		throttler.updatePlaces(now, issuance, asked, list, order, limit)
	} else {
		issuance.issuer.Reconcile(now, asked.ask.ID.From, asked.occupancy.Held, asked.occupancy.Settled)
	}
	throttler.returnPermit(now, issuance, asked)
	throttler.answerQueued(now, asked.resource(), issuance)
}

// returnPermit ends the use of a permit. The mutex is held.
func (throttler *Throttler) returnPermit(now time.Time, issuance *issuance, asked *askedPermit) {
	outcome := decodeOutcome(asked.occupancy.Outcome)
	issuance.issuer.Return(now, asked.ask.ID, outcome)
	if outcome == issuer.Rejected && issuance.room != nil {
		throttler.log(logger.EventRejectedWithPermit, "upstream", asked.start.Upstream, "incarnation", asked.start.Incarnation,
			"service", asked.occupancy.Limit.Service, "peer", asked.ask.ID.From, "othersInUse", issuance.issuer.InUse(),
			"room", issuance.room.Size(now), "rejected", issuance.room.Rejected(now), "tolerated", asked.occupancy.Limit.PerSecond)
	}
}

func decodeOutcome(outcome messenger.PlaceOutcome) issuer.Outcome {
	switch outcome {
	case messenger.PlaceServed:
		return issuer.Served
	case messenger.PlaceRejected:
		return issuer.Rejected
	default:
		return issuer.Unused
	}
}
