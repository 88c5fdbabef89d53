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
	// leastRate is the least permits a second: an upstream that takes nothing at all would
	// otherwise never be heard to take something again.
	leastRate = 0.2
	// standInShare is the part of what a node hands out that one which stands in for it does:
	// however many do so at once, all together stay within one and a half times the limit.
	standInShare = 1.0 / 3
	// settleFor is how long a node that begins to hand out permits does so as a stand-in: the
	// one before it may still be asked by others.
	settleFor = 3 * time.Second
	// unlistedShare is the part of a limit that a node hands out which has not read the list
	// of nodes yet, and so takes itself for the only one.
	unlistedShare = 1.0 / 8
	// mostPatience bounds how long an ask may wait in a queue, whatever it says.
	mostPatience = time.Minute
	// mostBefore bounds the nodes before this one that lower its rate.
	mostBefore = 6
	// idleAfter is how long an issuance without asks is kept; sweepAt is from how many on idle
	// ones are looked for.
	idleAfter = time.Minute
	sweepAt   = 64
)

// issuance hands out the permits of one upstream.
type issuance struct {
	issuer *issuer.Issuer
	// since is when it was opened, askedAt when it was last asked.
	since   time.Time
	askedAt time.Time
	// dataCentre is the upstream's, position how many nodes went before this one, when it was
	// last asked.
	dataCentre definer.DataCentre
	position   int
	// replies holds where the answers to queued asks of peers go.
	replies map[issuer.AskID]string
}

// receiveAsk takes in an ask of a peer.
func (throttler *Throttler) receiveAsk(now time.Time, from definer.VM, message *messenger.PermitAsk) {
	view := throttler.look()
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.contact(from).heard(now)
	start, id := message.Announcement.Start(), issuer.AskID{From: from, Number: message.Number}
	switch {
	case message.Withdrawn:
		throttler.drop(start, id)
	case message.Probe:
		throttler.meet(now, exchanger.Peer{VM: from, DataCentre: message.DataCentre, Address: message.ReplyTo})
		order := throttler.order(now, view.nodes, start, message.DataCentre)
		throttler.tell(now, start, message.ReplyTo, &messenger.PermitAnswer{
			Verdict: messenger.PermitDenied, After: answerPatience, Before: throttler.firstBefore(now, order, from),
		})
	default:
		ask := issuer.Ask{ID: id, Tier: message.Tier, Patience: min(max(message.Patience, 0), mostPatience)}
		throttler.serve(now, view, start, message.DataCentre, ask, message.ReplyTo)
	}
}

// drop takes a queued ask back; mutex is held.
func (throttler *Throttler) drop(start definer.UpstreamStart, id issuer.AskID) {
	if issuance, ok := throttler.issuances[start]; ok {
		issuance.issuer.Withdraw(id)
		delete(issuance.replies, id)
	}
}

// serve decides on an ask of a peer or, with nowhere to reply to, of this node, or queues it;
// mutex is held.
func (throttler *Throttler) serve(now time.Time, view view, start definer.UpstreamStart, dataCentre definer.DataCentre, ask issuer.Ask, replyTo string) {
	announcement, _ := throttler.announcer.Of(now, start)
	perSecond, limited := announcement.Limit.PerSecond()
	if !limited {
		throttler.tell(now, start, replyTo, &messenger.PermitAnswer{Number: ask.ID.Number, Verdict: messenger.PermitNeedless})
		return
	}
	order := throttler.order(now, view.nodes, start, dataCentre)
	issuance := throttler.open(now, start)
	throttler.settle(now, issuance, start, view, order, dataCentre, perSecond)
	decision := issuance.issuer.Ask(now, ask)
	if decision.Verdict == issuer.Queued {
		issuance.replies[ask.ID] = replyTo
		throttler.lookAgain(start, issuance)
	}
	answer := encode(decision)
	answer.Before = throttler.firstBefore(now, order, throttler.self.VM)
	throttler.tell(now, start, replyTo, answer)
}

// open returns the issuance of an upstream; mutex is held.
func (throttler *Throttler) open(now time.Time, start definer.UpstreamStart) *issuance {
	known, ok := throttler.issuances[start]
	if ok {
		return known
	}
	if len(throttler.issuances) >= sweepAt {
		maps.DeleteFunc(throttler.issuances, func(_ definer.UpstreamStart, issuance *issuance) bool { return now.Sub(issuance.askedAt) > idleAfter })
	}
	opened := &issuance{issuer: issuer.New(now, leastRate), since: now, askedAt: now, position: -1, replies: make(map[issuer.AskID]string)}
	throttler.issuances[start] = opened
	return opened
}

// settle sets how many permits a second an issuance hands out: the limit for the first node in
// the order that is not gone, a part of what the one before does for each other. The mutex is
// held.
func (throttler *Throttler) settle(now time.Time, issuance *issuance, start definer.UpstreamStart, view view, order []exchanger.Peer, dataCentre definer.DataCentre, limit float64) {
	if now.Sub(issuance.askedAt) > goneAfter {
		issuance.since = now // Others may have taken this node for gone.
	}
	issuance.askedAt, issuance.dataCentre = now, dataCentre
	earlier := before(order, throttler.self.VM)
	counted := earlier[:min(len(earlier), mostBefore)]
	for _, node := range counted {
		throttler.probe(now, node, start, dataCentre)
	}
	position := throttler.countPresent(now, counted)
	issuance.issuer.SetRate(now, rate(limit, position, now.Sub(issuance.since), view.known))
	if next := len(earlier) + 1; next < len(order) {
		// It may not have this node on its list, and hand out permits too.
		throttler.probe(now, order[next], start, dataCentre)
	}
	if position != issuance.position {
		issuance.position = position
		throttler.log(logger.EventPermitsIssued, "upstream", start.Upstream, "incarnation", start.Incarnation,
			"limit", limit, "position", position, "nodes", len(order), "listKnown", view.known)
	}
}

// firstBefore returns the first node that goes before the given one in an order and was heard
// from of late, nil for none; mutex is held.
func (throttler *Throttler) firstBefore(now time.Time, order []exchanger.Peer, vm definer.VM) *messenger.PermitIssuer {
	for _, node := range before(order, vm) {
		if node.VM != throttler.self.VM && now.Sub(throttler.contact(node.VM).heardAt) < probeEvery+answerPatience {
			return &messenger.PermitIssuer{VM: node.VM, DataCentre: node.DataCentre, Address: node.Address}
		}
	}
	return nil
}

// rate returns how many permits a second a node hands out at a position.
func rate(limit float64, position int, open time.Duration, listKnown bool) float64 {
	if position == 0 && open < settleFor {
		position = 1
	}
	rate := max(limit, leastRate) * math.Pow(standInShare, float64(position))
	if !listKnown {
		rate *= unlistedShare
	}
	return rate
}

// probe asks a node that also hands out permits of an upstream, or may, for a sign; it thereby
// learns of this one. The mutex is held.
func (throttler *Throttler) probe(now time.Time, node exchanger.Peer, start definer.UpstreamStart, dataCentre definer.DataCentre) {
	contact := throttler.contact(node.VM)
	if now.Sub(contact.heardAt) < probeEvery {
		return
	}
	if contact.probedAt.After(contact.heardAt) && now.Sub(contact.probedAt) > answerPatience {
		throttler.noteSilence(now, node.VM, contact.probedAt)
	}
	if now.Sub(contact.probedAt) >= probeEvery {
		contact.probedAt = now
		throttler.sender.Send(context.Background(), node.Address, &messenger.PermitAsk{
			Announcement: throttler.announcer.Encoded(now, start), DataCentre: dataCentre, Probe: true, ReplyTo: throttler.self.Address,
		})
	}
}

// decideQueued answers the queued asks of an upstream that can be decided on.
func (throttler *Throttler) decideQueued(now time.Time, start definer.UpstreamStart) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	issuance, ok := throttler.issuances[start]
	if !ok {
		return
	}
	for _, decision := range issuance.issuer.Due(now) {
		replyTo := issuance.replies[decision.ID]
		delete(issuance.replies, decision.ID)
		throttler.tell(now, start, replyTo, encode(decision))
	}
	throttler.lookAgain(start, issuance)
}

// lookAgain has an issuance looked at again when that is due; mutex is held.
func (throttler *Throttler) lookAgain(start definer.UpstreamStart, issuance *issuance) {
	if at, ok := issuance.issuer.Next(); ok {
		throttler.schedule(start, at)
	}
}

// encode returns a decision as peers are told it.
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

// tell sends an answer, or hands it over if the ask is this node's own; mutex is held.
func (throttler *Throttler) tell(now time.Time, start definer.UpstreamStart, replyTo string, answer *messenger.PermitAnswer) {
	if replyTo == "" {
		throttler.deliver(answer)
		return
	}
	answer.Announcement = throttler.announcer.Encoded(now, start)
	throttler.sender.Send(context.Background(), replyTo, answer)
}
