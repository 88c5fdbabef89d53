package throttler

import (
	"context"
	"slices"
	"strings"
	"time"

	"limpetcleat/exchanger"
	"limpetcleat/issuer"
	"limpetcleat/messenger"
)

// holdings are this node's permits in use of one resource.
type holdings struct {
	byNumber map[uint64]*Holding
	// reportedAt is when a message to the issuer last listed them, and renewInterval the time after
	// which the next one must.
	reportedAt    time.Time
	renewInterval time.Duration
}

// Holding is a permit in use. Its fields do not change.
type Holding struct {
	number uint64
	need   PermitRequest
	// issuer is the node that issued the permit; zero for a request that was sent without one.
	issuer exchanger.Peer
}

// hold records that the permit of an ask is in use, and returns it; nil if it need not be returned.
func (throttler *Throttler) hold(now time.Time, ask *ask, lease time.Duration) *Holding {
	if !ask.need.inUse() {
		return nil
	}
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	renewInterval := min(time.Duration(issuer.RenewShare*float64(lease)), issuer.MaxRenewal)
	return throttler.addHolding(now, renewInterval, &Holding{number: ask.number, need: ask.need, issuer: ask.issuer})
}

// addHolding adds a permit in use. The mutex is held.
func (throttler *Throttler) addHolding(now time.Time, renewInterval time.Duration, holding *Holding) *Holding {
	known, ok := throttler.holdings[holding.need.resource()]
	if !ok {
		known = &holdings{byNumber: make(map[uint64]*Holding), reportedAt: now}
		throttler.holdings[holding.need.resource()] = known
	}
	known.byNumber[holding.number] = holding
	known.renewInterval = renewInterval
	return holding
}

// Adopt records that a request which was sent without a permit is in flight at an upstream, since
// its service has got a rejection limit. The next Renew reports it; the result must be returned.
func (throttler *Throttler) Adopt(need PermitRequest) *Holding {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.lastNumber++
	holding := throttler.addHolding(time.Time{}, issuer.FirstRenewal, &Holding{number: throttler.lastNumber, need: need})
	throttler.holdings[need.resource()].reportedAt = time.Time{}
	return holding
}

// Return ends the use of a permit with the outcome of its request.
func (throttler *Throttler) Return(holding *Holding, outcome issuer.Outcome) {
	throttler.returnHolding(time.Now(), holding, outcome)
}

func (throttler *Throttler) returnHolding(now time.Time, holding *Holding, outcome issuer.Outcome) {
	list := throttler.listNodes(now)
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	if known, ok := throttler.holdings[holding.need.resource()]; ok {
		delete(known.byNumber, holding.number)
		if len(known.byNumber) == 0 {
			delete(throttler.holdings, holding.need.resource())
		}
	}
	message := throttler.occupancyMessage(now, &holding.need)
	message.Number, message.Occupancy.Outcome = holding.number, encodeOutcome(outcome)
	throttler.sendToIssuer(now, list, holding, message)
}

// Renew reports the permits in use to their issuers, where that is due.
func (throttler *Throttler) Renew(now time.Time) {
	throttler.mutex.Lock()
	idle := len(throttler.holdings) == 0
	throttler.mutex.Unlock()
	if idle {
		return
	}
	list := throttler.listNodes(now)
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	for _, need := range throttler.dueHoldings(now) {
		throttler.sendToIssuer(now, list, &Holding{need: need}, throttler.occupancyMessage(now, &need))
	}
}

// dueHoldings returns, for each upstream whose permits in use are to be reported, what one of them
// was needed for, sorted by upstream. The mutex is held.
func (throttler *Throttler) dueHoldings(now time.Time) []PermitRequest {
	var due []PermitRequest
	for _, known := range throttler.holdings {
		if now.Sub(known.reportedAt) < known.renewInterval {
			continue
		}
		for _, holding := range known.byNumber {
			due = append(due, holding.need)
			break // One message lists all of them.
		}
	}
	slices.SortFunc(due, func(left, right PermitRequest) int {
		return strings.Compare(left.resource().String(), right.resource().String())
	})
	return due
}

// sendToIssuer sends a message on a permit in use to the node that issued it, or to the current
// issuer. The mutex is held.
func (throttler *Throttler) sendToIssuer(now time.Time, list nodeList, holding *Holding, message *messenger.PermitAsk) {
	node := holding.issuer
	if node.VM == "" {
		var found bool
		order := throttler.order(now, list.nodes, holding.need.Start, holding.need.DataCentre, placesGoneTimeout)
		if node, found = throttler.issuerOf(now, order); !found {
			return
		}
	}
	if node.VM == throttler.self.VM {
		throttler.settle(now, list, throttler.decodeAsk(now, throttler.self.VM, message, ""))
		return
	}
	throttler.sender.Send(context.Background(), node.Address, message)
}

// occupancyMessage returns a message that reports the permits in use at an upstream. The mutex is
// held.
func (throttler *Throttler) occupancyMessage(now time.Time, need *PermitRequest) *messenger.PermitAsk {
	return &messenger.PermitAsk{
		Announcement: throttler.announcer.LatestEncoded(now, need.Start), DataCentre: need.DataCentre, Connections: need.Connections,
		Withdrawn: true, Occupancy: throttler.occupancy(now, need), ReplyTo: throttler.self.Address,
	}
}

// occupancy returns what this node reports of its permits in use at an upstream. The mutex is held.
func (throttler *Throttler) occupancy(now time.Time, need *PermitRequest) *messenger.Occupancy {
	limit, _ := throttler.announcer.RejectionLimit(now, need.Service)
	occupancy := &messenger.Occupancy{Limit: limit.Encode(now), Slots: need.Slots, Settled: throttler.lastNumber + 1}
	if known, ok := throttler.holdings[need.resource()]; ok {
		known.reportedAt = now
		for number := range known.byNumber {
			occupancy.Held = append(occupancy.Held, number)
		}
	}
	for number, ask := range throttler.asks {
		if ask.need.resource() == need.resource() {
			occupancy.Settled = min(occupancy.Settled, number)
		}
	}
	return occupancy
}

func encodeOutcome(outcome issuer.Outcome) messenger.PlaceOutcome {
	switch outcome {
	case issuer.Served:
		return messenger.PlaceServed
	case issuer.Rejected:
		return messenger.PlaceRejected
	default:
		return messenger.PlaceUnused
	}
}
