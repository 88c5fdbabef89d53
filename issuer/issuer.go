package issuer

import (
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
)

const (
	// burstSpan is the time for which permits that nobody took are kept, and leastBurst how
	// many are at least: of few a second, one that waits for its taker would hold up the next.
	burstSpan  = 250 * time.Millisecond
	leastBurst = 2
	// fairEvery is how often the ask that has waited longest goes first whatever its tier, so
	// that no tier starves.
	fairEvery = 8
	// maxWaiting bounds the queue.
	maxWaiting = 256
	// maxAway is the longest time after which a denied node is asked to come again.
	maxAway = 2 * time.Second
	// overbooking is how many times as many denied nodes are asked to come again as there
	// will be permits: many have sent their request elsewhere by then.
	overbooking = 3
)

// Issuer hands out the permits of one upstream. It is not safe for concurrent use.
type Issuer struct {
	// rate is the permits a second, above 0.
	rate float64
	// permits counts those that may be handed out as of filledAt, burst at most.
	permits  float64
	filledAt time.Time
	// queue holds the asks that wait, in the order in which they came.
	queue []waiter
	// granted counts the permits handed out.
	granted uint64
	// away holds until when each node that was denied is expected to stay away.
	away map[definer.VM]time.Time
}

// New returns an issuer of so many permits a second, above 0, that has none yet: another may
// have handed out all up to now.
func New(now time.Time, rate float64) *Issuer {
	return &Issuer{rate: rate, filledAt: now, away: make(map[definer.VM]time.Time)}
}

// Rate returns the permits a second.
func (issuer *Issuer) Rate() float64 { return issuer.rate }

// Waiting counts the asks that wait.
func (issuer *Issuer) Waiting() int { return len(issuer.queue) }

// SetRate changes the permits a second from now on.
func (issuer *Issuer) SetRate(now time.Time, rate float64) {
	issuer.fill(now)
	issuer.rate = rate
	issuer.permits = min(issuer.permits, issuer.burst())
}

// Ask decides on an ask, or queues it.
func (issuer *Issuer) Ask(now time.Time, ask Ask) Decision {
	issuer.fill(now)
	if len(issuer.queue) == 0 && issuer.permits >= 1 {
		return issuer.grant(ask.ID)
	}
	expected := issuer.until(1 + float64(issuer.ahead(ask.Tier)))
	if expected > ask.Patience || len(issuer.queue) >= maxWaiting {
		return issuer.deny(now, ask.ID, expected)
	}
	issuer.queue = append(issuer.queue, waiter{ask: ask, until: now.Add(ask.Patience)})
	return Decision{ID: ask.ID, Verdict: Queued, After: expected}
}

// Withdraw takes back an ask that may be queued.
func (issuer *Issuer) Withdraw(id AskID) {
	issuer.queue = slices.DeleteFunc(issuer.queue, func(waiter waiter) bool { return waiter.ask.ID == id })
}

// Due returns the decisions on queued asks whose time has come.
func (issuer *Issuer) Due(now time.Time) []Decision {
	issuer.fill(now)
	var decisions []Decision
	issuer.queue = slices.DeleteFunc(issuer.queue, func(waiter waiter) bool {
		if now.Before(waiter.until) {
			return false
		}
		decisions = append(decisions, issuer.deny(now, waiter.ask.ID, issuer.until(1)))
		return true
	})
	for len(issuer.queue) > 0 && issuer.permits >= 1 {
		place := issuer.first()
		decisions = append(decisions, issuer.grant(issuer.queue[place].ask.ID))
		issuer.queue = slices.Delete(issuer.queue, place, place+1)
	}
	return decisions
}

// Next returns when Due is to be called; ok is false while no ask waits.
func (issuer *Issuer) Next() (at time.Time, ok bool) {
	if len(issuer.queue) == 0 {
		return time.Time{}, false
	}
	at = issuer.filledAt.Add(issuer.until(1))
	for _, waiter := range issuer.queue {
		if waiter.until.Before(at) {
			at = waiter.until
		}
	}
	return at, true
}

// burst is the most permits that are kept.
func (issuer *Issuer) burst() float64 { return max(leastBurst, issuer.rate*burstSpan.Seconds()) }

// fill adds the permits of the time since the last call.
func (issuer *Issuer) fill(now time.Time) {
	if now.After(issuer.filledAt) {
		issuer.permits = min(issuer.permits+issuer.rate*now.Sub(issuer.filledAt).Seconds(), issuer.burst())
		issuer.filledAt = now
	}
}

// until returns how long it takes until there are so many permits.
func (issuer *Issuer) until(permits float64) time.Duration {
	seconds := (permits - issuer.permits) / issuer.rate
	// Rounded up, so that there is a whole one then.
	return time.Duration(min(max(seconds, 0), time.Hour.Seconds())*float64(time.Second)) + time.Microsecond
}

// ahead counts the queued asks that go before one of the tier.
func (issuer *Issuer) ahead(tier int) int {
	count := 0
	for _, waiter := range issuer.queue {
		if waiter.ask.Tier <= tier {
			count++
		}
	}
	return count
}

// first returns the place of the ask that gets the next permit.
func (issuer *Issuer) first() int {
	if issuer.granted%fairEvery == fairEvery-1 {
		return 0
	}
	best := 0
	for place, waiter := range issuer.queue {
		if waiter.ask.Tier < issuer.queue[best].ask.Tier {
			best = place
		}
	}
	return best
}

func (issuer *Issuer) grant(id AskID) Decision {
	issuer.permits--
	issuer.granted++
	delete(issuer.away, id.From)
	return Decision{ID: id, Verdict: Granted}
}

// deny denies an ask that would get a permit after the time if no other node came. Nodes are
// spread over the permits to come, so that not all ask for each.
func (issuer *Issuer) deny(now time.Time, id AskID, expected time.Duration) Decision {
	maps.DeleteFunc(issuer.away, func(_ definer.VM, until time.Time) bool { return !until.After(now) })
	delete(issuer.away, id.From)
	turn := float64(1+len(issuer.away)) / (overbooking * issuer.rate)
	after := max(expected, time.Duration(min(turn, maxAway.Seconds())*float64(time.Second)))
	after = min(after, maxAway)
	issuer.away[id.From] = now.Add(after)
	return Decision{ID: id, Verdict: Denied, After: after}
}
