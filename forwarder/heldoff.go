package forwarder

import (
	"context"
	"time"

	"limpetcleat/timer"
)

// quarantined reports whether the request is held off now, or may be in a moment.
func (exchange *exchange) quarantined() bool {
	verdict := exchange.forwarder.quarantine.Check(time.Now(), exchange.result.Identity, exchange.parts...)
	return verdict.HeldFor > 0
}

// isHeldOff reports whether the request is held off. It waits while the quarantine may still
// clear the request, and returns false if the context ends meanwhile.
func (exchange *exchange) isHeldOff(ctx context.Context) bool {
	for {
		verdict := exchange.forwarder.quarantine.Check(time.Now(), exchange.result.Identity, exchange.parts...)
		exchange.holdLeft, exchange.result.Culprit = verdict.HeldFor, verdict.Culprit
		if verdict.HeldFor == 0 || verdict.RecheckAfter == 0 {
			return verdict.HeldFor > 0
		}
		if timer.Sleep(ctx, verdict.RecheckAfter) != nil {
			return false
		}
	}
}
