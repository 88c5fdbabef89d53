package informer

import (
	"context"
	"time"

	"limpetcleat/definer"
	"limpetcleat/delegator"
	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/router"
)

const (
	// healthyConfirmationAge is the age of the peers' last confirmation up to which a
	// node that does not read the store counts as healthy and may answer that a key or a
	// rule is unknown. Beyond it, the node answers that it cannot tell.
	healthyConfirmationAge = 3500 * time.Millisecond
	// peerReadTimeout limits the read of the list of nodes at the start. A node whose
	// read fails waits until other nodes contact it.
	peerReadTimeout = time.Second
)

// duties tell the followers whether this node reads the store.
type duties struct {
	// configurations is the duty to follow the operator's configurations, entries the
	// duty to follow the lists of upstreams and nodes. The lists are not read while
	// reads of configurations fail.
	configurations *follower.Duty
	entries        *follower.Duty
	// versions is the duty to follow the entries of software versions; readingSince is when that to follow the
	// lists was last turned on.
	versions     *follower.Duty
	readingSince time.Time
}

// setEntries turns the duty to follow the lists on or off.
func (duties *duties) setEntries(now time.Time, on bool) {
	if on && !duties.entries.On() {
		duties.readingSince = now
	}
	duties.entries.Set(on)
}

// initDelegation creates the state that decides whether this node reads the store.
func (informer *Informer) initDelegation() {
	alone := !informer.delegates
	if !alone {
		informer.delegator = delegator.New(time.Now(), informer.bounds, informer.random(), informer.first)
	}
	informer.duties = &duties{configurations: follower.NewDuty(alone), entries: follower.NewDuty(alone), versions: follower.NewDuty(alone)}
	informer.peerReadDone = make(chan struct{})
	informer.retryDelayLimit.Store(int64(delegator.MaxRetryDelay(delegator.Situation{})))
	informer.storeReaderChanged(alone)
	informer.copies = newKnowledge(informer)
	if !alone {
		informer.knowledge = informer.copies
	}
}

// exchangerOptions returns the options of the exchanger. With delegation it exchanges
// the lists of upstreams and nodes with peers too.
func (informer *Informer) exchangerOptions() []exchanger.Option {
	options := []exchanger.Option{exchanger.WithLog(informer.log), exchanger.WithIncarnation(informer.incarnation)}
	if informer.suspicions != nil {
		options = append(options, exchanger.WithSuspicions(informer.suspicions))
	}
	if informer.announcements != nil {
		options = append(options, exchanger.WithAnnouncements(informer.announcements))
	}
	if informer.shares != nil {
		options = append(options, exchanger.WithShares(informer.shares))
	}
	if informer.evidence != nil {
		options = append(options, exchanger.WithEvidence(informer.evidence))
	}
	if informer.clock != nil {
		options = append(options, exchanger.WithClock(informer.clock))
	}
	if informer.knowledge == nil {
		return append(options, exchanger.WithConfirmations(informer.confirmer))
	}
	return append(options, exchanger.WithConfirmations(confirmationRelay{informer}), exchanger.WithKnowledge(informer.knowledge), exchanger.WithStoreAccess(informer.storeAccess))
}

// storeAccess returns this node's access to the store.
func (informer *Informer) storeAccess() messenger.StoreAccess {
	switch {
	case !informer.duties.configurations.On():
		return messenger.NotReading
	case informer.configurations.Failing():
		return messenger.StoreFails
	case informer.configurations.Healthy():
		return messenger.ReadsStore
	}
	return messenger.NotReading
}

// maxRetryDelay returns the longest delay before a failed call to the store is retried.
func (informer *Informer) maxRetryDelay() time.Duration {
	return time.Duration(informer.retryDelayLimit.Load())
}

// readPeersAtStart reads the list of nodes, which may be seconds old, so that a node
// that starts among others knows which nodes can send it the rest.
func (informer *Informer) readPeersAtStart(ctx context.Context) {
	defer close(informer.peerReadDone)
	if informer.knowledge == nil || informer.first {
		return // At the first start of a deployment, nodes still write the list and a stale answer is empty.
	}
	meeting, cancel := context.WithTimeout(follower.WithReason(follower.WithStale(ctx), follower.Starting), peerReadTimeout)
	defer cancel()
	list, revision, err := informer.peerList.List(meeting)
	if err != nil {
		informer.log(logger.EventStoreAway, "feed", "peers", "failures", 1, "cause", err)
		return
	}
	informer.peerReplicaSink().Replace(list, follower.Reading{Revision: revision, Stale: true})
}

// updateDuties decides whether this node reads the store, and sets its duties
// accordingly.
func (informer *Informer) updateDuties(now time.Time) {
	if informer.delegator == nil {
		return
	}
	standing := informer.exchanger.Standing(now)
	situation := delegator.Situation{
		Leads:            standing.IsLeader,
		First:            standing.IsFirstLeader,
		Aggregates:       standing.IsAggregator,
		Rank:             standing.Rank,
		GroupRank:        standing.GroupRank,
		HearsPeers:       standing.HasReports,
		ReadersFail:      standing.StoreAccess == messenger.StoreFails,
		Fails:            informer.storeAccess() == messenger.StoreFails,
		Confirmed:        informer.Confirmed(),
		ConfirmedByPeers: informer.confirmer.ConfirmedByPeers(),
		Current:          informer.CopyCurrent(),
		CurrentByPeers:   informer.freshness.byPeers(),
	}
	informer.retryDelayLimit.Store(int64(delegator.MaxRetryDelay(situation)))
	informer.readsFirst.Store(standing.IsFirstLeader || !standing.HasReports && !informer.first)
	informer.keepsFresh.Store(informer.delegator.KeepsFresh(now, situation))
	reads := informer.delegator.MustReadStore(now, situation)
	if reads != informer.duties.configurations.On() {
		informer.storeReaderChanged(reads)
		informer.log(logger.EventStoreReader, "asks", reads, "leads", standing.IsLeader, "aggregates", standing.IsAggregator,
			"rank", standing.Rank, "heard", standing.HasReports, "confirmedAgoMs", now.Sub(situation.Confirmed).Milliseconds(), "copyAgeMs", informer.CopyAge(now).Milliseconds())
	}
	informer.duties.configurations.Set(reads)
	// A node that takes over from others finds out with one kind of call whether its own are
	// answered.
	answered := informer.configurations.Healthy() || (standing.IsLeader || !standing.HasReports) && !situation.ReadersFail
	informer.duties.setEntries(now, reads && answered && !informer.configurations.Failing())
	informer.duties.versions.Set(informer.mustReadVersions(now, standing.IsFirstLeader))
}

// comesFirst reports whether this node comes first among those that take on duties.
func (informer *Informer) comesFirst(now time.Time) bool {
	precedence := informer.exchanger.Precedence(now, func(definer.VM) bool { return false })
	return precedence.Eligible && precedence.Rank == 0
}

// wantsConfiguration reports whether a peer has announced a newer version than the one
// in force.
func (informer *Informer) wantsConfiguration() bool {
	return informer.version() < informer.peerConfirmation.Load().version
}

// version returns the version of the configuration in force; 0 if there is none.
func (informer *Informer) version() uint64 { return informer.confirmer.InForce() }

// configurationSink applies the operator's configurations.
type configurationSink struct{ informer *Informer }

// Replace applies the configurations that a list call returned. A stale answer, which
// may be seconds old, counts only if it is at least as new as the version that a peer
// confirmed, because an older version is no longer in force.
func (sink configurationSink) Replace(definitions []router.Definition, reading follower.Reading) {
	for _, definition := range definitions {
		if !reading.Stale || definition.Version >= sink.informer.peerConfirmation.Load().version {
			sink.informer.holder.Apply([]router.Definition{definition}, reading)
		}
	}
}

// Apply applies changes.
func (sink configurationSink) Apply(definitions []router.Definition, reading follower.Reading) {
	sink.informer.holder.Apply(definitions, reading)
}

// confirmationRelay forwards the latest time at which the configuration in force is
// known to have been the newest, whether the store or a peer confirmed it: such a time
// is valid for all nodes.
type confirmationRelay struct{ informer *Informer }

// StoreConfirmation returns the newest known version and the latest time at which it was
// confirmed; the time is zero if it never was. A version that a peer confirmed and that this node
// still lacks is forwarded too, since other nodes may fetch it sooner. A confirmation by
// the store itself counts only while the lists of the other entries are followed as
// well: a node that relies on this node's confirmation leaves reading those lists to it.
func (relay confirmationRelay) StoreConfirmation() (uint64, time.Time) {
	informer := relay.informer
	if confirmation := informer.peerConfirmation.Load(); confirmation.version > informer.version() {
		return confirmation.version, confirmation.at
	}
	// The time is read before the version: a version applied in between is newer.
	at := informer.confirmer.ConfirmedByPeers()
	if direct := informer.configurations.Confirmed(); direct.After(at) && informer.upstreams.Healthy() && informer.peers.Healthy() && informer.evacuationsHealthy() {
		at = direct
	}
	return informer.version(), at
}

// InForce returns the version in force.
func (relay confirmationRelay) InForce() uint64 { return relay.informer.version() }

// Learn records that a version was the newest at the time.
func (relay confirmationRelay) Learn(version uint64, at time.Time) {
	relay.informer.confirmer.Learn(version, at)
}
