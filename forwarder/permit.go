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
	// maxAsks bounds the upstreams whose permits one request asks for.
	maxAsks = 4
	// waitingShare is the part of what is left of its latency objective that a request may
	// wait for a permit; the rest is for being served.
	waitingShare = 0.5
)

// Permits hands out permits for requests to upstreams with a limit.
type Permits interface {
	Take(ctx context.Context, need throttler.Need) throttler.Permit
}

// Announcements takes in what upstreams say of how they want to be asked.
type Announcements interface {
	Hear(now time.Time, start definer.UpstreamStart, sentAt time.Time, announcement announcer.Announcement)
}

// unlimited is for forwarders whose upstreams have no limits.
type unlimited struct{}

// Take grants a permit.
func (unlimited) Take(context.Context, throttler.Need) throttler.Permit {
	return throttler.Permit{Granted: true}
}

// Hear takes in nothing.
func (unlimited) Hear(time.Time, definer.UpstreamStart, time.Time, announcer.Announcement) {}

// permitted tells whether the request may be sent where it was assigned to; otherwise the
// assignment has ended, and its upstream is not chosen again before there may be a permit.
func (passage *passage) permitted(ctx context.Context, assignment *selector.Assignment) bool {
	if !assignment.NeedsPermit() {
		return true
	}
	upstream := assignment.Upstream()
	need := throttler.Need{Start: upstream.Start(), DataCentre: upstream.DataCentre, Tier: passage.rule.Tier}
	if assignment.Waits() {
		need.Patience = passage.permitPatience()
	}
	passage.asks++
	permit := passage.forwarder.permits.Take(ctx, need)
	now := time.Now()
	if !permit.Granted {
		assignment.Withheld(now.Add(permit.After))
		return false
	}
	return assignment.Granted(now)
}

// permitPatience returns how long the request may wait for a permit so that it can still be
// served in time.
func (passage *passage) permitPatience() time.Duration {
	waited := time.Since(passage.arrived)
	left := min(passage.rule.Objective-waited, passage.timeLeft-waited)
	return time.Duration(waitingShare * float64(max(left, 0)))
}
