package issuer

import (
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
)

const (
	// burstSpan is the time for which unused permits accumulate, and minBurst the smallest burst
	// at low rates. With a burst of 1, a permit that waits for its ask would hold up the next.
	burstSpan = 250 * time.Millisecond
	minBurst  = 2
	// fairnessInterval is the number of permits of which one goes to the ask that has waited
	// longest, whatever its tier, so that no tier starves.
	fairnessInterval = 8
	// maxQueued bounds the queue.
	maxQueued = 256
	// maxRetryDelay is the longest time after which a denied node is told to ask again.
	maxRetryDelay = 2 * time.Second
	// maxPlaceRetryDelay is the same where permits are limited in number at a time: places become free
	// at any moment.
	maxPlaceRetryDelay = 500 * time.Millisecond
	// overbooking is the ratio of denied nodes told to ask again to the permits expected at that
	// time, since many nodes will have sent their request elsewhere by then.
	overbooking = 3
)

// Issuer issues the permits of one upstream. It is not safe for concurrent use.
type Issuer struct {
	// rate is the number of permits a second, above 0.
	rate float64
	// permits is the number of available permits as of refilledAt, at most burst.
	permits    float64
	refilledAt time.Time
	// queue holds the waiting asks in order of arrival.
	queue []queuedAsk
	// granted is the number of permits issued.
	granted uint64
	// denied is the number of asks that were denied.
	denied uint64
	// retryAt is when each denied node is expected to ask again.
	retryAt map[definer.VM]time.Time
	// places limits the permits in use at a time; nil if there is no such limit.
	places *places
}

// New returns an Issuer with the given rate in permits a second, above 0. It starts without
// permits, since a previous issuer may just have issued them all.
func New(now time.Time, rate float64) *Issuer {
	return &Issuer{rate: rate, refilledAt: now, retryAt: make(map[definer.VM]time.Time)}
}

// Rate returns the number of permits a second.
func (issuer *Issuer) Rate() float64 { return issuer.rate }

// Waiting returns the number of queued asks.
func (issuer *Issuer) Waiting() int { return len(issuer.queue) }

// Denied returns the number of asks that were denied.
func (issuer *Issuer) Denied() uint64 { return issuer.denied }

// SetRate changes the rate in permits a second from now on.
func (issuer *Issuer) SetRate(now time.Time, rate float64) {
	issuer.refill(now)
	issuer.rate = rate
	issuer.permits = min(issuer.permits, issuer.burst())
}

// Ask grants an ask, queues it, or denies it when its patience would end before its turn.
func (issuer *Issuer) Ask(now time.Time, ask Ask) Decision {
	issuer.refill(now)
	if len(issuer.queue) == 0 && issuer.available(now) {
		return issuer.grant(now, ask.ID)
	}
	expected := issuer.timeUntil(now, 1+issuer.countAhead(ask.Tier))
	if expected > ask.Patience || len(issuer.queue) >= maxQueued {
		return issuer.deny(now, ask.ID, expected)
	}
	issuer.queue = append(issuer.queue, queuedAsk{ask: ask, deadline: now.Add(ask.Patience)})
	return Decision{ID: ask.ID, Verdict: Queued, After: expected}
}

// Withdraw removes an ask from the queue, if it is queued.
func (issuer *Issuer) Withdraw(id AskID) {
	issuer.queue = slices.DeleteFunc(issuer.queue, func(queued queuedAsk) bool { return queued.ask.ID == id })
}

// Due returns the decisions on queued asks that can be made now: denials of those past their
// deadline, and a grant for each available permit.
func (issuer *Issuer) Due(now time.Time) []Decision {
	issuer.refill(now)
	var decisions []Decision
	issuer.queue = slices.DeleteFunc(issuer.queue, func(queued queuedAsk) bool {
		if now.Before(queued.deadline) {
			return false
		}
		decisions = append(decisions, issuer.deny(now, queued.ask.ID, issuer.timeUntil(now, 1)))
		return true
	})
	for len(issuer.queue) > 0 && issuer.available(now) {
		index := issuer.nextIndex()
		decisions = append(decisions, issuer.grant(now, issuer.queue[index].ask.ID))
		issuer.queue = slices.Delete(issuer.queue, index, index+1)
	}
	return decisions
}

// Next returns when to call Due next, unless a permit is returned before; ok is false if no ask is
// queued.
func (issuer *Issuer) Next() (at time.Time, ok bool) {
	if len(issuer.queue) == 0 {
		return time.Time{}, false
	}
	now := issuer.refilledAt
	at = now.Add(issuer.timeUntilPermits(1))
	if issuer.places != nil && !issuer.places.available(now) {
		if at = issuer.places.nextChange(now); at.IsZero() {
			at = issuer.queue[0].deadline
		}
	}
	for _, queued := range issuer.queue {
		if queued.deadline.Before(at) {
			at = queued.deadline
		}
	}
	return at, true
}

// burst returns the largest number of permits that are kept.
func (issuer *Issuer) burst() float64 { return max(minBurst, issuer.rate*burstSpan.Seconds()) }

// refill adds the permits for the time since the last call.
func (issuer *Issuer) refill(now time.Time) {
	if now.After(issuer.refilledAt) {
		issuer.permits = min(issuer.permits+issuer.rate*now.Sub(issuer.refilledAt).Seconds(), issuer.burst())
		issuer.refilledAt = now
	}
	if issuer.places != nil {
		issuer.places.expire(now)
	}
}

// available reports whether a permit can be issued.
func (issuer *Issuer) available(now time.Time) bool {
	return issuer.permits >= 1 && (issuer.places == nil || issuer.places.available(now))
}

// timeUntil returns how long it takes until the given number of permits can be issued.
func (issuer *Issuer) timeUntil(now time.Time, permits int) time.Duration {
	expected := issuer.timeUntilPermits(float64(permits))
	if issuer.places != nil {
		expected = max(expected, issuer.places.timeUntil(now, permits))
	}
	return expected
}

// timeUntilPermits returns how long it takes until the rate allows the given number of permits, at
// most some 1 h.
func (issuer *Issuer) timeUntilPermits(permits float64) time.Duration {
	seconds := (permits - issuer.permits) / issuer.rate
	// Rounded up by 1 µs, so that the last permit is whole by then.
	return time.Duration(min(max(seconds, 0), time.Hour.Seconds())*float64(time.Second)) + time.Microsecond
}

// spacing returns the mean time between two permits at full use.
func (issuer *Issuer) spacing() time.Duration {
	spacing := time.Duration(min(1/issuer.rate, maxRetryDelay.Seconds()) * float64(time.Second))
	if issuer.places != nil {
		spacing = max(spacing, issuer.places.meanHold()/time.Duration(max(issuer.places.size(issuer.refilledAt), 1)))
	}
	return spacing
}

// countAhead returns the number of queued asks that precede a new ask of the tier.
func (issuer *Issuer) countAhead(tier int) int {
	count := 0
	for _, queued := range issuer.queue {
		if queued.ask.Tier <= tier {
			count++
		}
	}
	return count
}

// nextIndex returns the index in the queue of the ask that gets the next permit.
func (issuer *Issuer) nextIndex() int {
	if issuer.granted%fairnessInterval == fairnessInterval-1 {
		return 0
	}
	best := 0
	for index, queued := range issuer.queue {
		if queued.ask.Tier < issuer.queue[best].ask.Tier {
			best = index
		}
	}
	return best
}

func (issuer *Issuer) grant(now time.Time, id AskID) Decision {
	issuer.permits--
	if issuer.places != nil {
		issuer.places.take(now, id)
	}
	issuer.granted++
	delete(issuer.retryAt, id.From)
	decision := Decision{ID: id, Verdict: Granted}
	if issuer.places != nil {
		decision.After = issuer.places.lease()
	}
	return decision
}

// deny denies an ask that would get a permit after the expected time if no other node asked. The
// nodes are told different times, spread over the coming permits, so that not all ask for each
// permit.
func (issuer *Issuer) deny(now time.Time, id AskID, expected time.Duration) Decision {
	issuer.denied++
	maps.DeleteFunc(issuer.retryAt, func(_ definer.VM, at time.Time) bool { return !at.After(now) })
	delete(issuer.retryAt, id.From)
	turn := issuer.spacing() * time.Duration(1+len(issuer.retryAt)) / overbooking
	after := max(expected, turn)
	after = min(after, maxRetryDelay)
	if issuer.places != nil {
		after = min(after, maxPlaceRetryDelay)
	}
	issuer.retryAt[id.From] = now.Add(after)
	return Decision{ID: id, Verdict: Denied, After: after}
}
