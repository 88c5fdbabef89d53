package informer

import (
	"math"
	"time"

	"limpetcleat/chronicler"
	"limpetcleat/definer"
	"limpetcleat/follower"
	"limpetcleat/historian"
	"limpetcleat/messenger"
	"limpetcleat/ranker"
)

const (
	// versionWait is how long a watch on the entries of software versions waits for a change. News that come
	// late keep streams from new versions for longer, and do nothing else.
	versionWait = 30 * time.Second
	// versionGather is how long changes are gathered before the next watch: many services may be released at
	// the same time.
	versionGather = 100 * time.Millisecond
	// versionDelay is how long a node that is not the first reads the lists before it reads the entries too: many
	// nodes that start do so until peers have contacted them. firstVersionDelay is the same at the first start of a
	// deployment.
	versionDelay      = 250 * time.Millisecond
	firstVersionDelay = time.Second
	// versionInterruptAge is how long such a watch must have been waiting before it is ended because of a
	// write.
	versionInterruptAge = 20 * time.Millisecond
)

// VersionFeed is the list of the entries of software versions in the platform's store.
type VersionFeed interface {
	follower.Feed[historian.Entry, historian.Change]
	historian.Store
}

// followVersions creates the historian and the follower of the entries of software versions, unless the feed is
// nil.
func (informer *Informer) followVersions(feed VersionFeed) {
	if feed == nil {
		return
	}
	informer.historian = historian.New(informer.registrar, feed, informer.storeRole, informer.streamedServices,
		historian.WithLog(informer.log), historian.WithSpread(informer.spread()), historian.WithSettling(informer.VersionListAge()+follower.WatchLag), historian.WithWritten(informer.readWrittenVersions))
	sink := replicaSink[historian.Entry, historian.Change, messenger.VersionEntry]{informer.copies.versions, versionRecord, versionChangeRecord}
	informer.versions = follower.New(feed, sink,
		follower.WithDuty[historian.Entry, historian.Change](informer.duties.versions),
		follower.WithPosition[historian.Entry, historian.Change](informer.knowledge.knownVersions),
		follower.WithMaxPause[historian.Entry, historian.Change](informer.maxRetryDelay),
		follower.WithWait[historian.Entry, historian.Change](func() time.Duration { return versionWait }),
		follower.WithGatherPause[historian.Entry, historian.Change](func() time.Duration { return versionGather }),
		follower.WithSettleDelay[historian.Entry, historian.Change](lateSettleDelay),
		follower.WithAudit[historian.Entry, historian.Change](informer.auditEvery(lateAuditInterval)),
		follower.WithWatchReports[historian.Entry, historian.Change](informer.logWatch("versions")),
		follower.WithReports[historian.Entry, historian.Change](informer.logOutage("versions"), informer.logRecovery("versions")))
}

// VersionListAge returns the age up to which a node takes its list of upstreams to hold all versions at which streams
// have begun.
func (informer *Informer) VersionListAge() time.Duration {
	return max(informer.bounds.Leaving, defaultLeaving)
}

// spread returns a number between 0 and 1 that is different for each node.
func (informer *Informer) spread() float64 {
	return float64(ranker.Weight(string(informer.self.DataCentre), string(informer.self.VM))) / math.MaxUint64
}

// readWrittenVersions reads the entries of software versions after this node has written some.
func (informer *Informer) readWrittenVersions() {
	informer.duties.versions.Set(true)
	informer.versions.InterruptWatch(versionInterruptAge)
}

// Historian returns the historian, or nil if the store keeps no software versions.
func (informer *Informer) Historian() *historian.Historian { return informer.historian }

// mustReadVersions reports whether this node reads the entries of software versions from the store. One reader
// suffices, as they may come late: others read them until they know them once, and while entries are overdue.
func (informer *Informer) mustReadVersions(now time.Time, leadsFirst bool) bool {
	if informer.historian == nil || !informer.duties.entries.On() {
		return false
	}
	loaded, _ := informer.historian.Loaded()
	readFor := now.Sub(informer.duties.readingSince)
	switch {
	case loaded:
		return leadsFirst || informer.historian.Overdue()
	case informer.first:
		return readFor >= firstVersionDelay
	}
	return leadsFirst || readFor >= versionDelay
}

// storeRole returns this node's role in reading the store.
func (informer *Informer) storeRole() historian.Role {
	switch {
	case !informer.duties.entries.On():
		return historian.Bystander
	case informer.readsFirst.Load() || informer.delegator == nil && informer.comesFirst(time.Now()):
		return historian.FirstReader
	}
	return historian.Reader
}

// streamedServices returns the services whose answers may be streams, by the configuration in force.
func (informer *Informer) streamedServices() map[definer.PoolName]bool {
	table := informer.Table()
	if table == nil {
		return nil
	}
	services := make(map[definer.PoolName]bool)
	for _, rule := range table.Rules() {
		if !rule.Streamed {
			continue
		}
		for _, target := range rule.Targets {
			services[target.Service] = true
		}
	}
	return services
}

// applyVersions applies changes of the entries of software versions to the historian.
func (informer *Informer) applyVersions(reading chronicler.Reading[messenger.VersionEntry], _ definer.VM) {
	if informer.historian == nil {
		return
	}
	now := time.Now()
	if reading.Full {
		list := make([]historian.Entry, 0, len(reading.All))
		for _, record := range reading.All {
			list = append(list, versionOf(record))
		}
		informer.historian.Replace(now, list)
	}
	changes := make([]historian.Change, 0, len(reading.Records))
	for _, record := range reading.Records {
		changes = append(changes, historian.Change{Key: record.Name, Entry: versionOf(record), Removed: record.Removed})
	}
	informer.historian.Apply(now, changes)
}

func versionOf(record chronicler.Record[messenger.VersionEntry]) historian.Entry {
	return historian.Entry{Service: record.Entry.Service, Version: record.Entry.Version, GoneFor: record.Entry.GoneFor, Settled: record.Entry.Settled, Revision: record.LastWrite()}
}

func versionRecord(entry historian.Entry) chronicler.Record[messenger.VersionEntry] {
	return chronicler.Record[messenger.VersionEntry]{
		Name: entry.Key(), Revision: entry.Revision,
		Entry: messenger.VersionEntry{Service: entry.Service, Version: entry.Version, GoneFor: entry.GoneFor, Settled: entry.Settled},
	}
}

func versionChangeRecord(change historian.Change) chronicler.Record[messenger.VersionEntry] {
	if change.Removed {
		return chronicler.Record[messenger.VersionEntry]{Name: change.Key, Revision: change.Entry.Revision, Removed: true}
	}
	return versionRecord(change.Entry)
}
