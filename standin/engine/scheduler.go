package engine

import "time"

const (
	// keptTokens is how many tokens are computed ahead for a client that has left.
	keptTokens = 64
	// maxCatchUp is how many steps a late loop makes up for; it drops the rest.
	maxCatchUp       = 20
	idleWait         = time.Hour
	tokensPerUnit    = 1000
	shortestInterval = 10 * time.Microsecond
)

// keptSequence remembers when a client left a sequence.
type keptSequence struct {
	sequence *sequence
	leftAt   time.Time
}

// run drives the batch until the engine is closed.
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

// step computes the tokens that are due and returns the time until the next step.
func (engine *Engine) step(now time.Time) time.Duration {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.expireLocked(now)
	if wait := engine.frozenLocked(now); wait > 0 {
		engine.nextStep = time.Time{}
		return wait
	}
	engine.fillLocked(now)
	if len(engine.batch.running) == 0 {
		engine.nextStep = time.Time{}
		return engine.expiryWaitLocked(now)
	}
	if engine.nextStep.IsZero() {
		engine.nextStep = now.Add(engine.intervalLocked())
	}
	for range maxCatchUp {
		if now.Before(engine.nextStep) || len(engine.batch.running) == 0 {
			break
		}
		engine.advanceLocked(engine.nextStep)
		engine.fillLocked(now)
		engine.nextStep = engine.nextStep.Add(engine.intervalLocked())
	}
	if engine.nextStep.Before(now) {
		engine.nextStep = now
	}
	return engine.nextStep.Sub(now)
}

// frozenLocked returns how long nothing is computed because of a stall or a
// dead engine.
func (engine *Engine) frozenLocked(now time.Time) time.Duration {
	if engine.faults.Dead {
		return idleWait
	}
	return engine.stalledUntil.Sub(now)
}

// intervalLocked returns the time between tokens of the present batch.
func (engine *Engine) intervalLocked() time.Duration {
	others := max(0, len(engine.batch.running)-1)
	interval := engine.options.tokenTime + time.Duration(others)*engine.options.tokenSlope
	return max(shortestInterval, engine.slowedLocked(interval))
}

func (engine *Engine) slowedLocked(duration time.Duration) time.Duration {
	if engine.faults.SlowFactor <= 0 {
		return duration
	}
	return time.Duration(float64(duration) * engine.faults.SlowFactor)
}

// advanceLocked gives each running sequence past its prefill one token.
func (engine *Engine) advanceLocked(now time.Time) {
	for index := len(engine.batch.running) - 1; index >= 0; index-- {
		running := engine.batch.running[index]
		if now.Before(running.readyAt) {
			continue
		}
		if running.next < running.length {
			running.next++
			engine.records.computed(running.record)
		}
		engine.settleLocked(running)
		running.note()
	}
}

// settleLocked takes a sequence that is complete, or has computed enough ahead,
// out of the batch.
func (engine *Engine) settleLocked(running *sequence) {
	switch {
	case running.next >= running.length:
		running.state = stateFinished
		engine.records.finished(running.record)
	case running.reader == nil && running.unsent() >= keptTokens:
		running.state = stateParked
		running.prefill = 0
	default:
		return
	}
	engine.batch.remove(running)
	engine.publishLocked(time.Now())
}

// fillLocked starts waiting sequences while there is room, or work to pause for
// them. A frozen engine starts none.
func (engine *Engine) fillLocked(now time.Time) {
	if engine.frozenLocked(now) > 0 {
		return
	}
	for {
		starting, victim := engine.batch.next()
		if starting == nil {
			return
		}
		if victim != nil {
			engine.batch.pause(victim, now)
			engine.records.paused(victim.record)
			victim.note()
		}
		engine.startLocked(starting, now)
		engine.publishLocked(now)
	}
}

func (engine *Engine) startLocked(starting *sequence, now time.Time) {
	if starting.pauses > starting.resumes {
		starting.resumes++
	}
	if !starting.started {
		starting.started = true
		starting.cachedTokens = engine.prefix.use(starting.model, starting.prompt)
		toCompute := starting.promptTokens - min(starting.promptTokens, starting.cachedTokens) + starting.first
		prefill := engine.options.prefillTime * time.Duration(toCompute) / tokensPerUnit
		starting.prefill = engine.slowedLocked(prefill)
		engine.records.started(starting.record)
	}
	engine.batch.run(starting, now)
	starting.note()
}

// expireLocked gives up the sequences whose client has left for longer than the
// grace.
func (engine *Engine) expireLocked(now time.Time) {
	for len(engine.kept) > 0 {
		oldest := engine.kept[0]
		if now.Before(oldest.leftAt.Add(engine.options.grace)) {
			return
		}
		engine.kept = engine.kept[1:]
		if oldest.sequence.reader == nil && oldest.sequence.leftAt.Equal(oldest.leftAt) {
			engine.dropLocked(oldest.sequence, now)
		}
	}
}

// expiryWaitLocked returns the time until the next kept sequence expires.
func (engine *Engine) expiryWaitLocked(now time.Time) time.Duration {
	if len(engine.kept) == 0 {
		return idleWait
	}
	return max(0, engine.kept[0].leftAt.Add(engine.options.grace).Sub(now))
}

// dropLocked ends a sequence and counts what it computed for nothing.
func (engine *Engine) dropLocked(dropped *sequence, now time.Time) {
	if dropped.state == stateCancelled {
		return
	}
	if dropped.state != stateFinished {
		engine.batch.remove(dropped)
		dropped.state = stateCancelled
		engine.records.cancelled(dropped.record)
	}
	engine.records.discarded(dropped.record, dropped.unsent())
	delete(engine.batch.byAttempt, dropped.attemptID)
	dropped.note()
	engine.publishLocked(now)
}
