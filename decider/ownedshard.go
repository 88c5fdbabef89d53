package decider

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/limiter"
	"limpetcleat/messenger"
	"limpetcleat/scheduler"
)

// ownedShard is one shard while this node owns it.
type ownedShard struct {
	shard     messenger.Shard
	scheduler *scheduler.Scheduler
	ledger    *ledger
	// limiter is nil when the policy does not adapt limits.
	limiter *limiter.Limiter
	// opensAt is the end of the window in which a new owner only listens; zero
	// once it grants.
	opensAt time.Time
	// pending holds the asks received in that window, at most one for each
	// request.
	pending []scheduler.Ask
}

// retain drops what was learned about upstreams that the shard no longer has.
func (owned *ownedShard) retain(upstreams []*definer.Upstream) {
	if owned.limiter != nil {
		owned.limiter.Retain(upstreams)
	}
}

// addPending keeps an ask until the shard opens.
func (owned *ownedShard) addPending(ask scheduler.Ask) {
	owned.dropPending(ask.Request)
	owned.pending = append(owned.pending, ask)
}

// takePending returns and removes the pending asks, those of the highest tier
// first and within a tier in the order of arrival.
func (owned *ownedShard) takePending() []scheduler.Ask {
	pending := owned.pending
	owned.pending = nil
	slices.SortStableFunc(pending, func(a, b scheduler.Ask) int {
		return cmp.Or(cmp.Compare(a.Class.Tier(), b.Class.Tier()), a.Arrival.Compare(b.Arrival))
	})
	return pending
}

func (owned *ownedShard) dropPending(request definer.RequestID) {
	owned.pending = slices.DeleteFunc(owned.pending, func(ask scheduler.Ask) bool { return ask.Request == request })
}

// withdraw removes the pending ask and the grants of a request.
func (owned *ownedShard) withdraw(now time.Time, request definer.RequestID) {
	owned.dropPending(request)
	owned.ledger.withdraw(now, request)
}

// forget drops the pending asks of a member that is gone.
func (owned *ownedShard) forget(member definer.Member) {
	owned.pending = slices.DeleteFunc(owned.pending, func(ask scheduler.Ask) bool { return ask.Entry == member })
}

// recordGrant records the holder of a grant.
func (owned *ownedShard) recordGrant(now time.Time, decision scheduler.Decision) {
	if _, known := owned.ledger.grants[decision.Grant]; known || !decision.Granted() {
		return
	}
	owned.ledger.add(decision.Grant, grantRecord{
		entry:    decision.Ask.Entry,
		request:  decision.Ask.Request,
		attempt:  decision.Ask.Attempt,
		upstream: decision.Upstream,
		since:    now,
	})
}
