package informer

import (
	"context"
	"time"

	"limpetcleat/delegator"
	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/router"
)

const (
	// freshWord is how old the word of peers may be for a node that does not ask the store
	// itself to say that a key or a rule is unknown; older, it says that it cannot tell.
	freshWord = 3500 * time.Millisecond
	// meetTimeout bounds the first look at the list of nodes; without it a node waits to
	// be found by the others.
	meetTimeout = time.Second
)

// duties tell the followers when this node asks the store.
type duties struct {
	// configurations is that of the operator's configurations, entries that of the lists of
	// upstreams and nodes: these are not asked for while the first one fails.
	configurations *follower.Duty
	entries        *follower.Duty
}

// delegate makes what decides whether this node asks the store.
func (informer *Informer) delegate() {
	alone := informer.delegator == nil
	informer.duties = &duties{configurations: follower.NewDuty(alone), entries: follower.NewDuty(alone)}
	informer.met = make(chan struct{})
	informer.pause.Store(int64(delegator.LongestPause(delegator.Situation{})))
	informer.asking(alone)
	if !alone {
		informer.knowledge = newKnowledge(informer)
	}
}

// exchangerOptions returns those of the exchanger in the way that this node follows the
// store.
func (informer *Informer) exchangerOptions() []exchanger.Option {
	options := []exchanger.Option{exchanger.WithLog(informer.log), exchanger.WithIncarnation(informer.incarnation)}
	if informer.suspicions != nil {
		options = append(options, exchanger.WithSuspicions(informer.suspicions))
	}
	if informer.announcements != nil {
		options = append(options, exchanger.WithAnnouncements(informer.announcements))
	}
	if informer.clock != nil {
		options = append(options, exchanger.WithClock(informer.clock))
	}
	if informer.knowledge == nil {
		return append(options, exchanger.WithConfirmations(informer.confirmer))
	}
	return append(options, exchanger.WithConfirmations(chain{informer}), exchanger.WithKnowledge(informer.knowledge))
}

// longestPause returns the bound of the pause behind calls to the store that fail.
func (informer *Informer) longestPause() time.Duration { return time.Duration(informer.pause.Load()) }

// meetPeers reads the list of nodes, which may be seconds old, so that a node that starts
// among others knows who may tell it the rest.
func (informer *Informer) meetPeers(ctx context.Context) {
	defer close(informer.met)
	if informer.knowledge == nil || informer.first {
		return // At the first start of all the list is being written, and an old one is empty.
	}
	meeting, cancel := context.WithTimeout(follower.WithReason(follower.WithStale(ctx), follower.Starting), meetTimeout)
	defer cancel()
	list, revision, err := informer.peerList.List(meeting)
	if err != nil {
		informer.log(logger.EventStoreAway, "feed", "peers", "failures", 1, "cause", err)
		return
	}
	peerLedger{informer.knowledge.peers}.Replace(list, follower.Reading{Revision: revision, Stale: true})
}

// assign settles whether this node asks the store.
func (informer *Informer) assign(now time.Time) {
	if informer.delegator == nil {
		return
	}
	standing := informer.exchanger.Standing(now)
	situation := delegator.Situation{
		Leads:      standing.Leads,
		First:      standing.First,
		Aggregates: standing.Aggregates,
		Rank:       standing.Rank,
		Heard:      standing.Heard,
		Confirmed:  informer.Confirmed(),
		ByPeers:    informer.confirmer.ByPeers(),
	}
	informer.pause.Store(int64(delegator.LongestPause(situation)))
	informer.freshens.Store(informer.delegator.Freshens(now, situation))
	asks := informer.delegator.Asks(now, situation)
	if asks != informer.duties.configurations.On() {
		informer.asking(asks)
		informer.log(logger.EventStoreAsker, "asks", asks, "leads", standing.Leads, "aggregates", standing.Aggregates,
			"rank", standing.Rank, "heard", standing.Heard, "confirmedAgoMs", now.Sub(situation.Confirmed).Milliseconds())
	}
	informer.duties.configurations.Set(asks)
	informer.duties.entries.Set(asks && !informer.configurations.Failing())
}

// wantsConfiguration tells whether a peer has told of a newer version than that in force.
func (informer *Informer) wantsConfiguration() bool {
	return informer.version() < informer.word.Load().version
}

// version returns that of the configuration in force; 0 is none.
func (informer *Informer) version() uint64 {
	table := informer.holder.Table()
	if table == nil {
		return 0
	}
	return table.Version()
}

// configurationSink takes in the operator's configurations.
type configurationSink struct{ informer *Informer }

// Replace takes in what a list returned. One that may be seconds old counts only if it is
// as new as what a peer told of: an older one is not in force any more.
func (sink configurationSink) Replace(definitions []router.Definition, reading follower.Reading) {
	for _, definition := range definitions {
		if !reading.Stale || definition.Version >= sink.informer.word.Load().version {
			sink.informer.holder.Apply([]router.Definition{definition}, reading)
		}
	}
}

// Apply takes in changes.
func (sink configurationSink) Apply(definitions []router.Definition, reading follower.Reading) {
	sink.informer.holder.Apply(definitions, reading)
}

// chain passes on up to when the configuration in force is known to be the newest, be it
// by the store or by a peer: a time that holds for one node holds for all.
type chain struct{ informer *Informer }

// Direct returns the newest version that is known and that time; it is zero when there is
// none. A version that this node was told of and still lacks is passed on too: others may
// get it sooner. What the store itself confirms counts only while the lists of upstreams
// and nodes are followed too: whoever takes this node's word leaves it to this node to ask
// for them.
func (chain chain) Direct() (uint64, time.Time) {
	informer := chain.informer
	if word := informer.word.Load(); word.version > informer.version() {
		return word.version, word.at
	}
	// The time is read first: a version that comes into force in between is newer.
	at := informer.confirmer.ByPeers()
	if direct := informer.configurations.Confirmed(); direct.After(at) && informer.upstreams.Healthy() && informer.peers.Healthy() {
		at = direct
	}
	return informer.version(), at
}

// Learn takes in that a version was the newest at the time.
func (chain chain) Learn(version uint64, at time.Time) { chain.informer.confirmer.Learn(version, at) }
