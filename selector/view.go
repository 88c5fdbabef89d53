package selector

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/predictor"
	"limpetcleat/registrar"
)

// candidate is an upstream as seen while a request is being assigned.
type candidate struct {
	upstream *registrar.Upstream
	state    *state
	// load is the load that the requests of peers put on it.
	load messenger.UpstreamLoad
	// share is how much of the engine belongs to the request's side of the partition, 0 to 1.
	// It and the fields below are set for engines only.
	share float64
	// pace is how the engine deviates from its service, by the observations of all nodes, and
	// engine predicts by it.
	pace   predictor.Pace
	engine predictor.Engine
	// wait is how long a request without a prompt would wait there for its first event.
	wait time.Duration
	// cachedTokens counts the tokens of the prompt's shared parts that the engine is believed
	// to hold.
	cachedTokens int
}

// inFlight counts the requests in flight there, of this node and of its peers.
func (candidate *candidate) inFlight() int { return candidate.state.inFlight + candidate.load.InFlight }

// unread counts the prompt tokens there of requests without a first event, except the deferred
// ones.
func (candidate *candidate) unread() int { return candidate.state.unread + candidate.load.Unread }

// streams counts the protected streams there.
func (candidate *candidate) streams() int { return candidate.state.streams + candidate.load.Streams }

// deferred counts the prompt tokens there of deferred requests without a first event.
func (candidate *candidate) deferred() int { return candidate.state.deferred + candidate.load.Deferred }

// beyondShare counts the requests in flight there that exceed their organisation's share.
func (candidate *candidate) beyondShare() int {
	return candidate.state.beyondShare + candidate.load.Beyond
}

// tokens counts the tokens that the requests there may occupy in the engine's KV cache.
func (candidate *candidate) tokens() int { return candidate.state.tokens + candidate.load.Tokens }

// newCandidates returns the demand's candidates with their states and the load from peers. They are
// valid until the next call.
func (choice *choice) newCandidates() []candidate {
	demand, selector := choice.demand, choice.selector
	candidates := slices.Grow(selector.scratch.candidates[:0], len(demand.Candidates))[:len(demand.Candidates)]
	selector.scratch.candidates = candidates
	for index, upstream := range demand.Candidates {
		state := selector.stateOf(upstream.Start(), choice.now)
		start := definer.UpstreamStart{Upstream: upstream.ID, Incarnation: state.incarnation}
		load, pace := selector.peerReports.load(start)
		candidates[index] = candidate{upstream: upstream, state: state, load: load, pace: state.pace.Plus(choice.now, pace)}
	}
	return candidates
}

// meanOfSide returns the mean of a count over the engines of the request's side, weighted by
// share.
func (choice *choice) meanOfSide(count func(*candidate) int) float64 {
	total, engines := 0.0, 0.0
	for index := range choice.candidates {
		candidate := &choice.candidates[index]
		total += candidate.share * float64(count(candidate))
		engines += candidate.share
	}
	if engines == 0 {
		return 0
	}
	return total / engines
}

func (choice *choice) near(candidate *candidate) bool {
	return candidate.upstream.DataCentre == choice.selector.dataCentre
}

// commonPace returns the pace of all candidates together. Load that no prediction contains slows
// all engines alike; what remains of an engine's pace is its own.
func (choice *choice) commonPace() predictor.Pace {
	var common predictor.Pace
	for index := range choice.candidates {
		common = common.Plus(choice.now, choice.candidates[index].pace)
	}
	return common
}

// expectedWait returns how long a request without a prompt would wait at a candidate for its
// first event: the prefill before it and the wait for a slot.
func (choice *choice) expectedWait(candidate *candidate) time.Duration {
	return candidate.engine.FirstEvent(candidate.unread()) + choice.slotWait(candidate)
}

// slotWait returns how long a request would wait there for a free slot. Requests beyond their
// organisation's share count for each other only: engines queue them behind all others, and they
// must not make requests within their share be deferred or refused.
func (choice *choice) slotWait(candidate *candidate) time.Duration {
	slots := candidate.upstream.Slots
	ahead := candidate.inFlight() + 1 - slots
	if !choice.demand.BeyondShare || !choice.demand.Deferrable {
		ahead -= candidate.beyondShare()
	}
	if slots <= 0 || ahead <= 0 {
		return 0
	}
	return choice.service.slotTime.mean() * time.Duration(ahead) / time.Duration(slots)
}
