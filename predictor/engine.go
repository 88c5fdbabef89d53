package predictor

import (
	"math"
	"time"
)

const (
	// paceDecay is the time constant with which observations of an engine are forgotten. A busy
	// engine has some twenty first events in this time, and engines that become slow stay so for
	// several seconds.
	paceDecay = 3 * time.Second
	// priorWeight is the weight of the usual speed in the factor of an engine, as an expected
	// time: some ten first events outweigh it.
	priorWeight = time.Second
	// minFactor and maxFactor bound the factor of an engine.
	minFactor = 0.25
	maxFactor = 10.0
	// maxObservation bounds the expected and the actual time of one observation, so that one
	// request that was stuck does not outweigh all others.
	maxObservation = 2 * time.Second
)

// Pace sums up recent first events at an engine: the times in which they were expected and in
// which they came. Both sums decay. Paces of different nodes can be added.
type Pace struct {
	expected time.Duration
	actual   time.Duration
	at       time.Time
}

// NewPace returns a Pace of sums as of the time. ok is false, and the Pace empty, if the sums are
// not possible.
func NewPace(at time.Time, expected, actual time.Duration) (pace Pace, ok bool) {
	const most = time.Hour
	if expected < 0 || actual < 0 || expected > most || actual > most {
		return Pace{}, false
	}
	return Pace{expected: expected, actual: actual, at: at}, true
}

// Sums returns the expected and the actual time, decayed to now.
func (pace Pace) Sums(now time.Time) (expected, actual time.Duration) {
	left := 1.0
	if age := now.Sub(pace.at); age > 0 {
		left = math.Exp(-age.Seconds() / paceDecay.Seconds())
	}
	return time.Duration(left * float64(pace.expected)), time.Duration(left * float64(pace.actual))
}

// Plus returns the sum of both, as of now.
func (pace Pace) Plus(now time.Time, other Pace) Pace {
	expected, actual := pace.Sums(now)
	otherExpected, otherActual := other.Sums(now)
	return Pace{expected: expected + otherExpected, actual: actual + otherActual, at: now}
}

// Factor returns how many times as long as usual the engine takes, where the common pace is that of
// all engines of its service together.
func (pace Pace) Factor(now time.Time, common Pace) float64 {
	factor := pace.ratio(now) / common.ratio(now)
	return min(max(factor, minFactor), maxFactor)
}

// ratio returns how many times as long as expected first events took.
func (pace Pace) ratio(now time.Time) float64 {
	expected, actual := pace.Sums(now)
	return (actual + priorWeight).Seconds() / (expected + priorWeight).Seconds()
}

// Observe adds a first event that came after the time took, with that many tokens to be prefilled
// before it, to the estimates of the engine and of its service.
func (pace *Pace) Observe(now time.Time, service *Service, tokens int, took time.Duration) {
	if took <= 0 {
		return
	}
	observed := Pace{expected: min(service.firstEvent(tokens), maxObservation), actual: min(took, maxObservation), at: now}
	*pace = pace.Plus(now, observed)
	service.observeFirstEvent(tokens, took)
}

// Engine predicts for one engine.
type Engine struct {
	service *Service
	// factor is how many times as long as usual the engine takes, above 0.
	factor float64
}

// NewEngine returns the predictions for an engine of a service with the factor by which it
// deviates.
func NewEngine(service *Service, factor float64) Engine {
	return Engine{service: service, factor: factor}
}

// PrefillTime returns how long the engine takes to prefill the tokens.
func (engine Engine) PrefillTime(tokens int) time.Duration {
	return engine.scale(engine.service.PrefillTime(tokens))
}

// FirstEvent returns how long after a request is sent its first event is due, if that many tokens
// are to be prefilled before, including its own.
func (engine Engine) FirstEvent(tokens int) time.Duration {
	return engine.scale(engine.service.firstEvent(tokens))
}

// Pause returns the longest pause of a stream that runs at the engine while the tokens are
// prefilled there: the engine interleaves chunks of prompts with the steps that decode, and
// several steps make an event, so that the prefill may all fall between two events.
func (engine Engine) Pause(tokens int) time.Duration {
	return engine.scale(engine.service.interval + engine.service.PrefillTime(tokens))
}

// Factor returns how many times as long as usual the engine takes.
func (engine Engine) Factor() float64 { return engine.factor }

func (engine Engine) scale(usual time.Duration) time.Duration {
	return time.Duration(engine.factor * float64(usual))
}
