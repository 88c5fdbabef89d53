package forwarder

import (
	"context"
	"time"

	"limpetcleat/timer"
)

// verdictPoll is the time between two looks at a verdict that is not settled; few requests
// wait for one.
const verdictPoll = 25 * time.Millisecond

// isHeldOff tells whether the request is held off, once that is settled or its time is over.
func (passage *passage) isHeldOff(ctx context.Context) bool {
	for {
		verdict := passage.forwarder.quarantine.Check(time.Now(), passage.identity)
		passage.heldFor = verdict.Left
		if verdict.Left == 0 || verdict.Settles == 0 {
			return verdict.Left > 0
		}
		if timer.Sleep(ctx, min(verdict.Settles, verdictPoll)) != nil {
			return false
		}
	}
}
