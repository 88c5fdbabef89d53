package forwarder

import (
	"context"
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/issuer"
	"limpetcleat/selector"
	"limpetcleat/throttler"
)

const (
	// maxPermitAsks bounds the permits that one request asks for; after that it is sent only to
	// an upstream that needs none.
	maxPermitAsks = 4
	// permitWaitShare is the fraction of what is left of its latency objective that a request
	// may wait for a permit; the rest is for being served.
	permitWaitShare = 0.5
)

// Permits grants permits for requests to upstreams with a rate limit.
type Permits interface {
	Acquire(ctx context.Context, need throttler.PermitRequest) throttler.Permit
	// Adopt records that a request without a permit is in flight; the result must be returned.
	Adopt(need throttler.PermitRequest) *throttler.Holding
	// Return ends the use of a permit.
	Return(holding *throttler.Holding, outcome issuer.Outcome)
}

// Announcements receives the rate limits that upstreams announce, and which are leaving, and keeps
// the rejection limits of services.
type Announcements interface {
	Record(now time.Time, start definer.UpstreamStart, sentAt time.Time, announcement announcer.Announcement)
	RecordRejectionLimit(now time.Time, service definer.PoolName, sentAt time.Time, limit definer.RateLimit)
	// RejectionLimit returns the limit of a service, and whether all limits that nodes know are
	// known here.
	RejectionLimit(now time.Time, service definer.PoolName) (limit announcer.RejectionLimit, informed bool)
}

// unlimited implements Permits and Announcements for upstreams without rate limits.
type unlimited struct{}

// Acquire grants a permit at once.
func (unlimited) Acquire(context.Context, throttler.PermitRequest) throttler.Permit {
	return throttler.Permit{Granted: true}
}

// Adopt returns nothing to return.
func (unlimited) Adopt(throttler.PermitRequest) *throttler.Holding { return nil }

// Return does nothing.
func (unlimited) Return(*throttler.Holding, issuer.Outcome) {}

// RecordRejectionLimit ignores the limit.
func (unlimited) RecordRejectionLimit(time.Time, definer.PoolName, time.Time, definer.RateLimit) {}

// RejectionLimit returns no limit.
func (unlimited) RejectionLimit(time.Time, definer.PoolName) (limit announcer.RejectionLimit, informed bool) {
	return announcer.RejectionLimit{}, true
}

// Record ignores the announcement.
func (unlimited) Record(time.Time, definer.UpstreamStart, time.Time, announcer.Announcement) {}

// takePermit asks for a permit if the assigned upstream needs one, and reports whether the
// request may be sent. If not, the assignment has ended, and the upstream is not chosen again
// before the time from which a permit may be available.
func (exchange *exchange) takePermit(ctx context.Context, assignment *selector.Assignment) bool {
	if !assignment.NeedsPermit() {
		return true
	}
	upstream := assignment.Upstream()
	need := throttler.PermitRequest{Start: upstream.Start(), DataCentre: upstream.DataCentre, Tier: exchange.rule.Tier}
	need.ColdLimit, need.ColdFor = assignment.Cold()
	need.Service, need.Slots, need.Placed = upstream.Service, upstream.Slots, assignment.NeedsPlace()
	exchange.permitAsks++
	if assignment.MayWaitForPermit() || need.Placed && exchange.permitAsks == maxPermitAsks {
		need.Patience = exchange.permitWait()
	}
	permit := exchange.forwarder.permits.Acquire(ctx, need)
	now := time.Now()
	if !permit.Granted {
		assignment.RecordDenial(now.Add(permit.RetryAfter))
		return false
	}
	if !assignment.RecordPermit(now) {
		exchange.returnUnused(permit.Holding)
		return false
	}
	exchange.holding = permit.Holding
	return true
}

// returnUnused returns a permit whose request was not sent.
func (exchange *exchange) returnUnused(holding *throttler.Holding) {
	if holding != nil {
		exchange.forwarder.permits.Return(holding, issuer.Unused)
	}
}

// needsPlace reports whether each upstream of the service is sent a request only with a permit that
// is in use until the request ends: they have a limit of rejections, or may have one of which this
// node has not been informed yet.
func (exchange *exchange) needsPlace() bool {
	limit, informed := exchange.forwarder.announcements.RejectionLimit(time.Now(), exchange.service.Name)
	return limit.InForce() || !informed
}

// permitWait returns how long the request may wait for a permit and still be served in time.
func (exchange *exchange) permitWait() time.Duration {
	waited := time.Since(exchange.arrivedAt)
	left := min(exchange.rule.Objective-waited, exchange.timeLimit-waited)
	return time.Duration(permitWaitShare * float64(max(left, 0)))
}
