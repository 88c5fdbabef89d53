package limpetcleat

import (
	"time"

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
type upstreamSink struct{ entry *Entry }

// Replace takes in a whole list.
func (sink upstreamSink) Replace(list []registrar.Upstream, outage bool) {
	sink.entry.reportChanges(sink.entry.registrar.Replace(time.Now(), list, outage), "listed")
}

// Apply takes in changes.
func (sink upstreamSink) Apply(changes []registrar.Change, outage bool) {
	sink.entry.reportChanges(sink.entry.registrar.Apply(time.Now(), changes, outage), "watched")
}

// reportChanges logs changes of the list and ends what was under way at upstreams that
// have started again.
func (entry *Entry) reportChanges(changes []registrar.Change, source string) {
	for _, change := range changes {
		upstream := change.Upstream
		if !change.Removed && upstream.Incarnation > 0 {
			entry.forwarder.Started(upstream.Start())
		}
		if change.Earlier != nil {
			entry.connector.Drop(change.Earlier.Address)
			entry.journal.event(logger.EventUpstreamRestarted, "upstream", upstream.ID, "incarnation", upstream.Incarnation,
				"earlier", change.Earlier.Incarnation, "address", upstream.Address, "earlierAddress", change.Earlier.Address)
		}
		entry.journal.event(logger.EventUpstreamChanged, "upstream", upstream.ID, "service", upstream.Service,
			"address", upstream.Address, "dataCentre", upstream.DataCentre, "leaving", upstream.Leaving,
			"removed", change.Removed, "revision", upstream.Revision, "source", source)
	}
}

func (entry *Entry) reportTable(table *router.Table, err error) {
	if err != nil {
		entry.journal.event(logger.EventTableRejected, "cause", err)
		return
	}
	entry.journal.event(logger.EventTableApplied, "version", table.Version(), "rules", len(table.Rules()))
}

// configurationWait returns how long the watch on configurations waits.
func (entry *Entry) configurationWait() time.Duration {
	if time.Since(entry.confirmer.ByPeers()) < confirmationAge {
		return memberWait
	}
	return follower.DefaultWait
}

// askForItself ends a long watch on configurations when peers no longer confirm
// what is in force, so that the store does.
func (entry *Entry) askForItself(now time.Time) {
	if now.Sub(entry.confirmer.Confirmed()) >= confirmationAge {
		entry.configurations.Hurry()
	}
}

// configurationsAway looks at once whether the watch on upstreams still works: it
// waits for longer, and a broken way to the store may leave it hanging.
func (entry *Entry) configurationsAway(outage follower.Outage) {
	entry.reportAway("configuration")(outage)
	if outage.Failures <= 1 {
		entry.upstreams.Hurry()
	}
}

// behind asks the store at once for a configuration that a peer is told to have.
func (entry *Entry) behind(newer uint64) {
	if known := entry.newer.Load(); known < newer && entry.newer.CompareAndSwap(known, newer) {
		entry.journal.event(logger.EventConfigurationBehind, "newer", newer, "confirmedAgoMs", time.Since(entry.Confirmed()).Milliseconds(), "storeHealthy", entry.Healthy())
	}
	entry.configurations.Hurry()
}

func (entry *Entry) reportAway(feed string) func(follower.Outage) {
	return func(outage follower.Outage) {
		entry.journal.event(logger.EventStoreAway, "feed", feed, "failures", outage.Failures, "lastedMs", outage.Lasted.Milliseconds(), "cause", outage.Cause)
	}
}

func (entry *Entry) reportBack(feed string) func(time.Duration) {
	return func(after time.Duration) {
		entry.journal.event(logger.EventStoreBack, "feed", feed, "afterMs", after.Milliseconds())
	}
}
