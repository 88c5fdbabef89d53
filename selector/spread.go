package selector

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportLag is the age of the sends of peers that their reports do not yet contain: reports
	// are sent each 100 ms and pass through up to three nodes.
	reportLag = 90 * time.Millisecond
	// arrivalDecay is the time constant of the rate at which requests arrive. Bursts rise within
	// a second.
	arrivalDecay = time.Second
	// costTolerance is the difference up to which the costs of two candidates count as equal.
	costTolerance = time.Millisecond
)

// arrivalRate estimates the rate at which this node receives the requests of a rule.
type arrivalRate struct {
	// since is when the first request came.
	since time.Time
	// count is the number of requests, decaying with arrivalDecay, as of at.
	count float64
	at    time.Time
}

func (arrivalRate *arrivalRate) add(now time.Time) {
	if arrivalRate.since.IsZero() {
		arrivalRate.since = now
	}
	arrivalRate.count = decay(arrivalRate.count, now.Sub(arrivalRate.at), arrivalDecay) + 1
	arrivalRate.at = now
}

// perSecond returns the rate, corrected for the time since the first request if that is short.
func (arrivalRate *arrivalRate) perSecond(now time.Time) float64 {
	return decay(arrivalRate.count, now.Sub(arrivalRate.at), arrivalDecay) / arrivalDecay.Seconds() / decayFill(now.Sub(arrivalRate.since), arrivalDecay)
}

// priced is a candidate with what a request costs there.
type priced struct {
	candidate *candidate
	// load is the part of the cost that is the same for all requests of a rule, and other is the
	// rest. Recent failures belong to load: if they did not, an upstream that has recovered would
	// get nothing while the load of the others is below the common level.
	load  time.Duration
	other time.Duration
}

// spread picks the candidate for the request. All nodes choose by reports that do not contain
// the latest sends: if each took the one with the least load, the requests of a whole report
// interval would go to the same one. The requests that peers have sent since are therefore
// assumed to have raised the least loaded candidates to a common level. Where that leaves several
// of them equal, one is drawn in proportion to the number of requests that it takes to that level.
func (choice *choice) spread(candidates []priced) priced {
	level := choice.level(candidates)
	cost := func(priced priced) time.Duration { return max(priced.load, level) + priced.other }
	lowest := cost(slices.MinFunc(candidates, func(left, right priced) int { return cmp.Compare(cost(left), cost(right)) }))
	equal := choice.selector.scratch.equal[:0]
	total := 0.0
	for _, priced := range candidates {
		if cost(priced)-lowest < costTolerance {
			equal = append(equal, priced)
			total += choice.room(priced, level)
		}
	}
	choice.selector.scratch.equal = equal
	drawn := choice.demand.Draw * total
	for _, priced := range equal {
		room := choice.room(priced, level)
		if drawn < room {
			return priced
		}
		drawn -= room
	}
	return slices.MinFunc(equal, func(left, right priced) int { return cmp.Compare(left.load+left.other, right.load+right.other) })
}

// room returns how many requests raise a candidate's load to the level.
func (choice *choice) room(priced priced, level time.Duration) float64 {
	return max((level-priced.load).Seconds(), 0) / choice.costStep(priced.candidate).Seconds()
}

// level returns the load to which the unreported sends of peers raise the least loaded candidates.
func (choice *choice) level(candidates []priced) time.Duration {
	requests := choice.unreportedSends()
	if requests <= 0 {
		return 0
	}
	sorted := append(choice.selector.scratch.sorted[:0], candidates...)
	choice.selector.scratch.sorted = sorted
	slices.SortFunc(sorted, func(left, right priced) int { return cmp.Compare(left.load, right.load) })
	// The candidates below the level take (level-load)/step requests each.
	capacity, offset, level := 0.0, 0.0, 0.0
	for index, priced := range sorted {
		if index > 0 && priced.load.Seconds() >= level {
			break
		}
		step := choice.costStep(priced.candidate).Seconds()
		capacity += 1 / step
		offset += priced.load.Seconds() / step
		level = (requests + offset) / capacity
	}
	return time.Duration(level * float64(time.Second))
}

// unreportedSends returns how many requests of the rule peers are expected to have in flight that
// their latest reports do not contain; if no peer reports, that is all of them.
func (choice *choice) unreportedSends() float64 {
	reports, span := &choice.selector.peerReports, reportLag
	if reports.none() && choice.demand.Engine {
		span = choice.service.slotTime.mean()
	}
	return choice.arrivals.perSecond(choice.now) * float64(reports.peers) * span.Seconds()
}

// costStep returns by how much one more request raises the cost of a candidate.
func (choice *choice) costStep(candidate *candidate) time.Duration {
	if !choice.demand.Engine {
		return serviceRequestCost
	}
	return engineRequestCost + choice.service.predicted.PrefillTime(choice.unreadTokens(candidate))
}
