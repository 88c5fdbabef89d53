// Package delegator decides whether a node reads the platform's store itself or receives
// the store's data from nodes that do. There is no agreement among nodes: each decides
// by its place in the list of nodes, by whether peers send to it, and by the age of its
// data. Two nodes that read the store where one would do cost calls and nothing else.
package delegator

import (
	"cmp"
	"time"
)

const (
	// maxAgeShare is the fraction of the revocation bound that the age of a node's data
	// may reach before the node reads the store: 2.6 s of 5 s, which leaves other nodes
	// 2 s to take over before keys are refused. Without a bound, maxRevocation is used.
	maxAgeShare   = 0.52
	maxRevocation = 5 * time.Second
	// watchLag is how far a watch may lag behind the store as the platform states it,
	// and propagationTime how long data takes from one node to all others. The watches
	// of a node that reads the store wait for what they leave of the maximum age, and
	// for at least minWatchWait.
	watchLag        = time.Second
	propagationTime = 400 * time.Millisecond
	minWatchWait    = 200 * time.Millisecond
	// settleTime is the least time for which a node that keeps to a bound on its copy reads the store once it has
	// begun: what a watch that lags does not return at first has become known then. If all that take over stopped as soon as the
	// copy is fresh, they would miss the same change, and read again only when the copy has aged.
	settleTime = watchLag + propagationTime
	// takeoverTime is what is left of a bound once the copy of the store's data reaches its
	// maximum age: the node has to decide, its call has to be answered, and the answer has to
	// propagate, also if the first two nodes to take over do not reach the store.
	takeoverTime = 800 * time.Millisecond
	// callTime is how long a call takes that the store answers at once.
	callTime = 50 * time.Millisecond
	// minCopyAge is the least maximum age of the copy, where bounds leave less.
	minCopyAge = propagationTime + callTime + minWatchWait
	// rankSteps is how many aggregators can take over one after another in the remaining
	// time, each once it finds that none before it reads the store. A step is 1/17 of
	// the maximum age, some 150 ms, more than a call and the propagation of its result
	// take.
	rankSteps = 17
	// successors is how many members of a group take over behind the aggregators before the
	// bounds are exceeded. It is low because each of them also calls a store that is away for all.
	successors = 2
	// successorsOfFailing is the same while the calls of all readers are known to fail.
	successorsOfFailing = 4
	// unheardShare spreads the first calls of nodes that hear from no peer, as a
	// fraction of the maximum age.
	unheardShare = 0.27
	// memberAge is the age that the data of a node which hears from its aggregator
	// reaches before the node reads the store as well, spread over memberSpread. It is
	// long because it is rare that some 15 nodes before the node cannot reach the store
	// and the node can; with a store that is unavailable to all, 295 nodes would
	// otherwise call it in vain.
	memberAge    = 6 * time.Second
	memberSpread = 6 * time.Second
	// takeoverDelay is how long the calls of all nodes that read the store must have failed
	// before the first member of a group, or an aggregator, reads it as well. It is multiplied
	// by takeoverFactor for each member before the node, so that a store which fails for all is
	// called by few.
	takeoverDelay  = 250 * time.Millisecond
	takeoverFactor = 20
	// maxTakeoverRank bounds the exponent of takeoverFactor.
	maxTakeoverRank = 4
	// startSpread spreads the first calls of nodes that start and hear from no peer.
	// firstSpread spreads those at the first start of a whole deployment, when no node
	// knows of any other and callers arrive only 10 s later.
	startSpread = time.Second
	firstSpread = 4 * time.Second
	// leaderRetryDelay is the longest delay between failed calls of a node that reads
	// the store for its data centre or that hears from no peer: it has to notice the
	// store's return within some 2 s. The delay of the other nodes is limited by
	// memberRetryDelay.
	leaderRetryDelay = 500 * time.Millisecond
	memberRetryDelay = 8 * time.Second
)

// Bounds are how long after the store's acknowledgement a change may be without effect at a node
// whose own way to the store is sound; 0 means no bound.
type Bounds struct {
	// Revocation bounds the use of a revoked key. It holds for every node.
	Revocation time.Duration
	// Application bounds the use of an earlier configuration, Leaving that of an upstream that
	// is leaving or gone, and Evacuation that of an evacuated data centre.
	Application time.Duration
	Leaving     time.Duration
	Evacuation  time.Duration
}

// Slack returns by how much the bound is longer than the shortest bound on the copy of the store's
// data.
func (bounds Bounds) Slack(bound time.Duration) time.Duration {
	return max(bound-bounds.Shortest(), 0)
}

// Shortest returns the shortest bound on the copy of the store's data, or 0 if there is none.
func (bounds Bounds) Shortest() time.Duration {
	shortest := time.Duration(0)
	for _, bound := range []time.Duration{bounds.Application, bounds.Leaving, bounds.Evacuation} {
		if bound > 0 && (shortest == 0 || bound < shortest) {
			shortest = bound
		}
	}
	return shortest
}

// copyAge returns the age that a node's copy of the store's data may reach before the node reads the
// store, or 0 if there is no bound.
func (bounds Bounds) copyAge() time.Duration {
	if shortest := bounds.Shortest(); shortest > 0 {
		return max(shortest-takeoverTime, minCopyAge)
	}
	return 0
}

// Situation is what a node knows of itself and of its peers.
type Situation struct {
	// Leads is set if the node is the one that reads the store for its data centre;
	// First is set if it is the first of these nodes.
	Leads bool
	First bool
	// Aggregates is set if other nodes of its group report to it; Rank is its place
	// among these aggregators.
	Aggregates bool
	Rank       int
	// GroupRank is the node's position among the members of its group.
	GroupRank int
	// HearsPeers is set while peers send data to the node.
	HearsPeers bool
	// ReadersFail is set while peers report that the calls of all nodes that read the store
	// fail, not counting this node.
	ReadersFail bool
	// Fails is set while the node's own calls to the store fail.
	Fails bool
	// Confirmed is the latest time at which the node's data is known to have matched the
	// store; ConfirmedByPeers is the latest such time that peers confirmed. Zero means
	// never.
	Confirmed        time.Time
	ConfirmedByPeers time.Time
	// Current is the latest time at which the store had answered, to this node or to a node
	// whose data this node has, for all that nodes follow; CurrentByPeers is the latest such
	// time that peers confirmed. Zero means never. Unlike Confirmed they make no allowance for
	// watches that lag behind the store.
	Current        time.Time
	CurrentByPeers time.Time
}

// Delegator decides for one node. It is not safe for concurrent use.
type Delegator struct {
	started time.Time
	maxAge  time.Duration
	// maxCopyAge is the maximum age of the copy; 0 means no limit.
	maxCopyAge time.Duration
	// spread is a number between 0 and 1 that spreads the calls of nodes in the same
	// situation.
	spread float64
	// first is set at the first start of a whole deployment.
	first  bool
	asking bool
	// settledAt is when the node may leave reading the store to others again.
	settledAt time.Time
	// failingSince is when ReadersFail was set; zero while it is not.
	failingSince time.Time
	// tookOver is set while the node reads the store because the calls of others fail;
	// gaveUpAt is when its own calls had failed too, zero once ReadersFail is reset.
	tookOver bool
	gaveUpAt time.Time
}

// New returns a Delegator for a node that starts at the given time. Spread is a number between 0 and
// 1 that spreads the calls of nodes in the same situation, and first is set at the first
// start of a whole deployment.
func New(started time.Time, bounds Bounds, spread float64, first bool) *Delegator {
	revocation := bounds.Revocation
	if revocation <= 0 || revocation > maxRevocation {
		revocation = maxRevocation
	}
	return &Delegator{started: started, maxAge: time.Duration(maxAgeShare * float64(revocation)), maxCopyAge: bounds.copyAge(), spread: spread, first: first}
}

// MaxAge returns the age of a node's data up to which the node need not read the store.
func (delegator *Delegator) MaxAge() time.Duration { return delegator.maxAge }

// MaxCopyAge returns the age of a node's copy up to which the node need not read the store; 0 means
// that there is no limit.
func (delegator *Delegator) MaxCopyAge() time.Duration { return delegator.maxCopyAge }

// WatchWait returns how long the watches on configurations wait on a node that keeps these confirmed
// by its own calls.
func (delegator *Delegator) WatchWait() time.Duration {
	return max(delegator.maxAge-watchLag-propagationTime, minWatchWait)
}

// CopyWatchWait returns how long the watches on the data with the shortest bound wait on a node that
// keeps the copy fresh by its own calls; 0 means any time.
func (delegator *Delegator) CopyWatchWait() time.Duration {
	if delegator.maxCopyAge == 0 {
		return 0
	}
	return delegator.maxCopyAge - propagationTime - callTime
}

// MustReadStore reports whether the node has to read the store at this time.
func (delegator *Delegator) MustReadStore(now time.Time, situation Situation) bool {
	takesOver, asked := delegator.takesOver(now, situation), delegator.asking
	switch {
	case situation.Leads:
		delegator.asking = true
	case delegator.tookOver && situation.Fails && situation.ReadersFail:
		// The store answers this node no better than those that read it before.
		delegator.asking, delegator.gaveUpAt = false, now
	case delegator.asking && !situation.Fails && now.Before(delegator.settledAt):
	case delegator.asking && delegator.overdue(now, situation.ConfirmedByPeers, situation.CurrentByPeers) >= 0:
		// A member whose own calls fail too leaves a store that is away to the aggregators.
		member := !situation.Aggregates && situation.HearsPeers
		if member && situation.Fails && situation.ReadersFail {
			delegator.gaveUpAt = now
		}
		delegator.asking = !member || !delegator.gaveUp(now)
	default:
		delegator.asking = takesOver || delegator.isDue(now, situation)
	}
	delegator.tookOver = delegator.asking && takesOver
	if delegator.asking && !asked && delegator.maxCopyAge > 0 && !situation.Current.IsZero() {
		delegator.settledAt = now.Add(settleTime)
	}
	return delegator.asking
}

// takesOver reports whether the calls of all nodes that read the store have failed for so long that
// this node has to read it, unless its own calls have failed since as well.
func (delegator *Delegator) takesOver(now time.Time, situation Situation) bool {
	if !situation.ReadersFail {
		delegator.failingSince, delegator.gaveUpAt = time.Time{}, time.Time{}
		return false
	}
	if delegator.failingSince.IsZero() {
		delegator.failingSince = now
	}
	delay := takeoverDelay
	for range min(situation.GroupRank, maxTakeoverRank) {
		delay *= takeoverFactor
	}
	return !delegator.gaveUp(now) && now.Sub(delegator.failingSince) >= delay
}

// gaveUp reports whether this node's own calls failed lately while those of all other readers did.
func (delegator *Delegator) gaveUp(now time.Time) bool {
	return !delegator.gaveUpAt.IsZero() && now.Sub(delegator.gaveUpAt) < memberAge
}

// KeepsFresh reports whether a node that reads the store has to keep its data fresh by
// its own calls. The first of the leading nodes always does, so that the watches of the
// others can wait long and only return changes; these nodes take over one after another
// when its confirmation is old.
func (delegator *Delegator) KeepsFresh(now time.Time, situation Situation) bool {
	return situation.First || delegator.overdue(now, situation.ConfirmedByPeers, situation.CurrentByPeers) >= delegator.rankDelay(situation.Rank)
}

// overdue returns for how long data that was last confirmed, and a copy that was last current, at the
// given times have exceeded their maximum ages; it is negative before.
func (delegator *Delegator) overdue(now, confirmed, current time.Time) time.Duration {
	overdue := now.Sub(confirmed) - delegator.maxAge
	if delegator.maxCopyAge == 0 {
		return overdue
	}
	return max(overdue, now.Sub(current)-delegator.maxCopyAge)
}

// ownOverdue returns for how long the node's data has exceeded its maximum ages. A node that has none
// yet is not held to the bounds on changes.
func (delegator *Delegator) ownOverdue(now time.Time, situation Situation) time.Duration {
	confirmed, current := situation.Confirmed, situation.Current
	if confirmed.IsZero() {
		confirmed = delegator.started
	}
	if current.IsZero() {
		current = now
	}
	return delegator.overdue(now, confirmed, current)
}

// rankDelay returns for how long data has to be overdue before the node of the rank takes over.
func (delegator *Delegator) rankDelay(rank int) time.Duration {
	return time.Duration(rank) * delegator.shortestAge() / rankSteps
}

// shortestAge returns the lower of the maximum ages.
func (delegator *Delegator) shortestAge() time.Duration {
	return min(delegator.maxAge, cmp.Or(delegator.maxCopyAge, delegator.maxAge))
}

// MaxRetryDelay returns the longest delay before a failed call is retried.
func MaxRetryDelay(situation Situation) time.Duration {
	if situation.Leads || !situation.HearsPeers {
		return leaderRetryDelay
	}
	return memberRetryDelay
}

// successorsFor returns how many members of a group take over before the bounds are exceeded.
func successorsFor(situation Situation) int {
	if situation.ReadersFail {
		return successorsOfFailing
	}
	return successors
}

// isDue reports whether a node that does not read the store has to begin, judged by the age of its
// data alone.
func (delegator *Delegator) isDue(now time.Time, situation Situation) bool {
	spread := func(over time.Duration) time.Duration { return time.Duration(delegator.spread * float64(over)) }
	overdue := delegator.ownOverdue(now, situation)
	switch {
	case !situation.HearsPeers && situation.Confirmed.IsZero() && delegator.first:
		return now.Sub(delegator.started) >= spread(firstSpread)
	case !situation.HearsPeers && situation.Confirmed.IsZero():
		return now.Sub(delegator.started) >= spread(startSpread)
	case !situation.HearsPeers:
		return overdue >= spread(time.Duration(unheardShare*float64(delegator.maxAge)))
	case situation.Aggregates:
		return overdue >= delegator.rankDelay(situation.Rank)
	case delegator.maxCopyAge > 0 && !delegator.gaveUp(now) && situation.GroupRank < successorsFor(situation) && overdue >= delegator.rankDelay(situation.Rank+situation.GroupRank):
		return true
	}
	return overdue >= memberAge-delegator.shortestAge()+spread(memberSpread)
}
