package throttler

import (
	"context"
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/issuer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
)

// Acquire asks for a permit to send a request to an upstream. Without a known limit, and if the
// request needs no place, the permit is granted at once. Acquire returns when the issuer has decided, when no decision has arrived in
// time, or when the context ends.
func (throttler *Throttler) Acquire(ctx context.Context, need PermitRequest) Permit {
	announcement, _ := throttler.announcer.Latest(time.Now(), need.Start)
	_, limited := announcement.Limit.PerSecond()
	limited = limited || need.ColdFor > 0 || need.Connections > 0
	if !limited && !need.Placed {
		return Permit{Granted: true}
	}
	ask := throttler.sendAsk(time.Now(), need)
	defer throttler.forgetAsk(ask)
	if limit, _ := throttler.announcer.RejectionLimit(ask.sentAt, need.Service); !limited && !limit.InForce() {
		return throttler.awaitOptional(ctx, ask)
	}
	permit, outcome := throttler.await(ctx, ask, answerTimeout)
	throttler.count(outcome)
	return permit
}

// awaitOptional waits for the decision on an ask for an upstream that has no limit as far as this
// node knows, which has just started. Without a decision, the request is sent.
func (throttler *Throttler) awaitOptional(ctx context.Context, ask *ask) Permit {
	if ask.issuer.VM == "" {
		return Permit{Granted: true} // No node could be asked.
	}
	permit, outcome := throttler.await(ctx, ask, optionalTimeout)
	throttler.count(outcome)
	if outcome == Unanswered {
		return Permit{Granted: true}
	}
	return permit
}

// ask is a request for a permit that this node has sent and that is not decided on yet.
type ask struct {
	need    PermitRequest
	number  uint64
	issuer  exchanger.Peer
	sentAt  time.Time
	answers chan messenger.PermitAnswer
}

// sendAsk asks the node that issues the permits.
func (throttler *Throttler) sendAsk(now time.Time, need PermitRequest) *ask {
	list := throttler.listNodes(now)
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.updateReach(list)
	throttler.lastNumber++
	ask := &ask{need: need, number: throttler.lastNumber, sentAt: now, answers: make(chan messenger.PermitAnswer, 2)}
	throttler.asks[ask.number] = ask
	node, found := throttler.issuerOf(now, throttler.order(now, list.nodes, need.Start, need.DataCentre, absence(need.ColdFor > 0, need.inUse())))
	ask.issuer = node
	switch {
	case !found:
		ask.answers <- messenger.PermitAnswer{Verdict: messenger.PermitDenied, After: answerTimeout}
	case node.VM == throttler.self.VM:
		throttler.decide(now, list, throttler.decodeAsk(now, throttler.self.VM, throttler.message(now, ask), ""))
	default:
		throttler.sender.Send(context.Background(), node.Address, throttler.message(now, ask))
	}
	return ask
}

// message returns the wire message of an ask. The mutex is held.
func (throttler *Throttler) message(now time.Time, ask *ask) *messenger.PermitAsk {
	coldPerSecond, _ := ask.need.ColdLimit.PerSecond()
	message := &messenger.PermitAsk{
		Number: ask.number, Announcement: throttler.announcer.LatestEncoded(now, ask.need.Start), DataCentre: ask.need.DataCentre,
		Tier: ask.need.Tier, Patience: ask.need.Patience, ColdPerSecond: coldPerSecond, ColdFor: ask.need.ColdFor,
		Connections: ask.need.Connections, ReplyTo: throttler.self.Address,
	}
	if ask.need.inUse() {
		message.Occupancy = throttler.occupancy(now, &ask.need)
	}
	return message
}

// await waits until an ask is decided on, was not answered within the timeout or is withdrawn.
func (throttler *Throttler) await(ctx context.Context, ask *ask, timeout time.Duration) (Permit, Outcome) {
	patience := time.NewTimer(timeout)
	defer patience.Stop()
	queued := false
	for {
		select {
		case answer := <-ask.answers:
			switch answer.Verdict {
			case messenger.PermitGranted:
				return Permit{Granted: true, Holding: throttler.hold(time.Now(), ask, answer.After)}, Granted
			case messenger.PermitNeedless:
				return Permit{Granted: true}, Granted
			case messenger.PermitDenied:
				return Permit{RetryAfter: max(answer.After, time.Millisecond)}, Denied
			case messenger.PermitQueued:
				queued = true
				patience.Reset(ask.need.Patience + answerTimeout)
			}
		case <-ctx.Done():
			throttler.withdraw(time.Now(), ask)
			return Permit{RetryAfter: answerTimeout}, Withdrawn
		case <-patience.C:
			throttler.unanswered(time.Now(), ask, queued)
			return Permit{RetryAfter: answerTimeout}, Unanswered
		}
	}
}

// forgetAsk removes an ask, so that later answers to it are ignored.
func (throttler *Throttler) forgetAsk(ask *ask) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	delete(throttler.asks, ask.number)
}

// withdraw cancels an ask that may be queued.
func (throttler *Throttler) withdraw(now time.Time, ask *ask) {
	if ask.issuer.VM == "" {
		return // No node was asked.
	}
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	if ask.issuer.VM != throttler.self.VM {
		message := throttler.message(now, ask)
		message.Withdrawn = true
		throttler.sender.Send(context.Background(), ask.issuer.Address, message)
		return
	}
	throttler.withdrawQueued(ask.need.resource(), issuer.AskID{From: throttler.self.VM, Number: ask.number})
}

// unanswered handles an ask that was not answered in time, or not decided on in time after it was
// queued.
func (throttler *Throttler) unanswered(now time.Time, ask *ask, queued bool) {
	if queued {
		throttler.withdraw(now, ask)
	}
	if ask.issuer.VM == throttler.self.VM {
		return
	}
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.noteSilence(now, ask.issuer.VM, ask.sentAt)
}

// noteSilence records that a node has not answered a message sent at the time. The mutex is held.
func (throttler *Throttler) noteSilence(now time.Time, vm definer.VM, sentAt time.Time) {
	contact := throttler.contact(vm)
	if contact.heardAt.After(sentAt) || contact.isBackingOff(now) {
		return // It has answered since, or its silence is already recorded.
	}
	contact.recordSilence(now)
	if contact.silences == 1 {
		throttler.log(logger.EventIssuerSilent, "peer", vm, "afterMs", now.Sub(sentAt).Milliseconds())
	}
}

// receiveAnswer processes the decision on an ask.
func (throttler *Throttler) receiveAnswer(now time.Time, from definer.VM, answer *messenger.PermitAnswer) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.contact(from).recordAnswer(now)
	if before := answer.Before; before != nil && before.VM != throttler.self.VM {
		// The sender stands in for this earlier node but hears from it, so that it can be asked
		// again.
		throttler.contact(before.VM).backoffUntil = time.Time{}
		throttler.addUnlisted(now, exchanger.Peer{VM: before.VM, DataCentre: before.DataCentre, Address: before.Address})
	}
	throttler.deliver(answer)
}

// deliver passes an answer to the goroutine that waits for it, if any. The mutex is held.
func (throttler *Throttler) deliver(answer *messenger.PermitAnswer) {
	ask, waits := throttler.asks[answer.Number]
	if !waits {
		return
	}
	select {
	case ask.answers <- *answer:
	default: // An ask gets at most two answers; others are duplicates or errors.
	}
}
