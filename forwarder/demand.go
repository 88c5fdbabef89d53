package forwarder

import (
	"context"
	"errors"
	"time"

	"limpetcleat/registrar"
	"limpetcleat/selector"
	"limpetcleat/timer"
)

// candidates returns the upstreams of the service that may serve the request.
func (exchange *exchange) candidates() []*registrar.Upstream {
	listed := exchange.forwarder.directory.Upstreams(exchange.service.Name)
	permitted := exchange.forwarder.confinement.Permitted(listed, exchange.rule.Regions, exchange.regions)
	exchange.confined = len(permitted) == 0 && len(listed) > 0
	compatible := exchange.compatible(permitted)
	unusable := len(compatible) == 0 && len(permitted) > 0
	exchange.versionGone, exchange.versionUnrecorded = unusable && exchange.stream.hasOrigin, unusable && !exchange.stream.hasOrigin
	return exchange.withoutUnhealthy(compatible)
}

// errLeftMeanwhile is why a request is not sent to an upstream that may not be sent it any more.
var errLeftMeanwhile = errors.New("the upstream left or was replaced after it was chosen")

// errStopping is the error of a choice that a planned stop does not let be sent any more.
var errStopping = errors.New("a planned stop lets no send begin that may outlast it")

const (
	// settleWait bounds the wait for the news that arrived while the process was paused, settleInterval is how
	// often it is checked whether they have been read.
	settleWait     = 300 * time.Millisecond
	settleInterval = 10 * time.Millisecond
)

// confirmChoice returns an error if the upstream may not be sent the request any more: it left, started again or
// was excluded after it was chosen, is on probation and does not state that it is healthy, or a planned stop has begun to refuse
// such requests, of which the context learns a moment later. A permit and a connection may take seconds, and the process may have
// been paused.
func (exchange *exchange) confirmChoice(ctx context.Context, upstream *registrar.Upstream) error {
	exchange.awaitSettled(ctx)
	candidate := exchange.findCandidate(upstream)
	if candidate == nil {
		return errLeftMeanwhile
	}
	if exchange.needsHealth(time.Now(), candidate) {
		if !exchange.isHealthy(ctx, candidate) {
			return errUnhealthy
		}
		if exchange.findCandidate(upstream) == nil {
			return errLeftMeanwhile
		}
	}
	if exchange.stopping() {
		return errStopping
	}
	return nil
}

// findCandidate returns the present entry of the start of an upstream, or nil if it may not be sent the request.
func (exchange *exchange) findCandidate(upstream *registrar.Upstream) *registrar.Upstream {
	for _, candidate := range exchange.candidates() {
		if candidate.Start() == upstream.Start() && candidate.Address == upstream.Address {
			return candidate
		}
	}
	return nil
}

// awaitSettled waits until the list of upstreams holds what arrived while the process was paused, for settleWait
// at most.
func (exchange *exchange) awaitSettled(ctx context.Context) {
	for began := time.Now(); !exchange.forwarder.settled(time.Now()) && time.Since(began) < settleWait; {
		if timer.Sleep(ctx, settleInterval) != nil {
			return
		}
	}
}

// choose returns the assignment of the request to an upstream, or an error if none can be
// sent the request.
func (exchange *exchange) choose() (*selector.Assignment, error) {
	return exchange.chooseFor(exchange.demand())
}

// chooseFor returns what choose does, for what is demanded.
func (exchange *exchange) chooseFor(demand *selector.Demand) (*selector.Assignment, error) {
	demand.Draw = exchange.forwarder.random()
	exchange.chosenAt = time.Now()
	return exchange.forwarder.selector.Choose(exchange.chosenAt, demand)
}

// demand describes the request to the selector.
func (exchange *exchange) demand() *selector.Demand {
	demand := &selector.Demand{
		Service:       exchange.service.Name,
		Rule:          exchange.rule.Name,
		Tier:          exchange.rule.Tier,
		Candidates:    exchange.candidates(),
		Tried:         exchange.tried,
		Engine:        exchange.service.Engine,
		CacheTokens:   exchange.service.CacheTokens,
		OutputTokens:  exchange.call.OutputTokens,
		PromptTokens:  exchange.call.PromptTokens,
		Idempotent:    exchange.rule.Idempotent(),
		MaxPermitWait: exchange.permitWait(),
		WarmUp:        exchange.service.WarmUp,
		NeedsPlace:    exchange.needsPlace(),
		WithoutPermit: exchange.permitAsks >= maxPermitAsks,
		Deferrable:    exchange.deferrable && exchange.result.Sends == 0,
		BeyondShare:   exchange.result.BeyondShare && exchange.result.Sends == 0,
		GapObjective:  exchange.rule.GapObjective,
		TimeLeft:      exchange.timeLimit - time.Since(exchange.arrivedAt),
	}
	if exchange.rule.Objective > 0 {
		demand.Objective = max(exchange.rule.Objective-time.Since(exchange.arrivedAt), time.Nanosecond)
	}
	if exchange.rule.SharesPrefixes {
		demand.Parts = exchange.call.shared()
	}
	return demand
}
