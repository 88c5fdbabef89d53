package forwarder

import (
	"context"
	"time"

	"limpetcleat/timer"
)

// isHeldOff tells whether the request is held off, once that is settled or its time is over.
func (passage *passage) isHeldOff(ctx context.Context) bool {
	for {
		verdict := passage.forwarder.quarantine.Check(time.Now(), passage.result.Identity)
		passage.heldFor = verdict.Left
		if verdict.Left == 0 || verdict.Wait == 0 {
			return verdict.Left > 0
		}
		if timer.Sleep(ctx, verdict.Wait) != nil {
			return false
		}
	}
}
