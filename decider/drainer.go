package decider

import "time"

const (
	drainerPart = "drain"
	drainerStop = "stop"
	// lastWords is how long the node stays after it told the others that it
	// leaves, so that its last messages get out.
	lastWords = 200 * time.Millisecond
)

// drainer carries a planned stop: no new requests and no shards, then the end
// of the open requests, then a word to the others.
type drainer struct {
	*core
	// ended is set once no request was open during the stop.
	ended bool
}

func newDrainer(core *core) *drainer { return &drainer{core: core} }

func (drainer *drainer) priority() int { return drainerPriority }

func (drainer *drainer) handle(event Event) {
	switch event := event.(type) {
	case DrainRequested:
		drainer.begin()
	case TimerFired:
		if event.Key.Part == drainerPart {
			drainer.log(EventDrainEnded)
			drainer.act(Stopped{})
		}
	}
	if drainer.core.draining && !drainer.ended && drainer.core.open == 0 && drainer.core.claims == 0 {
		drainer.ended = true
		drainer.notify(drainEnded{})
		drainer.after(drainerPart, drainerStop, lastWords)
	}
}

func (drainer *drainer) begin() {
	if drainer.core.draining {
		return
	}
	drainer.core.draining = true
	drainer.log(EventDrainBegan)
	drainer.notify(drainBegan{})
}
