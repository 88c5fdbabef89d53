package engine

import "time"

const (
	// maxReadAheadTokens is the number of unsent tokens at which a sequence without a client is
	// suspended.
	maxReadAheadTokens = 64
	// maxCatchUpSteps is the maximum number of overdue steps that one iteration of the loop
	// computes; it skips the rest.
	maxCatchUpSteps   = 20
	idleWait          = time.Hour
	prefillUnitTokens = 1000
	minTokenInterval  = 10 * time.Microsecond
)

// detachedSequence records the time at which the client of a sequence disconnected.
type detachedSequence struct {
	sequence   *sequence
	detachedAt time.Time
}

// run is the batching loop. It returns when the engine is closed.
func (engine *Engine) run() {
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		timer.Reset(engine.step(time.Now()))
		select {
		case <-engine.host.Done():
			return
		case <-engine.wake:
		case <-timer.C:
		}
	}
}

// step computes the tokens that are due at now and returns the time until the next step.
func (engine *Engine) step(now time.Time) time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.expireLocked(now)
	if wait := engine.stallRemainingLocked(now); wait > 0 {
		engine.nextStep = time.Time{}
		return wait
	}
	engine.scheduleLocked(now)
	if len(engine.batch.running) == 0 {
		engine.nextStep = time.Time{}
		return engine.expiryWaitLocked(now)
	}
	if engine.nextStep.IsZero() {
		engine.nextStep = now.Add(engine.intervalLocked())
	}
	for range maxCatchUpSteps {
		if now.Before(engine.nextStep) || len(engine.batch.running) == 0 {
			break
		}
		engine.advanceLocked(engine.nextStep)
		engine.scheduleLocked(now)
		engine.nextStep = engine.nextStep.Add(engine.intervalLocked())
	}
	if engine.nextStep.Before(now) {
		engine.nextStep = now
	}
	return engine.nextStep.Sub(now)
}

// stallRemainingLocked returns how long computation stays suspended by the StallMs or Dead fault; 0
// or less means that it is not suspended.
func (engine *Engine) stallRemainingLocked(now time.Time) time.Duration {
	if engine.faults.Dead {
		return idleWait
	}
	return engine.stalledUntil.Sub(now)
}

// intervalLocked returns the time between tokens for the current batch size.
func (engine *Engine) intervalLocked() time.Duration {
	others := max(0, len(engine.batch.running)-1)
	interval := engine.options.tokenInterval + time.Duration(others)*engine.options.tokenIntervalSlope
	return max(minTokenInterval, engine.applySlowFactorLocked(interval))
}

func (engine *Engine) applySlowFactorLocked(duration time.Duration) time.Duration {
	if engine.faults.SlowFactor <= 0 {
		return duration
	}
	return time.Duration(float64(duration) * engine.faults.SlowFactor)
}

// advanceLocked computes one token for each running sequence that has completed its prefill.
func (engine *Engine) advanceLocked(now time.Time) {
	for index := len(engine.batch.running) - 1; index >= 0; index-- {
		running := engine.batch.running[index]
		if now.Before(running.prefillEndsAt) {
			continue
		}
		if running.next < running.length {
			running.next++
			engine.recorder.recordToken(running.record)
		}
		engine.retireLocked(running)
		running.notify()
	}
}

// retireLocked removes a sequence from the running batch if it is complete, or if it has no client
// and its read-ahead is full.
func (engine *Engine) retireLocked(running *sequence) {
	switch {
	case running.next >= running.length:
		running.state = stateFinished
		engine.recorder.recordFinish(running.record)
	case running.reader == nil && running.unsent() >= maxReadAheadTokens:
		running.state = stateSuspended
		running.prefill = 0
	default:
		return
	}
	engine.batch.remove(running)
	engine.publishLoadLocked(time.Now())
}

// scheduleLocked starts queued sequences while the batch has room or a running sequence can be
// preempted. It does nothing during a stall.
func (engine *Engine) scheduleLocked(now time.Time) {
	if engine.stallRemainingLocked(now) > 0 {
		return
	}
	for {
		starting, victim := engine.batch.dequeue()
		if starting == nil {
			return
		}
		if victim != nil {
			engine.batch.preempt(victim, now)
			engine.recorder.recordPause(victim.record)
			victim.notify()
		}
		engine.startLocked(starting, now)
		engine.publishLoadLocked(now)
	}
}

func (engine *Engine) startLocked(starting *sequence, now time.Time) {
	if starting.pauses > starting.resumes {
		starting.resumes++
	}
	if !starting.started {
		starting.started = true
		starting.cachedTokens = engine.prefixCache.lookupAndStore(starting.model, starting.prompt)
		toCompute := starting.promptTokens - min(starting.promptTokens, starting.cachedTokens) + starting.first
		prefill := engine.options.prefillTime * time.Duration(toCompute) / prefillUnitTokens
		starting.prefill = engine.applySlowFactorLocked(prefill)
		engine.recorder.recordStart(starting.record)
	}
	engine.batch.start(starting, now)
	starting.notify()
}

// expireLocked drops the sequences whose client disconnected at least the resume grace period ago
// and has not resumed.
func (engine *Engine) expireLocked(now time.Time) {
	for len(engine.detached) > 0 {
		oldest := engine.detached[0]
		if now.Before(oldest.detachedAt.Add(engine.options.resumeGrace)) {
			return
		}
		engine.detached = engine.detached[1:]
		if oldest.sequence.reader == nil && oldest.sequence.detachedAt.Equal(oldest.detachedAt) {
			engine.dropLocked(oldest.sequence, now)
		}
	}
}

// expiryWaitLocked returns the time until the next detached sequence expires.
func (engine *Engine) expiryWaitLocked(now time.Time) time.Duration {
	if len(engine.detached) == 0 {
		return idleWait
	}
	return max(0, engine.detached[0].detachedAt.Add(engine.options.resumeGrace).Sub(now))
}

// dropLocked cancels an unfinished sequence, makes it unavailable for resumption and records its
// unsent tokens as discarded.
func (engine *Engine) dropLocked(dropped *sequence, now time.Time) {
	if dropped.state == stateCancelled {
		return
	}
	if dropped.state != stateFinished {
		engine.batch.remove(dropped)
		dropped.state = stateCancelled
		engine.recorder.recordCancel(dropped.record)
	}
	engine.recorder.recordDiscard(dropped.record, dropped.unsent())
	delete(engine.batch.byAttempt, dropped.attemptID)
	dropped.notify()
	engine.publishLoadLocked(now)
}
