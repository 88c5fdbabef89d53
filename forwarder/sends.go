package forwarder

import (
	"context"
	"errors"
	"time"

	"limpetcleat/selector"
)

// sendUntilServed sends the request to one upstream after the other. It returns Served, or
// why the request is given up.
func (exchange *exchange) sendUntilServed(ctx context.Context) Reason {
	start, endStart := exchange.startContext(ctx)
	defer endStart()
	defer exchange.releaseNext()
	for {
		attempt := exchange.takeBegun()
		if attempt == nil {
			if reason := exchange.prepareSend(ctx, start); reason != "" {
				return reason
			}
			attempt = exchange.begin(ctx)
		}
		result := attempt.conclude()
		exchange.budgeted = exchange.prepaid || exchange.budgeted && result.notSent
		exchange.prepaid, exchange.sought = false, false
		if result.reason == Served || result.reason == Stalled {
			return result.reason
		}
		exchange.sendReason = result.reason
		if exchange.begun == nil && !exchange.mayRetry(result) {
			if reason := exchange.endReason(ctx); reason != "" {
				return reason
			}
			return exchange.sendReasonOr(result.reason, ObstacleAttempts)
		}
	}
}

// takeBegun returns the attempt that was begun before the previous one was given up, or nil.
func (exchange *exchange) takeBegun() *attempt {
	attempt := exchange.begun
	exchange.begun = nil
	return attempt
}

// prepareSend chooses the next upstream, unless that has been done, and takes what a send there needs. It
// returns why the request is given up, or an empty reason.
func (exchange *exchange) prepareSend(ctx, start context.Context) Reason {
	for {
		if exchange.isHeldOff(start) {
			return exchange.sendReasonOr(HeldOff, ObstacleHeldOff)
		}
		if reason := exchange.endReason(ctx); reason != "" || exchange.next != nil {
			return reason
		}
		changed := exchange.forwarder.origins.HistoryChanged()
		assignment, err := exchange.choose()
		if err != nil && exchange.awaitVersion(start, changed) {
			continue
		}
		if err != nil {
			return exchange.sendReasonOr(exchange.noUpstreamReason(err), ObstacleUpstream)
		}
		if !exchange.confirmHealth(start, assignment) {
			continue
		}
		if !exchange.takeRetryBudget() {
			assignment.End(time.Now(), selector.Abandoned)
			return exchange.sendReasonOr(Full, ObstacleBudget)
		}
		if exchange.takePermit(start, assignment) {
			exchange.next = assignment
			return ""
		}
	}
}

// takeRetryBudget reports whether the request may be sent. If it was sent before, the send is
// a retry and is charged to the retry budget of its service.
func (exchange *exchange) takeRetryBudget() bool {
	if exchange.result.Sends == 0 || exchange.budgeted {
		return true
	}
	exchange.budgeted = exchange.forwarder.retryBudget.AllowRetry(exchange.service.Name, time.Now())
	return exchange.budgeted
}

// markBegun reports that an upstream has begun with the request, once for all sends.
func (exchange *exchange) markBegun() {
	if !exchange.begunReported {
		exchange.begunReported = true
		exchange.forwarder.begun(exchange.result.Organisation)
	}
}

// noUpstreamReason returns why no upstream was chosen, and sets retryDelay to after what
// time one may be available.
func (exchange *exchange) noUpstreamReason(err error) Reason {
	var saturation *selector.Saturation
	var limitation *selector.Limitation
	switch {
	case errors.As(err, &saturation):
		exchange.retryDelay = saturation.RetryAfter
		return Saturated
	case errors.As(err, &limitation):
		exchange.retryDelay = limitation.RetryAfter
		return limitReason(err)
	case exchange.confined:
		return Confined
	case exchange.versionGone:
		return VersionGone
	case exchange.versionUnrecorded:
		return VersionUnrecorded
	case exchange.connectionDelay > 0:
		exchange.retryDelay = exchange.connectionDelay
		return Limited
	}
	return NoUpstream
}

// limitReason returns BackingOff if all upstreams have asked for a backoff, else Limited.
func limitReason(err error) Reason {
	var failure *selector.Error
	if errors.As(err, &failure) && failure.Kind() == selector.BackingOff {
		return BackingOff
	}
	return Limited
}

// sendReasonOr returns why the last send failed and records why it is not repeated, or returns the given
// reason if none failed.
func (exchange *exchange) sendReasonOr(reason Reason, obstacle Obstacle) Reason {
	if exchange.sendReason == "" {
		return reason
	}
	exchange.result.Unrepeated = obstacle
	return exchange.sendReason
}

// endReason returns Left or Cut if the caller is disconnected, TimedOut if the time limit has
// passed, Stopping if this node begins no more sends, else an empty reason.
func (exchange *exchange) endReason(ctx context.Context) Reason {
	switch {
	case exchange.request.Context().Err() != nil && !exchange.expired:
		return exchange.forwarder.disconnectReason()
	case ctx.Err() != nil || time.Since(exchange.arrivedAt) >= exchange.timeLimit:
		return TimedOut
	case exchange.stopping():
		return Stopping
	}
	return ""
}
