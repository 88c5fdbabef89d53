// Package delegator decides whether a node reads the platform's store itself or receives
// the store's data from nodes that do. There is no agreement among nodes: each decides
// by its place in the list of nodes, by whether peers send to it, and by the age of its
// data. Two nodes that read the store where one would do cost calls and nothing else.
package delegator

import "time"

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
	// rankSteps is how many aggregators can take over one after another in the remaining
	// time, each once it finds that none before it reads the store. A step is 1/17 of
	// the maximum age, some 150 ms, more than a call and the propagation of its result
	// take.
	rankSteps = 17
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
}

// Delegator decides for one node. It is not safe for concurrent use.
type Delegator struct {
	started time.Time
	maxAge  time.Duration
	// spread is a number between 0 and 1 that spreads the calls of nodes in the same
	// situation.
	spread float64
	// first is set at the first start of a whole deployment.
	first  bool
	asking bool
	// failingSince is when ReadersFail was set; zero while it is not.
	failingSince time.Time
	// tookOver is set while the node reads the store because the calls of others fail; gaveUp
	// is set once its own calls have failed too, until ReadersFail is reset.
	tookOver bool
	gaveUp   bool
}

// New returns a Delegator for a node that starts at the given time. Revocation is how
// long a revoked key may be accepted; 0 sets no bound. Spread is a number between 0 and
// 1 that spreads the calls of nodes in the same situation, and first is set at the first
// start of a whole deployment.
func New(started time.Time, revocation time.Duration, spread float64, first bool) *Delegator {
	if revocation <= 0 || revocation > maxRevocation {
		revocation = maxRevocation
	}
	return &Delegator{started: started, maxAge: time.Duration(maxAgeShare * float64(revocation)), spread: spread, first: first}
}

// MaxAge returns the age of a node's data up to which the node need not read the store.
func (delegator *Delegator) MaxAge() time.Duration { return delegator.maxAge }

// WatchWait returns how long the watches wait on a node that keeps its data fresh by its
// own calls.
func (delegator *Delegator) WatchWait() time.Duration {
	return max(delegator.maxAge-watchLag-propagationTime, minWatchWait)
}

// MustReadStore reports whether the node has to read the store at this time.
func (delegator *Delegator) MustReadStore(now time.Time, situation Situation) bool {
	takesOver := delegator.takesOver(now, situation)
	switch {
	case situation.Leads:
		delegator.asking = true
	case delegator.tookOver && situation.Fails && situation.ReadersFail:
		// The store answers this node no better than those that read it before.
		delegator.asking, delegator.gaveUp = false, true
	case delegator.asking:
		delegator.asking = takesOver || now.Sub(situation.ConfirmedByPeers) >= delegator.maxAge
	default:
		delegator.asking = takesOver || now.Sub(delegator.lastConfirmed(situation)) >= delegator.askingAge(situation)
	}
	delegator.tookOver = delegator.asking && takesOver
	return delegator.asking
}

// takesOver reports whether the calls of all nodes that read the store have failed for so long that
// this node has to read it, unless its own calls have failed since as well.
func (delegator *Delegator) takesOver(now time.Time, situation Situation) bool {
	if !situation.ReadersFail {
		delegator.failingSince, delegator.gaveUp = time.Time{}, false
		return false
	}
	if delegator.failingSince.IsZero() {
		delegator.failingSince = now
	}
	delay := takeoverDelay
	for range min(situation.GroupRank, maxTakeoverRank) {
		delay *= takeoverFactor
	}
	return !delegator.gaveUp && now.Sub(delegator.failingSince) >= delay
}

// KeepsFresh reports whether a node that reads the store has to keep its data fresh by
// its own calls. The first of the leading nodes always does, so that the watches of the
// others can wait long and only return changes; these nodes take over one after another
// when its confirmation is old.
func (delegator *Delegator) KeepsFresh(now time.Time, situation Situation) bool {
	return situation.First || now.Sub(situation.ConfirmedByPeers) >= delegator.rankedAge(situation)
}

// rankedAge returns the age of its data at which an aggregator reads the store.
func (delegator *Delegator) rankedAge(situation Situation) time.Duration {
	return delegator.maxAge + time.Duration(situation.Rank)*delegator.maxAge/rankSteps
}

// MaxRetryDelay returns the longest delay before a failed call is retried.
func MaxRetryDelay(situation Situation) time.Duration {
	if situation.Leads || !situation.HearsPeers {
		return leaderRetryDelay
	}
	return memberRetryDelay
}

// lastConfirmed returns when the node's data last matched the store, or when the node
// started if it has none.
func (delegator *Delegator) lastConfirmed(situation Situation) time.Time {
	if situation.Confirmed.IsZero() {
		return delegator.started
	}
	return situation.Confirmed
}

// askingAge returns the age of its data at which the node reads the store.
func (delegator *Delegator) askingAge(situation Situation) time.Duration {
	spread := func(over time.Duration) time.Duration { return time.Duration(delegator.spread * float64(over)) }
	switch {
	case !situation.HearsPeers && situation.Confirmed.IsZero() && delegator.first:
		return spread(firstSpread)
	case !situation.HearsPeers && situation.Confirmed.IsZero():
		return spread(startSpread)
	case !situation.HearsPeers:
		return delegator.maxAge + spread(time.Duration(unheardShare*float64(delegator.maxAge)))
	case situation.Aggregates:
		return delegator.rankedAge(situation)
	}
	return memberAge + spread(memberSpread)
}
