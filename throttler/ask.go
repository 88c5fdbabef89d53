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

// Take asks for a permit to send a request to an upstream, which is granted at once where no
// limit is known. It returns when that is decided, the patience is over or the context ends.
func (throttler *Throttler) Take(ctx context.Context, need Need) Permit {
	announcement, _ := throttler.announcer.Of(time.Now(), need.Start)
	if _, limited := announcement.Limit.PerSecond(); !limited {
		return Permit{Granted: true}
	}
	ask := throttler.begin(time.Now(), need)
	defer throttler.end(ask)
	permit, outcome := throttler.await(ctx, ask)
	throttler.count(outcome)
	return permit
}

// ask is one of this node's, on its way.
type ask struct {
	need    Need
	number  uint64
	issuer  exchanger.Peer
	sentAt  time.Time
	answers chan messenger.PermitAnswer
}

// begin asks the node that hands out the permits.
func (throttler *Throttler) begin(now time.Time, need Need) *ask {
	view := throttler.look()
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.number++
	ask := &ask{need: need, number: throttler.number, sentAt: now, answers: make(chan messenger.PermitAnswer, 2)}
	throttler.asks[ask.number] = ask.answers
	node, found := throttler.issuerOf(now, throttler.order(now, view.nodes, need.Start, need.DataCentre))
	ask.issuer = node
	switch {
	case !found:
		ask.answers <- messenger.PermitAnswer{Verdict: messenger.PermitDenied, After: answerPatience}
	case node.VM == throttler.self.VM:
		own := issuer.Ask{ID: issuer.AskID{From: throttler.self.VM, Number: ask.number}, Tier: need.Tier, Patience: need.Patience}
		throttler.serve(now, view, need.Start, need.DataCentre, own, "")
	default:
		throttler.sender.Send(context.Background(), node.Address, throttler.message(now, ask))
	}
	return ask
}

// message returns the message of an ask.
func (throttler *Throttler) message(now time.Time, ask *ask) *messenger.PermitAsk {
	return &messenger.PermitAsk{
		Number: ask.number, Announcement: throttler.announcer.Encoded(now, ask.need.Start), DataCentre: ask.need.DataCentre,
		Tier: ask.need.Tier, Patience: ask.need.Patience, ReplyTo: throttler.self.Address,
	}
}

// await waits until an ask is decided on.
func (throttler *Throttler) await(ctx context.Context, ask *ask) (Permit, Outcome) {
	patience := time.NewTimer(answerPatience)
	defer patience.Stop()
	queued := false
	for {
		select {
		case answer := <-ask.answers:
			switch answer.Verdict {
			case messenger.PermitGranted, messenger.PermitNeedless:
				return Permit{Granted: true}, Granted
			case messenger.PermitDenied:
				return Permit{After: max(answer.After, time.Millisecond)}, Denied
			case messenger.PermitQueued:
				queued = true
				patience.Reset(ask.need.Patience + answerPatience)
			}
		case <-ctx.Done():
			throttler.withdraw(time.Now(), ask)
			return Permit{After: answerPatience}, Withdrawn
		case <-patience.C:
			throttler.unanswered(time.Now(), ask, queued)
			return Permit{After: answerPatience}, Unanswered
		}
	}
}

// end forgets an ask.
func (throttler *Throttler) end(ask *ask) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	delete(throttler.asks, ask.number)
}

// withdraw takes an ask back that may be queued.
func (throttler *Throttler) withdraw(now time.Time, ask *ask) {
	if ask.issuer.VM == "" {
		return // Nobody was asked.
	}
	if ask.issuer.VM != throttler.self.VM {
		message := throttler.message(now, ask)
		message.Withdrawn = true
		throttler.sender.Send(context.Background(), ask.issuer.Address, message)
		return
	}
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.drop(ask.need.Start, issuer.AskID{From: throttler.self.VM, Number: ask.number})
}

// unanswered notes that nothing was said to an ask in time, or nothing more since it was
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

// noteSilence notes that a node said nothing to what it was sent at the time; mutex is held.
func (throttler *Throttler) noteSilence(now time.Time, vm definer.VM, sentAt time.Time) {
	contact := throttler.contact(vm)
	if contact.heardAt.After(sentAt) || contact.backsOff(now) {
		return // It has said something since, or others have noted its silence.
	}
	contact.silent(now)
	if contact.silences == 1 {
		throttler.log(logger.EventIssuerSilent, "peer", vm, "afterMs", now.Sub(sentAt).Milliseconds())
	}
}

// receiveAnswer takes in the decision on an ask.
func (throttler *Throttler) receiveAnswer(now time.Time, from definer.VM, answer *messenger.PermitAnswer) {
	throttler.mutex.Lock()
	defer throttler.mutex.Unlock()
	throttler.contact(from).heard(now)
	if before := answer.Before; before != nil && before.VM != throttler.self.VM {
		// The sender stands in for it and hears from it: it is to be asked again.
		throttler.contact(before.VM).backoffUntil = time.Time{}
		throttler.meet(now, exchanger.Peer{VM: before.VM, DataCentre: before.DataCentre, Address: before.Address})
	}
	throttler.deliver(answer)
}

// deliver hands an answer to who waits for it; mutex is held.
func (throttler *Throttler) deliver(answer *messenger.PermitAnswer) {
	answers, waits := throttler.asks[answer.Number]
	if !waits {
		return
	}
	select {
	case answers <- *answer:
	default: // At most two are to come; more are repeated by the network or wrong.
	}
}
