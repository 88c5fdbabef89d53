package informer

import (
	"time"

	"limpetcleat/exchanger"
	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/registrar"
	"limpetcleat/router"
)

const (
	// upstreamWait is how long the watch on upstreams waits; each wait is a call
	// that is billed. The watch on configurations, which waits for less, tells when
	// the store cannot be reached.
	upstreamWait = 10 * time.Second
	// peerWait is how long the watch on the list of peers waits; it may be old,
	// since a peer that is gone only costs a message.
	peerWait = 30 * time.Second
	// upstreamGather and peerGather are how long changes are gathered before the
	// next watch. Entries come in rows when upstreams or nodes start together: 64 and
	// 71 of them cost each node some 70 calls when all start together. An
	// upstream that leaves must be known within 2 s, in which it still serves; on
	// the list of peers nothing depends.
	upstreamGather = 700 * time.Millisecond
	peerGather     = time.Second
	// memberWait is how long the watch on configurations waits while a peer confirms
	// the configuration: the watch then only tells of changes.
	memberWait = 10 * time.Second
	// confirmationAge is the age of a peer's confirmation up to which this node does
	// not ask by itself. A peer that asks for itself is at most some 2.3 s behind;
	// a node that has to begin with that has 2 s left before it refuses keys.
	confirmationAge = 2600 * time.Millisecond
)

// upstreamSink takes in the list of upstreams.
type upstreamSink struct{ informer *Informer }

// Replace takes in a whole list.
func (sink upstreamSink) Replace(list []registrar.Upstream, reading follower.Reading) {
	sink.informer.reportChanges(sink.informer.registrar.Replace(time.Now(), list, reading.Outage), "listed")
}

// Apply takes in changes.
func (sink upstreamSink) Apply(changes []registrar.Change, reading follower.Reading) {
	sink.informer.reportChanges(sink.informer.registrar.Apply(time.Now(), changes, reading.Outage), "watched")
}

// peerSink takes in the list of nodes.
type peerSink struct{ exchanger *exchanger.Exchanger }

// Replace takes in a whole list.
func (sink peerSink) Replace(list []exchanger.Peer, _ follower.Reading) {
	sink.exchanger.Replace(list)
}

// Apply takes in changes.
func (sink peerSink) Apply(changes []exchanger.PeerChange, _ follower.Reading) {
	sink.exchanger.Apply(changes)
}

// followConfigurations makes the follower of the operator's configurations.
func (informer *Informer) followConfigurations(feed follower.Feed[router.Definition, router.Definition]) {
	informer.configurations = follower.New(feed, configurationSink{informer},
		follower.WithDuty[router.Definition, router.Definition](informer.duties.configurations),
		follower.WithWanted[router.Definition, router.Definition](informer.wantsConfiguration),
		follower.WithLongestPause[router.Definition, router.Definition](informer.longestPause),
		follower.WithWait[router.Definition, router.Definition](informer.configurationWait),
		follower.WithReports[router.Definition, router.Definition](informer.configurationsAway, informer.reportBack("configuration")))
	informer.confirmer = follower.NewConfirmer(informer.holder, informer.configurations.Confirmed, informer.behind)
}

// followPeers makes the follower of the list of nodes.
func (informer *Informer) followPeers(feed follower.Feed[exchanger.Peer, exchanger.PeerChange]) {
	var sink follower.Sink[exchanger.Peer, exchanger.PeerChange] = peerSink{informer.exchanger}
	if informer.knowledge != nil {
		sink = peerLedger{informer.knowledge.peers}
	}
	informer.peers = follower.New(feed, sink,
		follower.WithDuty[exchanger.Peer, exchanger.PeerChange](informer.duties.entries),
		follower.WithPosition[exchanger.Peer, exchanger.PeerChange](informer.knowledge.knownPeers),
		follower.WithLongestPause[exchanger.Peer, exchanger.PeerChange](informer.longestPause),
		follower.WithWait[exchanger.Peer, exchanger.PeerChange](func() time.Duration { return peerWait }),
		follower.WithGather[exchanger.Peer, exchanger.PeerChange](peerGather),
		follower.WithReports[exchanger.Peer, exchanger.PeerChange](informer.reportAway("peers"), informer.reportBack("peers")))
}

// followUpstreams makes the follower of the list of upstreams.
func (informer *Informer) followUpstreams(feed follower.Feed[registrar.Upstream, registrar.Change]) {
	var sink follower.Sink[registrar.Upstream, registrar.Change] = upstreamSink{informer}
	if informer.knowledge != nil {
		sink = upstreamLedger{informer.knowledge.upstreams}
	}
	informer.upstreams = follower.New(feed, sink,
		follower.WithDuty[registrar.Upstream, registrar.Change](informer.duties.entries),
		follower.WithPosition[registrar.Upstream, registrar.Change](informer.knowledge.knownUpstreams),
		follower.WithLongestPause[registrar.Upstream, registrar.Change](informer.longestPause),
		follower.WithWait[registrar.Upstream, registrar.Change](func() time.Duration { return upstreamWait }),
		follower.WithGather[registrar.Upstream, registrar.Change](upstreamGather),
		follower.WithReports[registrar.Upstream, registrar.Change](informer.reportAway("upstreams"), informer.reportBack("upstreams")))
}

// reportChanges logs changes of the list and passes them on.
func (informer *Informer) reportChanges(changes []registrar.Change, source string) {
	for _, change := range changes {
		upstream := change.Upstream
		informer.changed(change)
		if change.Earlier != nil {
			informer.log(logger.EventUpstreamRestarted, "upstream", upstream.ID, "incarnation", upstream.Incarnation,
				"earlier", change.Earlier.Incarnation, "address", upstream.Address, "earlierAddress", change.Earlier.Address)
		}
		informer.log(logger.EventUpstreamChanged, "upstream", upstream.ID, "service", upstream.Service,
			"address", upstream.Address, "dataCentre", upstream.DataCentre, "leaving", upstream.Leaving,
			"removed", change.Removed, "revision", upstream.Revision, "source", source)
	}
}

func (informer *Informer) reportTable(table *router.Table, err error) {
	if err != nil {
		informer.log(logger.EventTableRejected, "cause", err)
		return
	}
	informer.log(logger.EventTableApplied, "version", table.Version(), "rules", len(table.Rules()))
}

// configurationWait returns how long the watch on configurations waits.
func (informer *Informer) configurationWait() time.Duration {
	switch {
	case informer.delegator != nil && informer.freshens.Load():
		return informer.delegator.Wait()
	case informer.delegator == nil && time.Since(informer.confirmer.ByPeers()) >= confirmationAge:
		return follower.DefaultWait
	}
	return memberWait
}

// askForItself ends a long watch on configurations when peers no longer confirm
// what is in force, so that the store does.
func (informer *Informer) askForItself(now time.Time) {
	age := now.Sub(informer.confirmer.Confirmed())
	if informer.delegator == nil && age >= confirmationAge || informer.freshens.Load() && age >= informer.delegator.Freshness() {
		informer.configurations.Hurry()
	}
}

// configurationsAway looks at once whether the watch on upstreams still works: it
// waits for longer, and a broken way to the store may leave it hanging.
func (informer *Informer) configurationsAway(outage follower.Outage) {
	informer.reportAway("configuration")(outage)
	if outage.Failures <= 1 {
		informer.upstreams.Hurry()
	}
}

// behind takes in the word of a peer that a version which this node lacks is the newest,
// and asks the store at once if it is for this node to ask.
func (informer *Informer) behind(newer uint64, at time.Time) {
	known := informer.word.Load()
	isNews := newer > known.version || newer == known.version && at.After(known.at)
	if isNews && informer.word.CompareAndSwap(known, &word{newer, at}) && newer > known.version {
		informer.log(logger.EventConfigurationBehind, "newer", newer, "confirmedAgoMs", time.Since(informer.Confirmed()).Milliseconds(), "storeHealthy", informer.Healthy())
	}
	informer.configurations.Hurry()
}

func (informer *Informer) reportAway(feed string) func(follower.Outage) {
	return func(outage follower.Outage) {
		informer.log(logger.EventStoreAway, "feed", feed, "failures", outage.Failures, "lastedMs", outage.Lasted.Milliseconds(), "cause", outage.Cause)
	}
}

func (informer *Informer) reportBack(feed string) func(time.Duration) {
	return func(after time.Duration) {
		informer.log(logger.EventStoreBack, "feed", feed, "afterMs", after.Milliseconds())
	}
}
