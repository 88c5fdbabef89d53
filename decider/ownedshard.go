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
	// limiter is nil when the policy adapts no limits.
	limiter *limiter.Limiter
	// opens is the end of the window in which the owner only listens; zero
	// once it grants.
	opens time.Time
	// pending holds the asks of that window, each request at most once.
	pending []scheduler.Ask
}

// retain drops what was learnt of upstreams that the shard no longer has.
func (owned *ownedShard) retain(upstreams []*definer.Upstream) {
	if owned.limiter != nil {
		owned.limiter.Retain(upstreams)
	}
}

// wait keeps an ask until the shard opens.
func (owned *ownedShard) wait(ask scheduler.Ask) {
	owned.drop(ask.Request)
	owned.pending = append(owned.pending, ask)
}

// takePending returns the asks that waited, highest tier and earliest first.
func (owned *ownedShard) takePending() []scheduler.Ask {
	pending := owned.pending
	owned.pending = nil
	slices.SortStableFunc(pending, func(a, b scheduler.Ask) int {
		return cmp.Or(cmp.Compare(a.Class.Tier(), b.Class.Tier()), a.Arrival.Compare(b.Arrival))
	})
	return pending
}

func (owned *ownedShard) drop(request definer.RequestID) {
	owned.pending = slices.DeleteFunc(owned.pending, func(ask scheduler.Ask) bool { return ask.Request == request })
}

// withdraw takes back what a request asked for and holds.
func (owned *ownedShard) withdraw(now time.Time, request definer.RequestID) {
	owned.drop(request)
	owned.ledger.withdraw(now, request)
}

// forget drops the asks of a member that is gone.
func (owned *ownedShard) forget(member definer.Member) {
	owned.pending = slices.DeleteFunc(owned.pending, func(ask scheduler.Ask) bool { return ask.Entry == member })
}

// note keeps who got a grant.
func (owned *ownedShard) note(now time.Time, decision scheduler.Decision) {
	if _, known := owned.ledger.issues[decision.Grant]; known || !decision.Granted() {
		return
	}
	owned.ledger.add(decision.Grant, issue{
		entry:    decision.Ask.Entry,
		request:  decision.Ask.Request,
		attempt:  decision.Ask.Attempt,
		upstream: decision.Upstream,
		since:    now,
	})
}
