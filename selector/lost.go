package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/predictor"
	"limpetcleat/registrar"
)

// assumedFactor is the factor of an engine of which nothing is known.
const assumedFactor = 1.0

// SetLost records until when a start of an upstream is presumed lost; a time that has passed ends
// the presumption. It ends the turn of AllowProbe.
func (selector *Selector) SetLost(now time.Time, start definer.UpstreamStart, until time.Time) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	state := selector.stateOf(start, now)
	if state.incarnation != start.Incarnation {
		return
	}
	state.lostUntil, state.probeFrom, state.probeUntil = until, time.Time{}, time.Time{}
	if until.After(selector.anyLostUntil) {
		selector.anyLostUntil = until
	}
}

// AllowProbe lets one request be sent, between the times, to a start of an upstream that is presumed
// lost.
func (selector *Selector) AllowProbe(now time.Time, start definer.UpstreamStart, from, until time.Time) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	if state := selector.stateOf(start, now); state.incarnation == start.Incarnation {
		state.probeFrom, state.probeUntil = from, until
	}
}

// lost reports whether the upstream is presumed lost.
func (state *state) lost(now time.Time) bool { return now.Before(state.lostUntil) }

// withoutLost returns the demand without the candidates that are presumed lost, so that neither the
// division of engines nor any cost counts them. It returns the demand itself if no other candidate
// may serve the request. The mutex is held.
func (selector *Selector) withoutLost(now time.Time, demand *Demand) *Demand {
	if !now.Before(selector.anyLostUntil) {
		return demand
	}
	kept, servable := make([]*registrar.Upstream, 0, len(demand.Candidates)), false
	for _, upstream := range demand.Candidates {
		state := selector.stateOf(upstream.Start(), now)
		if state.lost(now) {
			continue
		}
		kept = append(kept, upstream)
		servable = servable || !demand.Tried[upstream.ID] && !state.backsOff(now)
	}
	if !servable || len(kept) == len(demand.Candidates) {
		return demand
	}
	reduced := *demand
	reduced.Candidates = kept
	return &reduced
}

// dueProbe returns the candidate of the demand that is presumed lost and that this node has to probe
// now, and ends the turn; nil if there is none. Only the first send of a request is a probe, so
// that a request makes at most one.
func (choice *choice) dueProbe(demand *Demand) *candidate {
	if len(demand.Tried) > 0 || !choice.now.Before(choice.selector.anyLostUntil) {
		return nil
	}
	for _, upstream := range demand.Candidates {
		state := choice.selector.stateOf(upstream.Start(), choice.now)
		due := state.lost(choice.now) && !choice.now.Before(state.probeFrom) && choice.now.Before(state.probeUntil)
		candidate := &candidate{upstream: upstream, state: state}
		if !due || !choice.eligible(candidate) || choice.withheld(candidate) {
			continue
		}
		state.probeUntil = time.Time{}
		if demand.Engine {
			candidate.engine = predictor.NewEngine(choice.service.predicted, assumedFactor)
		}
		return candidate
	}
	return nil
}
