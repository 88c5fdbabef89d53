package informer

import (
	"limpetcleat/chronicler"
	"limpetcleat/definer"
	"limpetcleat/follower"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

// newUpstreamReplica returns the replica of the entries of upstreams, which it passes on to the registrar.
func newUpstreamReplica(informer *Informer) *replica[messenger.UpstreamEntry] {
	return newReplica("upstreams", informer.log, informer.applyUpstreams, chronicler.WithSuccession(succeedUpstream))
}

// succeedUpstream returns the entry that follows the known one of an upstream. An upstream writes its entry again
// and again, and the store may execute one of these writes after later ones: that a start of the upstream is
// stopping, or was replaced by a later start, is not undone by it.
func succeedUpstream(known, next chronicler.Record[messenger.UpstreamEntry]) chronicler.Record[messenger.UpstreamEntry] {
	before, entry := &known.Entry, &next.Entry
	if next.Removed {
		next.Entry = messenger.UpstreamEntry{Incarnation: before.Incarnation, Sequence: before.Sequence, Stopping: before.Stopping}
		return next
	}
	if entry.Incarnation == 0 {
		entry.Incarnation = before.Incarnation
	}
	switch {
	case entry.Incarnation > before.Incarnation:
		return next
	case entry.Incarnation < before.Incarnation:
		next.Entry = *before
		if known.Removed {
			entry.Leaving, entry.Rewritten = true, true
		}
		return next
	}
	back := known.Removed || entry.CreatedAt > known.LastWrite()
	// Entries of living upstreams lapse during an outage of the store.
	expected := next.Doubted || known.Removed && known.Doubted
	beats := !back && entry.Sequence > before.Sequence
	entry.Rewritten = entry.Rewritten || back && !expected || before.Rewritten && !beats
	entry.Lapsed = entry.Lapsed || back && expected || before.Lapsed && !beats && !back
	entry.Stopping = entry.Stopping || before.Stopping
	entry.Leaving = entry.Leaving || entry.Stopping
	entry.Sequence = max(entry.Sequence, before.Sequence)
	return next
}

func upstreamOf(record chronicler.Record[messenger.UpstreamEntry]) registrar.Upstream {
	return registrar.Upstream{
		ID:          definer.UpstreamName(record.Name),
		Service:     record.Entry.Service,
		Address:     record.Entry.Address,
		DataCentre:  record.Entry.DataCentre,
		Slots:       record.Entry.Slots,
		Leaving:     record.Entry.Leaving,
		Spot:        record.Entry.Spot,
		Incarnation: record.Entry.Incarnation,
		Cold:        record.Entry.Cold,
		Version:     record.Entry.Version,
		CreatedAt:   record.Entry.CreatedAt,
		Sequence:    record.Entry.Sequence,
		Stopping:    record.Entry.Stopping,
		Rewritten:   record.Entry.Rewritten,
		Lapsed:      record.Entry.Lapsed,
		Revision:    record.LastWrite(),
	}
}

func upstreamRecord(upstream *registrar.Upstream) chronicler.Record[messenger.UpstreamEntry] {
	return chronicler.Record[messenger.UpstreamEntry]{
		Name:     string(upstream.ID),
		Revision: upstream.Revision,
		Entry: messenger.UpstreamEntry{
			Service:     upstream.Service,
			Address:     upstream.Address,
			DataCentre:  upstream.DataCentre,
			Slots:       upstream.Slots,
			Leaving:     upstream.Leaving,
			Spot:        upstream.Spot,
			Incarnation: upstream.Incarnation,
			Cold:        upstream.Cold,
			Version:     upstream.Version,
			CreatedAt:   upstream.CreatedAt,
			Sequence:    upstream.Sequence,
			Stopping:    upstream.Stopping,
			Rewritten:   upstream.Rewritten,
			Lapsed:      upstream.Lapsed,
		},
	}
}

// upstreamReplicaSink applies what the store returned about upstreams to the replica.
type upstreamReplicaSink struct {
	replica *replica[messenger.UpstreamEntry]
}

// Replace takes a complete list.
func (sink upstreamReplicaSink) Replace(list []registrar.Upstream, reading follower.Reading) {
	records := make([]chronicler.Record[messenger.UpstreamEntry], 0, len(list))
	for index := range list {
		records = append(records, upstreamRecord(&list[index]))
	}
	sink.replica.applyList(records, reading.Revision, reading.Outage)
}

// Apply takes changes.
func (sink upstreamReplicaSink) Apply(changes []registrar.Change, reading follower.Reading) {
	records := make([]chronicler.Record[messenger.UpstreamEntry], 0, len(changes))
	for index := range changes {
		record := upstreamRecord(&changes[index].Upstream)
		record.Removed, record.Doubted = changes[index].Removed, reading.Outage
		records = append(records, record)
	}
	sink.replica.applyChanges(records, reading)
}
