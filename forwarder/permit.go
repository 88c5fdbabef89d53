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
	// maxPermitAsks bounds the permits that one request asks for.
	maxPermitAsks = 4
	// permitWaitShare is the fraction of what is left of its latency objective that a request
	// may wait for a permit; the rest is for being served.
	permitWaitShare = 0.5
)

// Permits grants permits for requests to upstreams with a rate limit.
type Permits interface {
	Take(ctx context.Context, need throttler.Need) throttler.Permit
}

// Announcements receives the rate limits that upstreams announce, and which are leaving.
type Announcements interface {
	Hear(now time.Time, start definer.UpstreamStart, sentAt time.Time, announcement announcer.Announcement)
}

// unlimited implements Permits and Announcements for upstreams without rate limits.
type unlimited struct{}

// Take grants a permit at once.
func (unlimited) Take(context.Context, throttler.Need) throttler.Permit {
	return throttler.Permit{Granted: true}
}

// Hear ignores the announcement.
func (unlimited) Hear(time.Time, definer.UpstreamStart, time.Time, announcer.Announcement) {}

// takePermit asks for a permit if the assigned upstream needs one, and reports whether the
// request may be sent. If not, the assignment has ended, and the upstream is not chosen again
// before the time from which a permit may be available.
func (exchange *exchange) takePermit(ctx context.Context, assignment *selector.Assignment) bool {
	if !assignment.NeedsPermit() {
		return true
	}
	upstream := assignment.Upstream()
	need := throttler.Need{Start: upstream.Start(), DataCentre: upstream.DataCentre, Tier: exchange.rule.Tier}
	if assignment.Waits() {
		need.Patience = exchange.permitWait()
	}
	exchange.permitAsks++
	permit := exchange.forwarder.permits.Take(ctx, need)
	now := time.Now()
	if !permit.Granted {
		assignment.Withheld(now.Add(permit.After))
		return false
	}
	return assignment.Granted(now)
}

// permitWait returns how long the request may wait for a permit and still be served in time.
func (exchange *exchange) permitWait() time.Duration {
	waited := time.Since(exchange.arrivedAt)
	left := min(exchange.rule.Objective-waited, exchange.timeLimit-waited)
	return time.Duration(permitWaitShare * float64(max(left, 0)))
}
