package informer

import (
	"time"

	"limpetcleat/chronicler"
	"limpetcleat/confiner"
	"limpetcleat/definer"
	"limpetcleat/follower"
	"limpetcleat/messenger"
)

// evacuationWait is how long a watch on evacuations waits for a change on a node that need not keep
// its copy fresh.
const evacuationWait = 10 * time.Second

// WithConfiner sets the confiner to which evacuations are passed.
func WithConfiner(confiner *confiner.Confiner) Option {
	return func(informer *Informer) { informer.confiner = confiner }
}

// followEvacuations creates the follower of the evacuations, unless the feed is nil.
func (informer *Informer) followEvacuations(feed follower.Feed[confiner.Evacuation, confiner.Change]) {
	if feed == nil {
		return
	}
	sink := replicaSink[confiner.Evacuation, confiner.Change, messenger.EvacuationEntry]{informer.copies.evacuations, evacuationRecord, evacuationChangeRecord}
	informer.evacuations = follower.New(feed, sink,
		follower.WithDuty[confiner.Evacuation, confiner.Change](informer.duties.entries),
		follower.WithPosition[confiner.Evacuation, confiner.Change](informer.knowledge.knownEvacuations),
		follower.WithMaxPause[confiner.Evacuation, confiner.Change](informer.maxRetryDelay),
		follower.WithWait[confiner.Evacuation, confiner.Change](func() time.Duration { return informer.copyWait(evacuationWait, informer.bounds.Evacuation) }),
		follower.WithAudit[confiner.Evacuation, confiner.Change](informer.auditEvery(auditInterval)),
		follower.WithWatchReports[confiner.Evacuation, confiner.Change](informer.logWatch("evacuations")),
		follower.WithReports[confiner.Evacuation, confiner.Change](informer.logOutage("evacuations"), informer.logRecovery("evacuations")))
}

// evacuationsHealthy reports whether the store answered the last call about evacuations, or there
// are none to follow.
func (informer *Informer) evacuationsHealthy() bool {
	return informer.evacuations == nil || informer.evacuations.Healthy()
}

// applyEvacuations applies changes of the evacuations to the confiner.
func (informer *Informer) applyEvacuations(reading chronicler.Reading[messenger.EvacuationEntry], _ definer.VM) {
	if reading.Full {
		list := make([]confiner.Evacuation, 0, len(reading.All))
		for _, record := range reading.All {
			list = append(list, evacuationOf(record))
		}
		informer.confiner.Replace(list)
	}
	changes := make([]confiner.Change, 0, len(reading.Records))
	for _, record := range reading.Records {
		changes = append(changes, confiner.Change{Evacuation: evacuationOf(record), Removed: record.Removed})
	}
	informer.confiner.Apply(changes)
}

func evacuationRecord(evacuation confiner.Evacuation) chronicler.Record[messenger.EvacuationEntry] {
	return chronicler.Record[messenger.EvacuationEntry]{
		Name: string(evacuation.DataCentre), Revision: evacuation.Revision, Entry: messenger.EvacuationEntry{DataCentre: evacuation.DataCentre},
	}
}

func evacuationChangeRecord(change confiner.Change) chronicler.Record[messenger.EvacuationEntry] {
	record := evacuationRecord(change.Evacuation)
	record.Removed = change.Removed
	return record
}

func evacuationOf(record chronicler.Record[messenger.EvacuationEntry]) confiner.Evacuation {
	return confiner.Evacuation{DataCentre: definer.DataCentre(record.Name), Revision: record.LastWrite()}
}
