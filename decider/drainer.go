package decider

import "time"

const (
	drainerComponent = "drain"
	stopTimer        = "stop"
	// stopDelay is how long the node keeps running after it told the others
	// that it leaves, so that its last messages are sent.
	stopDelay = 200 * time.Millisecond
)

// drainer runs a planned stop: the node takes no new requests and owns no
// shards, waits for the open requests to end, and then tells the others that it
// leaves.
type drainer struct {
	*core
	// ended is set once the stopping node has no open request or claim.
	ended bool
}

func newDrainer(core *core) *drainer { return &drainer{core: core} }

func (drainer *drainer) priority() int { return drainerPriority }

func (drainer *drainer) handle(event Event) {
	switch event := event.(type) {
	case DrainRequested:
		drainer.begin()
	case TimerFired:
		if event.Key.Component == drainerComponent {
			drainer.log(EventDrainEnded)
			drainer.emit(Stopped{})
		}
	}
	if drainer.core.draining && !drainer.ended && drainer.core.openRequests == 0 && drainer.core.openClaims == 0 {
		drainer.ended = true
		drainer.enqueue(drainEnded{})
		drainer.setTimer(drainerComponent, stopTimer, stopDelay)
	}
}

func (drainer *drainer) begin() {
	if drainer.core.draining {
		return
	}
	drainer.core.draining = true
	drainer.log(EventDrainBegan)
	drainer.enqueue(drainBegan{})
}
