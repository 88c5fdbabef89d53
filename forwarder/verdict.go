package forwarder

import "limpetcleat/dialer"

// Obstacle is why a request is not sent again after a send that failed.
type Obstacle string

const (
	// ObstacleAttempts means that the rule allows no more sends, or that what was sent must not be
	// repeated.
	ObstacleAttempts Obstacle = "attempts"
	// ObstacleBudget means that the retry budget of the service is used up.
	ObstacleBudget Obstacle = "retryBudget"
	// ObstacleUpstream means that no other upstream may be sent the request now.
	ObstacleUpstream Obstacle = "upstream"
	// ObstacleLate means that this node noticed the silence of an upstream too late to have been able to
	// hear it all the time.
	ObstacleLate Obstacle = "late"
	// ObstacleRejected means that the upstream to which the request was sent has rejected it or failed.
	ObstacleRejected Obstacle = "rejected"
	// ObstacleEnding means that no send may begin any more, because of the time limit of the request or a
	// planned stop.
	ObstacleEnding Obstacle = "ending"
	// ObstacleHeldOff means that the request is held off.
	ObstacleHeldOff Obstacle = "heldOff"
)

// sendResult is the result of one send.
type sendResult struct {
	reason Reason
	// notSent tells that no byte reached an upstream.
	notSent bool
	// notRun tells that the upstream stated that it did not run the request.
	notRun bool
	// misdirected tells that another upstream has taken over the address.
	misdirected bool
	// presence tells whether the upstream still listens after its connection broke; empty if
	// it did not break.
	presence dialer.Presence
}

// Outcomes of a send that failed. What is not known to be one of the first two may have run.
const (
	outcomeNotSent = "notSent"
	outcomeNotRun  = "notRun"
	outcomeUnknown = "unknown"
)

// outcome returns what is known of the request after the send failed.
func (result *sendResult) outcome() string {
	switch {
	case result.notSent:
		return outcomeNotSent
	case result.notRun:
		return outcomeNotRun
	}
	return outcomeUnknown
}

// mayRetry reports whether the request may be sent to another upstream. An attempt that reached no
// upstream costs the caller nothing: only the time limit and the upstreams not yet tried bound such
// attempts, as all but a few upstreams may have been lost together.
func (exchange *exchange) mayRetry(result sendResult) bool {
	if result.notSent {
		return !exchange.deniedConnections()
	}
	if result.misdirected {
		return exchange.result.Sends <= exchange.rule.MaxAttempts
	}
	if result.presence == dialer.Refused && !exchange.forwarder.quarantine.MayRepeat(exchange.result.Identity) {
		return false
	}
	repeatable := exchange.mayRepeatAfter(exchange.result.Sends) || result.notRun && exchange.result.Sends < exchange.rule.MaxAttempts
	return repeatable && exchange.stream.mayResume()
}

// mayRepeatAfter reports whether the request may be sent again after the given number of sends, whether or
// not an upstream has run it.
func (exchange *exchange) mayRepeatAfter(sends int) bool {
	return exchange.rule.Idempotent() && sends < exchange.rule.MaxAttempts
}
