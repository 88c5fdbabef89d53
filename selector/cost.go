package selector

import "time"

const (
	// engineRequestCost is what one more request in flight at an engine costs the others there,
	// as time: some hundred decoding steps, each some hundredths of a millisecond longer.
	engineRequestCost = 3 * time.Millisecond
	// serviceRequestCost is what one request in flight at a plain service costs the next one;
	// work there takes 15 to 60 ms on 6 slots.
	serviceRequestCost = 10 * time.Millisecond
	// slotOverflowCost is added for each request in flight above an upstream's slots; an
	// estimate, above the time in which a slot becomes free.
	slotOverflowCost = 200 * time.Millisecond
	// maxCacheShare is the part of an engine's KV cache that requests in flight may occupy;
	// above it the engine would preempt requests and prefill again what it dropped.
	maxCacheShare = 0.85
	// cacheOverflowCost is added for an engine that would exceed maxCacheShare; an estimate of
	// what a preempted request loses.
	cacheOverflowCost = 600 * time.Millisecond
	// farCost is added for an upstream in another data centre; the round trip takes 1 to 3 ms,
	// and the platform bills the bytes.
	farCost = 8 * time.Millisecond
	// failureCost is the cost of an upstream at which all requests fail; it is scaled by the
	// square of the failure share. Plain services may fail 14 in 100 in normal operation, which
	// costs 20 ms.
	failureCost = time.Second
	// riskCost is added for an upstream that could not be reached lately when the request must
	// not be sent twice.
	riskCost = 2 * time.Second
)

// priced returns the cost of sending the request to a candidate, as time: how long it is expected
// to wait, as far as candidates differ, plus what it costs others.
func (choice *choice) priced(candidate *candidate) priced {
	priced := priced{candidate: candidate}
	if !choice.near(candidate) {
		priced.other += farCost
	}
	if !choice.demand.Engine {
		priced.load = choice.riskCost(candidate) + serviceLoadCost(candidate)
		return priced
	}
	priced.load = choice.riskCost(candidate) + choice.pauseCost(candidate) + choice.latenessCost(candidate)
	priced.load += engineRequestCost * time.Duration(candidate.inFlight())
	priced.load += time.Duration((1 - candidate.share) * float64(otherSideCost))
	priced.other += choice.cacheOverflowCost(candidate) + choice.cacheMissCost(candidate)
	if choice.deferred(candidate) {
		// A deferred request delays none of the others and waits for all of them.
		priced.load += choice.lateCost() + choice.service.predicted.Work(candidate.deferred())
		return priced
	}
	priced.load += candidate.wait + choice.slownessCost(candidate)
	return priced
}

// slownessCost returns how much longer than at an engine of usual speed the prompt's own prefill
// takes at a candidate; negative if the candidate is faster.
func (choice *choice) slownessCost(candidate *candidate) time.Duration {
	return choice.prefillTime(candidate) - choice.service.predicted.PrefillTime(choice.unreadTokens(candidate))
}

// prefillTime returns how long the prefill of the request's own prompt takes at a candidate.
func (choice *choice) prefillTime(candidate *candidate) time.Duration {
	return candidate.engine.PrefillTime(choice.unreadTokens(candidate))
}

// unreadTokens counts the tokens of the request's prompt that a candidate has not cached.
func (choice *choice) unreadTokens(candidate *candidate) int {
	return choice.demand.PromptTokens - candidate.cachedTokens
}

// serviceLoadCost returns what the requests in flight at an upstream of a plain service cost the
// next one.
func serviceLoadCost(candidate *candidate) time.Duration {
	cost := serviceRequestCost * time.Duration(candidate.inFlight())
	if slots := candidate.upstream.Slots; slots > 0 && candidate.inFlight() >= slots {
		cost += slotOverflowCost * time.Duration(1+candidate.inFlight()-slots)
	}
	return cost
}

// cacheOverflowCost returns the cost of exceeding the memory that an engine has for requests.
func (choice *choice) cacheOverflowCost(candidate *candidate) time.Duration {
	demand := choice.demand
	free := int(maxCacheShare*float64(demand.CacheTokens)) - candidate.tokens() - demand.tokens() + candidate.cachedTokens
	if demand.CacheTokens <= 0 || free >= 0 {
		return 0
	}
	return cacheOverflowCost + choice.service.predicted.Work(-free)
}

// deferred reports whether the request would be queued behind all others at a candidate: it may be
// deferred, and exceeds its organisation's share or would miss its objective there anyway.
func (choice *choice) deferred(candidate *candidate) bool {
	demand := choice.demand
	late := demand.Objective != 0 && choice.firstEventTime(candidate) > time.Duration(riskFrom*float64(choice.objective))
	return demand.Deferrable && (demand.BeyondShare || late)
}

// firstEventTime returns how long the first event from a candidate is expected to take.
func (choice *choice) firstEventTime(candidate *candidate) time.Duration {
	return candidate.wait + choice.prefillTime(candidate)
}

// lateCost returns the cost of missing the objective: the objective itself, plus the engine
// time that the request would take from one that could be on time in its place.
func (choice *choice) lateCost() time.Duration {
	own := choice.service.predicted.Work(choice.demand.PromptTokens - choice.demand.sharedTokens())
	return choice.demand.Objective + time.Duration(choice.price*float64(own))
}

// riskCost returns the cost of the candidate's recent failures.
func (choice *choice) riskCost(candidate *candidate) time.Duration {
	share := candidate.state.failureShare(choice.now)
	cost := time.Duration(share * share * float64(failureCost))
	if candidate.state.consecutiveFailures > 0 && !choice.demand.Idempotent {
		cost += riskCost
	}
	return cost
}

// engineTimePrice returns the price of a unit of engine time: it delays the requests that wait
// there, and all that arrive until the queue is empty. Together with deferring, this price has
// 0.86 of the long prompts on time in the model of a cold burst of some three times the usual
// load, compared with 0.42 with basePrice alone.
func (choice *choice) engineTimePrice() float64 {
	unread := choice.meanOfSide((*candidate).unread)
	waiting := choice.side.arrivals * choice.service.predicted.Work(int(unread)).Seconds()
	return basePrice + waiting/(1-min(choice.side.utilisation, maxUtilisation))
}
