package scheduler

import (
	"time"

	"limpetcleat/messenger"
)

// promptTokenCost is the work of one prompt token, in output tokens: the tokens of a
// prompt are processed in parallel, those of an answer one after the other.
const promptTokenCost = 1.0 / 32

// meterDecay is the factor by which a meter weights its earlier sums at each release.
const meterDecay = 0.98

// meter measures the speed at which slots do work.
type meter struct {
	// The three sums decay exponentially: work is the expected work of the finished
	// grants in tokens, seconds is the slot time that they took, and count is their
	// number.
	work    float64
	seconds float64
	count   float64
}

func (meter *meter) add(work float64, busy time.Duration) {
	meter.work = meter.work*meterDecay + work
	meter.seconds = meter.seconds*meterDecay + busy.Seconds()
	meter.count = meter.count*meterDecay + 1
}

// speed returns the work that one slot does, in tokens per second; 0 means unknown.
func (meter *meter) speed() float64 {
	if meter.seconds <= 0 {
		return 0
	}
	return meter.work / meter.seconds
}

// mean returns the mean work of one grant, in tokens.
func (meter *meter) mean() float64 { return meter.work / max(meter.count, 1) }

// cost returns the expected work of an ask, in tokens; for a service, each request
// counts 1.
func (scheduler *Scheduler) cost(ask Ask) float64 {
	if scheduler.servesServices() {
		return 1
	}
	output := float64(ask.OutputTokens)
	if ask.OutputTokens <= 0 {
		output = scheduler.estimator.ExpectedOutput(ask.Class.Name(), ask.Model)
	}
	return promptTokenCost*float64(ask.PromptTokens) + max(output, 1)
}

// remainder returns the expected remaining work of an ask that has already produced
// the given number of tokens.
func (scheduler *Scheduler) remainder(ask Ask, produced int) float64 {
	if scheduler.servesServices() {
		return 1
	}
	return max(scheduler.estimator.ExpectedRemainder(ask.Class.Name(), ask.Model, produced), 1)
}

// learn records the slot time and the observation of a grant and returns the work that
// it did, in tokens.
func (scheduler *Scheduler) learn(now time.Time, grant *grant, busy time.Duration, observation messenger.Observation) float64 {
	if observation == (messenger.Observation{}) {
		return min(grant.cost, busy.Seconds()*scheduler.pace(grant.class))
	}
	used := grant.cost
	if !scheduler.servesServices() {
		used = promptTokenCost*float64(grant.ask.PromptTokens) + max(float64(observation.Tokens), 1)
	}
	if observation.Failed {
		return used
	}
	// The meters count the expected work, as the queue does, so that a wrong estimate
	// of the lengths of a class does not make its expected wait wrong.
	if !grant.adopted {
		scheduler.meter.add(grant.cost, busy)
		grant.class.meter.add(grant.cost, busy)
	}
	if observation.Tokens > 0 {
		scheduler.estimator.Learn(now, grant.class.definition.Name(), grant.ask.Model, observation.Tokens)
	}
	return used
}
