package selector

import (
	"time"

	"limpetcleat/registrar"
)

// PredictWork returns the engine time that a request is predicted to take: the prefill of the
// tokens that no candidate has cached, and the time that its answer occupies a slot, divided by
// the slots of an engine. It is 0 if there are no candidates.
func (selector *Selector) PredictWork(now time.Time, demand *Demand) time.Duration {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	if len(demand.Candidates) == 0 {
		return 0
	}
	cached, slots := 0, 0
	for _, upstream := range demand.Candidates {
		slots += upstream.Slots
		state, ok := selector.states[upstream.ID]
		if ok && len(demand.Parts) > 0 && state.incarnation >= upstream.Incarnation {
			cached = max(cached, state.cachedTokens(demand.Parts, now, maxCacheLifetime))
		}
	}
	service := selector.service(demand.Service)
	work := service.predicted.Work(max(demand.PromptTokens-cached, 0))
	if slots > 0 {
		work += time.Duration(float64(service.slotTime.mean()) * float64(len(demand.Candidates)) / float64(slots))
	}
	return work
}

// LiveUpstreams returns how many of the upstreams can be sent requests now: those that are not
// paused after they could not be reached, are not presumed lost and have not asked for a backoff.
func (selector *Selector) LiveUpstreams(now time.Time, upstreams []*registrar.Upstream) int {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	live := 0
	for _, upstream := range upstreams {
		known, ok := selector.states[upstream.ID]
		if !ok || known.incarnation < upstream.Incarnation || !now.Before(known.pauseUntil) && !known.backsOff(now) && !known.lost(now) {
			live++
		}
	}
	return live
}
