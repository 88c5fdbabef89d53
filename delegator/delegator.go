// Package delegator decides whether a node asks the platform's store by itself, or lets
// the nodes that do tell it what the store says. Nobody agrees on who asks: each node
// judges by its place in the list of nodes, by who answers, and by how old its knowledge
// is. Two that ask where one would do cost calls and nothing else.
package delegator

import "time"

const (
	// freshShare is the part of the bound on revocation that the age of what is known may
	// take until a node asks: 2.6 s of 5 s, which leaves 2 s for others to take over until
	// keys are no longer honoured. Without a bound it is that of longestRevocation.
	freshShare        = 0.52
	longestRevocation = 5 * time.Second
	// watchLag is how far a watch may be behind by the platform's word, telling how long a
	// node's word takes to all others: the watches of one that asks wait for what is left.
	watchLag     = time.Second
	telling      = 400 * time.Millisecond
	shortestWait = 200 * time.Millisecond
	// rankSteps is how many aggregators, one behind the other, may find that nobody before
	// them asks, in the time that is left: 1 in 17 of the freshness, some 150 ms each, more
	// than a call and its telling take.
	rankSteps = 17
	// aloneShare spreads the first calls of nodes that hear from nobody, as a part of the
	// freshness.
	aloneShare = 0.27
	// memberPatience is how old the knowledge of a node becomes that hears from its
	// aggregator until it asks besides it, spread over memberSpread: that some 15 nodes
	// before it cannot reach the store and it can is rare, and a store that is away for
	// all is asked by 295 nodes for nothing otherwise.
	memberPatience = 6 * time.Second
	memberSpread   = 6 * time.Second
	// startSpread spreads the first calls of nodes that start and hear from nobody;
	// firstSpread those at the first start of a whole deployment, when nobody knows of
	// anybody and callers come only 10 s later.
	startSpread = time.Second
	firstSpread = 4 * time.Second
	// leaderPause bounds the pause between calls that fail of a node that asks for its
	// data centre, or that hears from nobody: it has to know of the store's return within
	// some 2 s. The others pause for otherPause at most.
	leaderPause = 500 * time.Millisecond
	otherPause  = 8 * time.Second
)

// Situation is what a node knows of itself and of others.
type Situation struct {
	// Leads is set if it is the one that asks for its data centre, First if it is the first
	// of these.
	Leads bool
	First bool
	// Aggregates is set if others of its group report to it; Rank is its place among those.
	Aggregates bool
	Rank       int
	// Heard is set while peers tell it anything.
	Heard bool
	// Confirmed is up to when its knowledge is known to be the store's, ByPeers the same by
	// the word of peers alone; zero is never.
	Confirmed time.Time
	ByPeers   time.Time
}

// Delegator decides for one node. It is owned by one goroutine.
type Delegator struct {
	started   time.Time
	freshness time.Duration
	// spread is a number between 0 and 1 that spreads nodes in the same situation.
	spread float64
	// first is set at the first start of a whole deployment.
	first  bool
	asking bool
}

// New returns a Delegator for a node that starts at the time. Revocation is how long a
// revoked key may be honoured, 0 for any time; spread is a number between 0 and 1, and
// first is set at the first start of a whole deployment.
func New(started time.Time, revocation time.Duration, spread float64, first bool) *Delegator {
	if revocation <= 0 || revocation > longestRevocation {
		revocation = longestRevocation
	}
	return &Delegator{started: started, freshness: time.Duration(freshShare * float64(revocation)), spread: spread, first: first}
}

// Freshness returns the age of what is known up to which a node need not ask.
func (delegator *Delegator) Freshness() time.Duration { return delegator.freshness }

// Wait returns how long the watches of a node wait that keeps what is known fresh.
func (delegator *Delegator) Wait() time.Duration {
	return max(delegator.freshness-watchLag-telling, shortestWait)
}

// Asks tells whether the node is to ask the store at this time.
func (delegator *Delegator) Asks(now time.Time, situation Situation) bool {
	switch {
	case situation.Leads:
		delegator.asking = true
	case delegator.asking:
		delegator.asking = now.Sub(situation.ByPeers) >= delegator.freshness
	default:
		delegator.asking = now.Sub(delegator.since(situation)) >= delegator.patience(situation)
	}
	return delegator.asking
}

// Freshens tells whether the node that asks is to make sure by itself that its knowledge
// is fresh: the first of those that lead always, so that the others' watches wait long and
// tell of changes alone; these take over one behind the other when its word is old.
func (delegator *Delegator) Freshens(now time.Time, situation Situation) bool {
	return situation.First || now.Sub(situation.ByPeers) >= delegator.ranked(situation)
}

// ranked returns the age of what is known at which an aggregator asks.
func (delegator *Delegator) ranked(situation Situation) time.Duration {
	return delegator.freshness + time.Duration(situation.Rank)*delegator.freshness/rankSteps
}

// LongestPause returns the bound of the pause between calls that fail.
func LongestPause(situation Situation) time.Duration {
	if situation.Leads || !situation.Heard {
		return leaderPause
	}
	return otherPause
}

// since returns when the node's knowledge was the store's, or when it started if it has
// none.
func (delegator *Delegator) since(situation Situation) time.Time {
	if situation.Confirmed.IsZero() {
		return delegator.started
	}
	return situation.Confirmed
}

// patience returns how old the node's knowledge may become until it asks.
func (delegator *Delegator) patience(situation Situation) time.Duration {
	spread := func(over time.Duration) time.Duration { return time.Duration(delegator.spread * float64(over)) }
	switch {
	case !situation.Heard && situation.Confirmed.IsZero() && delegator.first:
		return spread(firstSpread)
	case !situation.Heard && situation.Confirmed.IsZero():
		return spread(startSpread)
	case !situation.Heard:
		return delegator.freshness + spread(time.Duration(aloneShare*float64(delegator.freshness)))
	case situation.Aggregates:
		return delegator.ranked(situation)
	}
	return memberPatience + spread(memberSpread)
}
