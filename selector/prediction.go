package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/predictor"
	"limpetcleat/registrar"
)

// EnginePrediction is what this node predicts for an engine, and the load that it predicts from.
type EnginePrediction struct {
	Upstream definer.UpstreamName
	// Own and Peers count the requests in flight there, of this node and of its peers.
	Own   int
	Peers int
	// Streams counts the protected streams there, of all nodes.
	Streams int
	// Waiting counts the prompt tokens of requests without a first event, of all nodes.
	Waiting int
	// Factor is how many times as long as usual the engine takes.
	Factor float64
	// FirstEvent is when the first event of a request without a prompt is expected, and Pause the
	// longest pause of a stream there.
	FirstEvent time.Duration
	Pause      time.Duration
}

// ServicePrediction is what this node has learned of the engines of a service.
type ServicePrediction struct {
	Service definer.PoolName
	// PrefillSpeed is in tokens per millisecond.
	PrefillSpeed float64
	// BaseLatency is the part of the time to the first event that does not depend on the prompt.
	BaseLatency time.Duration
	// Interval is the usual time between two events of a stream.
	Interval time.Duration
	Engines  []EnginePrediction
}

// Predictions returns what this node predicts for the engines of a service, in their order.
func (selector *Selector) Predictions(now time.Time, name definer.PoolName, engines []*registrar.Upstream) ServicePrediction {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.peerReports.expire(now)
	service := selector.service(name)
	choice := &choice{selector: selector, now: now, demand: &Demand{Service: name, Candidates: engines, Engine: true}, service: service}
	choice.candidates = choice.newCandidates()
	common := choice.commonPace()
	prediction := ServicePrediction{Service: name, PrefillSpeed: service.predicted.Speed(), BaseLatency: service.predicted.Base(), Interval: service.predicted.Interval()}
	for index := range choice.candidates {
		candidate := &choice.candidates[index]
		candidate.engine = predictor.NewEngine(service.predicted, candidate.pace.Factor(now, common))
		prediction.Engines = append(prediction.Engines, EnginePrediction{
			Upstream:   candidate.upstream.ID,
			Own:        candidate.state.inFlight,
			Peers:      candidate.load.InFlight,
			Streams:    candidate.streams(),
			Waiting:    candidate.unread() + candidate.deferred(),
			Factor:     candidate.engine.Factor(),
			FirstEvent: choice.expectedWait(candidate),
			Pause:      choice.pause(candidate),
		})
	}
	return prediction
}
