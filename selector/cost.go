package selector

import "time"

const (
	// decodeCost is what one more request in flight costs the others of an
	// engine, as time: some hundred steps, each some hundredths of a
	// millisecond longer.
	decodeCost = 3 * time.Millisecond
	// serviceCost is what a request in flight costs the next at a plain service,
	// where work takes 15 to 60 ms on 6 slots.
	serviceCost = 10 * time.Millisecond
	// fullCost is added for each request in flight above an upstream's slots; an
	// estimate, above what a slot takes to become free.
	fullCost = 200 * time.Millisecond
	// memoryShare is the part of an engine's memory that requests in flight may
	// take; above it the engine would preempt, and read again what it dropped.
	memoryShare = 0.85
	// memoryCost is added for an engine whose memory would be above that; an
	// estimate of what a preempted request loses.
	memoryCost = 600 * time.Millisecond
	// farCost is added for an upstream of another data centre; the way there and
	// back is 1 to 3 ms, and the platform bills the bytes.
	farCost = 8 * time.Millisecond
	// failureCost is added for an upstream that fails all requests, in square of
	// the share that fails; plain services may fail 14 in 100 while all is well, which
	// costs 20 ms.
	failureCost = time.Second
	// riskCost is added for an upstream that could not be reached lately when the
	// request may not be sent twice.
	riskCost = 2 * time.Second
)

// cost returns how long the request is expected to wait, as far as upstreams
// differ, and what it costs others.
func (choice *choice) cost(view *view) time.Duration {
	demand := choice.demand
	cost := choice.riskCost(view)
	if !choice.near(view) {
		cost += farCost
	}
	if !demand.Engine {
		if slots := view.upstream.Slots; slots > 0 && view.inFlight() >= slots {
			cost += fullCost * time.Duration(1+view.inFlight()-slots)
		}
		return cost + serviceCost*time.Duration(view.inFlight())
	}
	if free := int(memoryShare*float64(demand.CacheTokens)) - view.tokens() - demand.tokens() + view.cached; demand.CacheTokens > 0 && free < 0 {
		cost += memoryCost + choice.pace.reading(-free)
	}
	cost += decodeCost * time.Duration(view.inFlight())
	cost += time.Duration((1 - view.share) * float64(crossingCost))
	if choice.deferred(view) {
		// It takes nothing of those in time, and waits for all of them.
		return cost + choice.lateCost() + choice.pace.reading(view.deferred()) + choice.supplyCost(view)
	}
	return cost + view.wait + choice.supplyCost(view)
}

// deferred tells whether the request is to be put behind all others at a candidate:
// it would be late there anyway.
func (choice *choice) deferred(view *view) bool {
	demand := choice.demand
	return demand.Deferrable && demand.Objective != 0 && choice.first(view) > choice.objective
}

// first returns when the first event is expected from a candidate.
func (choice *choice) first(view *view) time.Duration {
	return view.wait + choice.pace.reading(choice.demand.PromptTokens-view.cached)
}

// lateCost returns what it costs that the request is late: as much as the time of an
// engine that it would take from another that was in time in its place.
func (choice *choice) lateCost() time.Duration {
	own := choice.pace.reading(choice.demand.PromptTokens - choice.demand.sharedTokens())
	return choice.demand.Objective + time.Duration(choice.price*float64(own))
}

// riskCost returns what it costs that the upstream failed lately.
func (choice *choice) riskCost(view *view) time.Duration {
	share := view.state.failureShare(choice.now)
	cost := time.Duration(share * share * float64(failureCost))
	if view.state.broken > 0 && !choice.demand.Idempotent {
		cost += riskCost
	}
	return cost
}

// priceOfTime returns what a moment of an engine's time costs: those who wait there
// wait for it, and so do all who come until nobody waits any more. Together with
// deferring, it has 0.86 of the long prompts in time in the model of a cold burst of
// some three times the usual load, in place of 0.42 with basePrice alone.
func (choice *choice) priceOfTime() float64 {
	unread := choice.mean((*view).unread)
	waiting := choice.side.arrivals * choice.pace.reading(int(unread)).Seconds()
	return basePrice + waiting/(1-min(choice.side.busy, fullestSide))
}
