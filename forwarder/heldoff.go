package forwarder

import (
	"context"
	"time"

	"limpetcleat/timer"
)

// isHeldOff reports whether the request is held off. It waits while the quarantine may still
// clear the request, and returns false if the context ends meanwhile.
func (exchange *exchange) isHeldOff(ctx context.Context) bool {
	for {
		verdict := exchange.forwarder.quarantine.Check(time.Now(), exchange.result.Identity)
		exchange.holdLeft = verdict.Left
		if verdict.Left == 0 || verdict.Wait == 0 {
			return verdict.Left > 0
		}
		if timer.Sleep(ctx, verdict.Wait) != nil {
			return false
		}
	}
}
