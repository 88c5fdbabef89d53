package informer

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/router"
)

const (
	// upstreamWait is how long a watch on upstreams waits for a change on a node that need
	// not keep its copy fresh; each watch is a billed call.
	upstreamWait = 10 * time.Second
	// peerWait is how long a watch on the list of nodes waits for a change. The list may
	// be old, since an entry of a node that is gone costs only a message.
	peerWait = 30 * time.Second
	// upstreamGather and peerGather are how long changes are gathered before the next
	// watch. When upstreams or nodes start together, their entries arrive one after
	// another: 64 upstreams and 71 nodes that all start together cost each node some 70
	// calls. The pause is shorter where an upstream that leaves must be known soon; nothing
	// depends on the list of nodes.
	upstreamGather = 700 * time.Millisecond
	peerGather     = time.Second
	// lateSettleDelay is how long after an answer with changes it is read again what the answer may lack, where
	// changes may come late.
	lateSettleDelay = 6 * time.Second
	// auditInterval is the time after which a list finds a change that was missed for any reason, lateAuditInterval
	// that of changes that may come late.
	auditInterval     = 10 * time.Second
	lateAuditInterval = time.Minute
	// confirmedWait is how long a watch on configurations waits while a peer confirms
	// the configuration, so that the watch is needed only to learn of changes.
	confirmedWait = 10 * time.Second
	// maxConfirmationAge is the age of a peer's confirmation up to which a node that reads
	// the store for itself only does not ask for configurations, where their bound leaves as
	// much. The confirmation of a peer that reads the store is at most some 2.3 s old; a node
	// that has to start reading then has 2 s left before it refuses keys.
	maxConfirmationAge = 2600 * time.Millisecond
	// minInterruptAge is how long a watch must have been waiting before it is ended because
	// there is a newer version or the store may be away.
	minInterruptAge = time.Second
)

// followConfigurations creates the follower of the operator's configurations.
func (informer *Informer) followConfigurations(feed follower.Feed[router.Definition, router.Definition]) {
	informer.configurations = follower.New(feed, configurationSink{informer},
		follower.WithDuty[router.Definition, router.Definition](informer.duties.configurations),
		follower.WithNewerKnown[router.Definition, router.Definition](informer.wantsConfiguration),
		follower.WithMaxPause[router.Definition, router.Definition](informer.maxRetryDelay),
		follower.WithWait[router.Definition, router.Definition](informer.configurationWait),
		follower.WithAudit[router.Definition, router.Definition](informer.auditEvery(auditInterval)),
		follower.WithWatchReports[router.Definition, router.Definition](informer.logWatch("configuration")),
		follower.WithReports[router.Definition, router.Definition](informer.handleConfigurationOutage, informer.logRecovery("configuration")))
	informer.confirmer = follower.NewConfirmer(informer.holder, informer.configurations.Confirmed, informer.handleNewerVersion)
}

// peerReplicaSink returns what applies the list of nodes that the store returned.
func (informer *Informer) peerReplicaSink() replicaSink[exchanger.Peer, exchanger.PeerChange, messenger.PeerEntry] {
	return replicaSink[exchanger.Peer, exchanger.PeerChange, messenger.PeerEntry]{informer.copies.peers, peerRecord, peerChangeRecord}
}

// followPeers creates the follower of the list of nodes.
func (informer *Informer) followPeers(feed follower.Feed[exchanger.Peer, exchanger.PeerChange]) {
	informer.peers = follower.New(feed, informer.peerReplicaSink(),
		follower.WithDuty[exchanger.Peer, exchanger.PeerChange](informer.duties.entries),
		follower.WithPosition[exchanger.Peer, exchanger.PeerChange](informer.knowledge.knownPeers),
		follower.WithMaxPause[exchanger.Peer, exchanger.PeerChange](informer.maxRetryDelay),
		follower.WithWait[exchanger.Peer, exchanger.PeerChange](func() time.Duration { return peerWait }),
		follower.WithGatherPause[exchanger.Peer, exchanger.PeerChange](func() time.Duration { return peerGather }),
		follower.WithSettleDelay[exchanger.Peer, exchanger.PeerChange](lateSettleDelay),
		follower.WithAudit[exchanger.Peer, exchanger.PeerChange](informer.auditEvery(lateAuditInterval)),
		follower.WithWatchReports[exchanger.Peer, exchanger.PeerChange](informer.logWatch("peers")),
		follower.WithReports[exchanger.Peer, exchanger.PeerChange](informer.logOutage("peers"), informer.logRecovery("peers")),
		follower.WithSettling[exchanger.Peer, exchanger.PeerChange](informer.storeSettling))
}

// followUpstreams creates the follower of the list of upstreams.
func (informer *Informer) followUpstreams(feed follower.Feed[registrar.Upstream, registrar.Change]) {
	options := []follower.Option[registrar.Upstream, registrar.Change]{
		follower.WithDuty[registrar.Upstream, registrar.Change](informer.duties.entries),
		follower.WithPosition[registrar.Upstream, registrar.Change](informer.knowledge.knownUpstreams),
		follower.WithMaxPause[registrar.Upstream, registrar.Change](informer.maxRetryDelay),
		follower.WithWait[registrar.Upstream, registrar.Change](func() time.Duration { return informer.copyWait(upstreamWait, informer.bounds.Leaving) }),
		follower.WithGatherPause[registrar.Upstream, registrar.Change](func() time.Duration { return informer.gatherPause(upstreamGather) }),
		follower.WithAudit[registrar.Upstream, registrar.Change](informer.auditEvery(auditInterval)),
		follower.WithWatchReports[registrar.Upstream, registrar.Change](informer.logWatch("upstreams")),
		follower.WithReports[registrar.Upstream, registrar.Change](informer.logOutage("upstreams"), informer.logRecovery("upstreams")),
		follower.WithSettling[registrar.Upstream, registrar.Change](informer.storeSettling),
	}
	informer.upstreams = follower.New(feed, upstreamReplicaSink{informer.copies.upstreams}, options...)
}

// storeOrigin is the origin of entries that this node read from the store itself.
const storeOrigin definer.VM = "store"

// publishChanges logs changes of the upstreams and passes them to upstreamChanged. from is the
// node that sent the entries, or storeOrigin.
func (informer *Informer) publishChanges(changes []registrar.Change, source string, from definer.VM) {
	for _, change := range changes {
		upstream := change.Upstream
		informer.upstreamChanged(change)
		if change.Replaced != nil {
			informer.log(logger.EventUpstreamRestarted, "upstream", upstream.ID, "incarnation", upstream.Incarnation,
				"earlier", change.Replaced.Incarnation, "address", upstream.Address, "earlierAddress", change.Replaced.Address)
		}
		informer.log(logger.EventUpstreamChanged, "upstream", upstream.ID, "entry", change.Listing(), "sequence", upstream.Sequence,
			"revision", upstream.Revision, "createdAt", upstream.CreatedAt, "from", from, "source", source,
			"stopping", upstream.Stopping, "rewritten", upstream.Rewritten, "incarnation", upstream.Incarnation, "service", upstream.Service,
			"address", upstream.Address, "dataCentre", upstream.DataCentre, "coldMs", upstream.Cold.Milliseconds())
	}
}

func (informer *Informer) logTable(table *router.Table, err error) {
	if err != nil {
		informer.log(logger.EventTableRejected, "cause", err)
		return
	}
	informer.log(logger.EventTableApplied, "version", table.Version(), "rules", len(table.Rules()))
}

// configurationWait returns how long a watch on configurations waits for a change.
func (informer *Informer) configurationWait() time.Duration {
	switch {
	case informer.delegator != nil && informer.keepsFresh.Load():
		return informer.copyWait(informer.delegator.WatchWait(), informer.bounds.Application)
	case informer.delegator == nil && time.Since(informer.confirmer.ConfirmedByPeers()) >= informer.maxConfirmationAge():
		return informer.copyWait(follower.DefaultWait, informer.bounds.Application)
	}
	return confirmedWait
}

// handleConfigurationOutage logs an outage. At the first failure it also ends the other watches,
// which may hang on a broken connection to the store.
func (informer *Informer) handleConfigurationOutage(outage follower.Outage) {
	informer.logOutage("configuration")(outage)
	if outage.Failures <= 1 {
		informer.interruptWatches(minInterruptAge)
	}
}

// handleNewerVersion records a peer's confirmation of a version that this node lacks,
// and ends the current watch so that a node which reads the store asks for the version
// at once.
func (informer *Informer) handleNewerVersion(newer uint64, at time.Time) {
	current := informer.peerConfirmation.Load()
	isNewer := newer > current.version || newer == current.version && at.After(current.at)
	if isNewer && informer.peerConfirmation.CompareAndSwap(current, &peerConfirmation{newer, at}) && newer > current.version {
		informer.log(logger.EventConfigurationBehind, "newer", newer, "confirmedAgoMs", time.Since(informer.Confirmed()).Milliseconds(), "storeHealthy", informer.Healthy())
	}
	informer.configurations.InterruptWatch(minInterruptAge)
}

func (informer *Informer) logOutage(feed string) func(follower.Outage) {
	return func(outage follower.Outage) {
		informer.log(logger.EventStoreAway, "feed", feed, "failures", outage.Failures, "watchesOnly", outage.WatchesOnly, "lastedMs", outage.Lasted.Milliseconds(), "cause", outage.Cause)
	}
}

func (informer *Informer) logRecovery(feed string) func(time.Duration) {
	return func(after time.Duration) {
		informer.log(logger.EventStoreBack, "feed", feed, "afterMs", after.Milliseconds())
	}
}

// logWatch returns what logs the answers to the watches of a feed that hold changes.
func (informer *Informer) logWatch(feed string) func(follower.WatchAnswer) {
	return func(answer follower.WatchAnswer) {
		informer.log(logger.EventChangesWatched, "feed", feed, "after", answer.After, "newest", answer.Newest, "current", answer.Current, "changes", answer.Changes)
	}
}
