package scheduler

import (
	"time"

	"limpetcleat/messenger"
)

// promptShare is the work of one prompt token, in output tokens: prompts are
// read in parallel, answers written one token after the other.
const promptShare = 1.0 / 32

// meterKeep is the part of the past that a meter keeps at each release.
const meterKeep = 0.98

// meter observes how fast slots do work.
type meter struct {
	// work is the decayed sum of finished work, as it was expected, in tokens;
	// seconds that of the
	// slot time it took, count that of the grants.
	work    float64
	seconds float64
	count   float64
}

func (meter *meter) add(work float64, busy time.Duration) {
	meter.work = meter.work*meterKeep + work
	meter.seconds = meter.seconds*meterKeep + busy.Seconds()
	meter.count = meter.count*meterKeep + 1
}

// speed returns the work one slot does in a second; 0 is unknown.
func (meter *meter) speed() float64 {
	if meter.seconds <= 0 {
		return 0
	}
	return meter.work / meter.seconds
}

// mean returns the work of one grant.
func (meter *meter) mean() float64 { return meter.work / max(meter.count, 1) }

// cost returns the expected work of an ask, in tokens.
func (scheduler *Scheduler) cost(ask Ask) float64 {
	if scheduler.plain() {
		return 1
	}
	output := float64(ask.OutputTokens)
	if ask.OutputTokens <= 0 {
		output = scheduler.estimator.Output(ask.Class.Name(), ask.Model)
	}
	return promptShare*float64(ask.PromptTokens) + max(output, 1)
}

// remainder returns the expected work of an ask that produced tokens already.
func (scheduler *Scheduler) remainder(ask Ask, produced int) float64 {
	if scheduler.plain() {
		return 1
	}
	return max(scheduler.estimator.Remainder(ask.Class.Name(), ask.Model, produced), 1)
}

// learn takes in how long a grant took and returns the work it was.
func (scheduler *Scheduler) learn(now time.Time, grant *grant, busy time.Duration, observation messenger.Observation) float64 {
	if observation == (messenger.Observation{}) {
		return min(grant.cost, busy.Seconds()*scheduler.pace(grant.class))
	}
	used := grant.cost
	if !scheduler.plain() {
		used = promptShare*float64(grant.ask.PromptTokens) + max(float64(observation.Tokens), 1)
	}
	if observation.Failed {
		return used
	}
	// The meters go by what was expected, as the queue does: so a wrong estimate
	// of a class's lengths does not make its expected wait wrong.
	if !grant.adopted {
		scheduler.meter.add(grant.cost, busy)
		grant.class.meter.add(grant.cost, busy)
	}
	if observation.Tokens > 0 {
		scheduler.estimator.Learn(now, grant.class.definition.Name(), grant.ask.Model, observation.Tokens)
	}
	return used
}
