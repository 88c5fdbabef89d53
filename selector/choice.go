package selector

import (
	"fmt"
	"time"

	"limpetcleat/definer"
	"limpetcleat/predictor"
	"limpetcleat/ranker"
)

// choice holds the data for assigning one request to an upstream. The selector's mutex is held
// for its whole lifetime.
type choice struct {
	selector *Selector
	now      time.Time
	demand   *Demand
	service  *service
	side     *side
	// cacheLifetime is how long an engine of the side keeps an unused part in its cache.
	cacheLifetime time.Duration
	candidates    []candidate
	preferred     definer.UpstreamName
	// objective is what remains of the demand's objective for the first event, which counts
	// from the caller's first attempt.
	objective time.Duration
	// subjectCached reports whether some candidate is believed to hold the subject.
	subjectCached bool
	// protected describes the streams whose pauses other requests must not lengthen.
	protected protection
	// ruleWork is how many engines the work of the demand's rule occupies, over all nodes.
	ruleWork float64
	// price is what a unit of engine time costs other requests, in the same unit.
	price float64
	// arrivals is the rate at which this node receives the requests of the demand's rule.
	arrivals *arrivalRate
	// paceChanges are the engines found to have become slow or usual again.
	paceChanges []paceChange
}

// newChoice returns the choice for a demand; for engines it also computes the shares, waits and
// cached tokens of all candidates.
func (selector *Selector) newChoice(now time.Time, demand *Demand) *choice {
	selector.peerReports.expire(now)
	demand = selector.withoutLost(now, demand)
	choice := &choice{selector: selector, now: now, demand: demand, arrivals: selector.service(demand.Service).arrivalsOf(demand.Rule)}
	if !demand.Asked {
		choice.arrivals.add(now)
	}
	if !demand.Engine {
		choice.candidates = choice.newCandidates()
		return choice
	}
	service := selector.service(demand.Service)
	ruleWork := service.partition.rule(demand.Rule)
	ruleWork.tier, ruleWork.gapObjective = demand.Tier, demand.GapObjective
	if ruleWork.since.IsZero() {
		ruleWork.since = now
	}
	choice.objective = demand.Objective - ruleWork.callerTimeout.waitedBefore(demand.TimeLeft)
	choice.service = service
	kinds := selector.totalWork(now, demand.Service)
	choice.ruleWork = kinds[demand.Rule].Work.Seconds() / workDecay.Seconds()
	choice.side, choice.protected = service.side(demand, kinds), protectedStreams(kinds)
	choice.candidates = choice.newCandidates()
	common := choice.commonPace()
	for index := range choice.candidates {
		candidate := &choice.candidates[index]
		candidate.share = choice.side.share(index)
		candidate.engine = predictor.NewEngine(service.predicted, candidate.pace.Factor(now, common))
		choice.notePace(candidate)
		candidate.wait = choice.expectedWait(candidate)
	}
	choice.cacheLifetime = choice.cacheLifetimeOfSide()
	choice.price = choice.engineTimePrice()
	for index := range choice.candidates {
		candidate := &choice.candidates[index]
		candidate.cachedTokens = candidate.state.cachedTokens(demand.Parts, now, choice.cacheLifetime)
		choice.subjectCached = choice.subjectCached || candidate.state.holds(demand.subject(), now, choice.cacheLifetime)
	}
	choice.preferred = choice.preferredEngine()
	return choice
}

// preferredEngine returns the engine of the request's side with the highest rendezvous weight
// for the subject, which is the same on all nodes; empty without a subject.
func (choice *choice) preferredEngine() definer.UpstreamName {
	subject := choice.demand.subject()
	if subject == "" {
		return ""
	}
	var best definer.UpstreamName
	var highest uint64
	for index := range choice.candidates {
		candidate := &choice.candidates[index]
		if candidate.share < 0.5 {
			continue
		}
		if weight := ranker.Weight(subject, string(candidate.upstream.ID)); best == "" || weight > highest {
			best, highest = candidate.upstream.ID, weight
		}
	}
	return best
}

// eligible reports whether a candidate was not yet tried for the request and is not in backoff.
func (choice *choice) eligible(candidate *candidate) bool {
	return !choice.demand.Tried[candidate.upstream.ID] && !candidate.state.backsOff(choice.now)
}

// pick returns an eligible candidate of low cost, and the cost; nil if there is none. Paused
// candidates are included only if paused is set.
func (choice *choice) pick(paused bool) (*candidate, time.Duration) {
	candidates := choice.selector.scratch.priced[:0]
	for index := range choice.candidates {
		candidate := &choice.candidates[index]
		if !choice.eligible(candidate) || choice.withheld(candidate) {
			continue
		}
		if !paused && candidate.state.paused(choice.now) {
			continue
		}
		candidates = append(candidates, choice.priced(candidate))
	}
	choice.selector.scratch.priced = candidates
	if len(candidates) == 0 {
		return nil, 0
	}
	candidates = choice.withoutInterruptions(candidates)
	picked := choice.spread(candidates)
	return picked.candidate, picked.load + picked.other
}

// earliestPermit returns, of the eligible candidates without a permit now, the one that is
// expected to have one first, and when; nil if there is none. Candidates for which no permit was
// denied yet count as having one now.
func (choice *choice) earliestPermit() (*candidate, time.Time) {
	var best *candidate
	var earliest time.Time
	for index := range choice.candidates {
		candidate := &choice.candidates[index]
		if !choice.eligible(candidate) || !choice.withheld(candidate) {
			continue
		}
		until := candidate.state.withheldUntil(choice.demand.Tier)
		if best == nil || until.Before(earliest) {
			best, earliest = candidate, until
		}
	}
	return best, earliest
}

// assign returns the assignment of the request to the candidate at the cost.
func (choice *choice) assign(candidate *candidate, cost time.Duration) *Assignment {
	demand, now, state := choice.demand, choice.now, candidate.state
	assignment := &Assignment{
		selector:      choice.selector,
		upstream:      candidate.upstream,
		state:         state,
		parts:         demand.Parts,
		promptTokens:  demand.PromptTokens,
		cacheLifetime: choice.cacheLifetime,
		sentAt:        now,
		inFlight:      candidate.inFlight(),
		rule:          demand.Rule,
		engine:        demand.Engine,
		beyondShare:   demand.Engine && demand.BeyondShare && demand.Deferrable,
		tier:          demand.Tier,
		awaitsPermit:  choice.needsPermit(candidate),
		protected:     demand.Engine && choice.protected.includes(demand),
		warmUp:        demand.WarmUp,
		coldFor:       choice.coldFor(candidate),
		needsPlace:    demand.NeedsPlace,
	}
	reread := 0
	if demand.Engine {
		reread = choice.plan(assignment, candidate)
	}
	assignment.basis = fmt.Sprintf("inFlight=%d others=%d side=%s failures=%.0f%% expectedMs=%d pace=%.1f pauseMs=%d costMs=%d price=%.1f memoryMs=%d reread=%d deferred=%t preferred=%t known=%t",
		state.inFlight, candidate.load.InFlight, choice.side, 100*state.failureShare(now),
		assignment.expected.Milliseconds(), candidate.engine.Factor(), assignment.expectedPause.Milliseconds(), cost.Milliseconds(), choice.price, choice.cacheLifetime.Milliseconds(), reread, assignment.deferred,
		candidate.upstream.ID == choice.preferred, choice.subjectCached)
	if !assignment.awaitsPermit {
		assignment.addToLoad(now)
	}
	return assignment
}

// plan sets how many prompt tokens the engine has to prefill and when its first event is
// expected. It returns how many shared tokens the engine has to prefill although an engine is
// known to hold the subject, else 0.
func (choice *choice) plan(assignment *Assignment, candidate *candidate) (reread int) {
	demand := choice.demand
	cached := candidate.cachedTokens
	if !choice.subjectCached && candidate.upstream.ID == choice.preferred && choice.selector.peerReports.incomplete() {
		// A peer whose report is missing has most likely sent the subject to this engine.
		cached = demand.sharedTokens()
	}
	if choice.subjectCached {
		reread = choice.missingTokens(candidate)
	}
	assignment.deferred = choice.deferred(candidate)
	assignment.unread = max(demand.PromptTokens-cached, 0)
	assignment.tokens = assignment.unread + demand.OutputTokens
	assignment.tokensAhead = candidate.unread()
	// A caller may state more shared tokens than its prompt has.
	assignment.expected = max(choice.firstEventTime(candidate), 0)
	assignment.expectedPause = choice.pause(candidate)
	assignment.queued = choice.slotWait(candidate) > 0
	return reread
}
