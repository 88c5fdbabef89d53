package forwarder

import (
	"context"
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
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
}

// Announcements receives the rate limits that upstreams announce, and which are leaving.
type Announcements interface {
	Record(now time.Time, start definer.UpstreamStart, sentAt time.Time, announcement announcer.Announcement)
}

// unlimited implements Permits and Announcements for upstreams without rate limits.
type unlimited struct{}

// Acquire grants a permit at once.
func (unlimited) Acquire(context.Context, throttler.PermitRequest) throttler.Permit {
	return throttler.Permit{Granted: true}
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
	if assignment.MayWaitForPermit() {
		need.Patience = exchange.permitWait()
	}
	exchange.permitAsks++
	permit := exchange.forwarder.permits.Acquire(ctx, need)
	now := time.Now()
	if !permit.Granted {
		assignment.RecordDenial(now.Add(permit.RetryAfter))
		return false
	}
	return assignment.RecordPermit(now)
}

// permitWait returns how long the request may wait for a permit and still be served in time.
func (exchange *exchange) permitWait() time.Duration {
	waited := time.Since(exchange.arrivedAt)
	left := min(exchange.rule.Objective-waited, exchange.timeLimit-waited)
	return time.Duration(permitWaitShare * float64(max(left, 0)))
}
