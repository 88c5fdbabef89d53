package decider

// drainer carries a planned stop: no new requests, then the end of the old.
type drainer struct {
	*core
	// stopped is set once the end has been told.
	stopped bool
}

func newDrainer(core *core) *drainer { return &drainer{core: core} }

func (drainer *drainer) priority() int { return drainerPriority }

func (drainer *drainer) handle(event Event) {
	if _, ok := event.(DrainRequested); ok && !drainer.core.draining {
		drainer.core.draining = true
		drainer.log(EventDrainBegan)
	}
	if drainer.core.draining && !drainer.stopped && drainer.core.open == 0 && drainer.core.claims == 0 {
		drainer.stopped = true
		drainer.log(EventDrainEnded)
		drainer.act(Stopped{})
	}
}
