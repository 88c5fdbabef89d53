package throttler

import (
	"context"
	"maps"
	"math"
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/issuer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
)

const (
	// minRate is the lowest rate in permits a second. An upstream that reports a limit of nothing
	// at all could otherwise never be asked again and announce a higher one.
	minRate = 0.2
	// unlimitedRate stands for the rate of an upstream whose requests are limited in number at a
	// time only.
	unlimitedRate = 1e6
	// standInShare is the factor between the rates of a node and of the next node in the order,
	// which stands in for it. However many nodes stand in at once, all together stay within one
	// and a half times the limit.
	standInShare = 1.0 / 3
	// takeoverPeriod is how long a node that starts to issue permits does so at the rate of a
	// stand-in, since the previous issuer may still be asked by others.
	takeoverPeriod = 3 * time.Second
	// unknownListShare is the factor for the rate of a node that has not read the list of nodes
	// yet, and so takes itself for the only one.
	unknownListShare = 1.0 / 8
	// maxPatience bounds how long a peer's ask may wait in the queue, whatever patience it
	// states.
	maxPatience = time.Minute
	// maxPredecessors bounds the nodes earlier in the order that lower this node's rate.
	maxPredecessors = 6
	// idleTimeout is how long an issuance without asks is kept. Idle issuances are removed once
	// there are sweepThreshold of them.
	idleTimeout    = time.Minute
	sweepThreshold = 64
)

// issuance is the issuing of the permits of one resource by this node.
type issuance struct {
	issuer *issuer.Issuer
	// openedAt is when this node started to issue, or started again after a pause, and askedAt
	// when it was last asked.
	openedAt time.Time
	askedAt  time.Time
	// dataCentre is the data centre of the upstream, and position the number of present nodes
	// earlier in the order, both as of the last ask.
	dataCentre definer.DataCentre
	position   int
	// service is the service of the upstream, empty if no ask has named it.
	service definer.PoolName
	// room is the number of requests that the upstream accepts at a time; nil unless its service has
	// a rejection limit.
	room *issuer.Room
	// pool is the number of connections to the upstream; nil unless permits are for these.
	pool *issuer.Pool
	// cold is the limit while the upstream warms up, the latest that any ask stated.
	cold coldSpan
	// replies maps the queued asks to the addresses for their answers; the address is empty for
	// asks of this node.
	replies map[issuer.AskID]string
}

// askedPermit is an ask for a permit, or a report on permits, as the issuer reads it.
type askedPermit struct {
	ask        issuer.Ask
	start      definer.UpstreamStart
	dataCentre definer.DataCentre
	cold       coldSpan
	// connections is the number of connections that the upstream accepts, if the permit is for one; else 0.
	connections int
	// occupancy is nil unless the permit is in use until it is returned.
	occupancy *messenger.Occupancy
	// replyTo is the address for the answer; empty means that the ask is this node's own.
	replyTo string
}

// resource returns what the permit is for.
func (asked *askedPermit) resource() resource {
	return resource{start: asked.start, connections: asked.connections > 0}
}

// decodeAsk returns the ask in a message.
func (throttler *Throttler) decodeAsk(now time.Time, from definer.VM, message *messenger.PermitAsk, replyTo string) *askedPermit {
	id := issuer.AskID{From: from, Number: message.Number}
	return &askedPermit{
		ask:   issuer.Ask{ID: id, Tier: message.Tier, Patience: min(max(message.Patience, 0), maxPatience)},
		start: message.Announcement.Start(), dataCentre: message.DataCentre,
		cold: decodeCold(now, message), connections: max(message.Connections, 0), occupancy: message.Occupancy, replyTo: replyTo,
	}
}

// receiveAsk processes an ask, a withdrawal, a returned permit, a report or a probe of a peer.
func (throttler *Throttler) receiveAsk(now time.Time, from definer.VM, message *messenger.PermitAsk) {
	list := throttler.listNodes(now)
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.updateReach(list)
	throttler.contact(from).recordAnswer(now)
	asked := throttler.decodeAsk(now, from, message, message.ReplyTo)
	switch {
	case message.Withdrawn:
		throttler.withdrawQueued(asked.resource(), asked.ask.ID)
		throttler.settle(now, list, asked)
	case message.Probe:
		throttler.addUnlisted(now, exchanger.Peer{VM: from, DataCentre: message.DataCentre, Address: message.ReplyTo})
		order := throttler.order(now, list.nodes, asked.start, message.DataCentre, goneTimeout)
		throttler.reply(now, asked.start, message.ReplyTo, &messenger.PermitAnswer{
			Verdict: messenger.PermitDenied, After: answerTimeout, Before: throttler.livePredecessor(now, order, from),
		})
	default:
		throttler.decide(now, list, asked)
	}
}

// withdrawQueued removes a queued ask. The mutex is held.
func (throttler *Throttler) withdrawQueued(resource resource, id issuer.AskID) {
	if issuance, ok := throttler.issuances[resource]; ok {
		issuance.issuer.Withdraw(id)
		delete(issuance.replies, id)
	}
}

// decide decides on an ask or queues it. The mutex is held.
func (throttler *Throttler) decide(now time.Time, list nodeList, asked *askedPermit) {
	if asked.connections > 0 {
		throttler.decideConnection(now, list, asked)
		return
	}
	start := asked.start
	announcement, _ := throttler.announcer.Latest(now, start)
	cold := asked.cold
	if known, ok := throttler.issuances[asked.resource()]; ok {
		cold = known.cold.later(now, cold)
	}
	rejectionLimit := throttler.rejectionLimit(now, asked)
	if _, limited := announcement.Limit.PerSecond(); !limited && !cold.inForce(now) && !rejectionLimit.InForce() {
		throttler.reply(now, start, asked.replyTo, &messenger.PermitAnswer{Number: asked.ask.ID.Number, Verdict: messenger.PermitNeedless})
		return
	}
	order := throttler.order(now, list.nodes, start, asked.dataCentre, absence(cold.inForce(now), rejectionLimit.InForce()))
	issuance := throttler.issuanceOf(now, asked.resource())
	issuance.cold = cold
	throttler.updateRate(now, issuance, asked, list, order, announcement.Limit)
	throttler.updatePlaces(now, issuance, asked, list, order, rejectionLimit)
	throttler.answerAsk(now, issuance, asked, order)
}

// answerAsk answers an ask by the present limits of its issuance, or queues it. The mutex is held.
func (throttler *Throttler) answerAsk(now time.Time, issuance *issuance, asked *askedPermit, order []exchanger.Peer) {
	decision := issuance.issuer.Ask(now, asked.ask)
	if decision.Verdict == issuer.Queued {
		issuance.replies[asked.ask.ID] = asked.replyTo
		throttler.scheduleDue(asked.resource(), issuance)
	}
	answer := encode(decision)
	answer.Before = throttler.livePredecessor(now, order, throttler.self.VM)
	throttler.reply(now, asked.start, asked.replyTo, answer)
}

// issuanceOf returns the issuance of a resource, which it creates if there is none. The mutex is
// held.
func (throttler *Throttler) issuanceOf(now time.Time, wanted resource) *issuance {
	known, ok := throttler.issuances[wanted]
	if ok {
		return known
	}
	if len(throttler.issuances) >= sweepThreshold {
		maps.DeleteFunc(throttler.issuances, func(_ resource, issuance *issuance) bool { return now.Sub(issuance.askedAt) > idleTimeout })
	}
	opened := &issuance{issuer: issuer.New(now, minRate), openedAt: now, askedAt: now, position: -1, replies: make(map[issuer.AskID]string)}
	throttler.issuances[wanted] = opened
	return opened
}

// updateRate sets the rate of an issuance: the limit for the first node in the order that is not
// gone, and standInShare of its predecessor's rate for each later node. While the upstream is
// cold, the rate is at most coldRate. The mutex is held.
func (throttler *Throttler) updateRate(now time.Time, issuance *issuance, asked *askedPermit, list nodeList, order []exchanger.Peer, limit definer.RateLimit) {
	start := asked.start
	counted := throttler.meetIssuers(now, issuance, asked, order)
	position := throttler.countPresent(now, counted, goneTimeout)
	permitRate := unlimitedRate
	if perSecond, limited := limit.PerSecond(); limited {
		permitRate = rate(perSecond, position, now.Sub(issuance.openedAt), list.known)
	}
	if perSecond, limited := issuance.cold.limit.PerSecond(); limited && issuance.cold.inForce(now) {
		permitRate = min(permitRate, coldRate(perSecond, len(counted), list.known))
	}
	issuance.issuer.SetRate(now, permitRate)
	if position != issuance.position {
		issuance.position = position
		throttler.log(logger.EventPermitsIssued, "upstream", start.Upstream, "incarnation", start.Incarnation,
			"limit", limit, "coldLimit", issuance.cold.limit, "coldMs", max(issuance.cold.until.Sub(now), 0).Milliseconds(), "position", position, "nodes", len(order), "listKnown", list.known)
	}
}

// meetIssuers records an ask, and probes the nodes that may issue permits of its upstream too: those before
// this one in the order, which it returns, and the next one, which may not have this one on its list. The
// mutex is held.
func (throttler *Throttler) meetIssuers(now time.Time, issuance *issuance, asked *askedPermit, order []exchanger.Peer) []exchanger.Peer {
	if now.Sub(issuance.askedAt) > goneTimeout {
		issuance.openedAt = now // Other nodes may have considered this one gone.
	}
	issuance.askedAt, issuance.dataCentre = now, asked.dataCentre
	earlier := predecessors(order, throttler.self.VM)
	counted := earlier[:min(len(earlier), maxPredecessors)]
	for _, node := range counted {
		throttler.probe(now, node, asked.start, asked.dataCentre)
	}
	if next := len(earlier) + 1; next < len(order) {
		throttler.probe(now, order[next], asked.start, asked.dataCentre)
	}
	return counted
}

// livePredecessor returns the first node that precedes the given one in an order and was heard
// from recently, or nil if there is none. The mutex is held.
func (throttler *Throttler) livePredecessor(now time.Time, order []exchanger.Peer, vm definer.VM) *messenger.PermitIssuer {
	for _, node := range predecessors(order, vm) {
		if node.VM != throttler.self.VM && now.Sub(throttler.contact(node.VM).heardAt) < probeInterval+answerTimeout {
			return &messenger.PermitIssuer{VM: node.VM, DataCentre: node.DataCentre, Address: node.Address}
		}
	}
	return nil
}

// rate returns how many permits a second a node issues at a position in the order.
func rate(limit float64, position int, open time.Duration, listKnown bool) float64 {
	if position == 0 && open < takeoverPeriod {
		position = 1
	}
	rate := max(limit, minRate) * math.Pow(standInShare, float64(position))
	if !listKnown {
		rate *= unknownListShare
	}
	return rate
}

// probe asks another node that issues permits of an upstream, or may do so, for a sign of life.
// The probe also tells that node of this one. The mutex is held.
func (throttler *Throttler) probe(now time.Time, node exchanger.Peer, start definer.UpstreamStart, dataCentre definer.DataCentre) {
	contact := throttler.contact(node.VM)
	if now.Sub(contact.heardAt) < probeInterval {
		return
	}
	if contact.probedAt.After(contact.heardAt) && now.Sub(contact.probedAt) > answerTimeout {
		throttler.noteSilence(now, node.VM, contact.probedAt)
	}
	if now.Sub(contact.probedAt) >= probeInterval {
		contact.probedAt = now
		throttler.sender.Send(context.Background(), node.Address, &messenger.PermitAsk{
			Announcement: throttler.announcer.LatestEncoded(now, start), DataCentre: dataCentre, Probe: true, ReplyTo: throttler.self.Address,
		})
	}
}

// decideQueued answers the queued asks for a resource that can be decided on now.
func (throttler *Throttler) decideQueued(now time.Time, resource resource) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	if issuance, ok := throttler.issuances[resource]; ok {
		throttler.answerQueued(now, resource, issuance)
	}
}

// answerQueued answers the queued asks of an issuance that can be decided on. The mutex is held.
func (throttler *Throttler) answerQueued(now time.Time, resource resource, issuance *issuance) {
	for _, decision := range issuance.issuer.Due(now) {
		replyTo := issuance.replies[decision.ID]
		delete(issuance.replies, decision.ID)
		throttler.reply(now, resource.start, replyTo, encode(decision))
	}
	throttler.scheduleDue(resource, issuance)
}

// scheduleDue schedules the next call of decideQueued, if any ask is queued. The mutex is held.
func (throttler *Throttler) scheduleDue(resource resource, issuance *issuance) {
	if at, ok := issuance.issuer.Next(); ok {
		throttler.schedule(resource, at)
	}
}

// encode returns the wire message of a decision.
func encode(decision issuer.Decision) *messenger.PermitAnswer {
	answer := &messenger.PermitAnswer{Number: decision.ID.Number, After: decision.After}
	switch decision.Verdict {
	case issuer.Granted:
		answer.Verdict = messenger.PermitGranted
	case issuer.Queued:
		answer.Verdict = messenger.PermitQueued
	case issuer.Denied:
		answer.Verdict = messenger.PermitDenied
	}
	return answer
}

// reply sends an answer to a peer, or delivers it locally if replyTo is empty. The mutex is held.
func (throttler *Throttler) reply(now time.Time, start definer.UpstreamStart, replyTo string, answer *messenger.PermitAnswer) {
	if replyTo == "" {
		throttler.deliver(answer)
		return
	}
	answer.Announcement = throttler.announcer.LatestEncoded(now, start)
	throttler.sender.Send(context.Background(), replyTo, answer)
}
