package limpetcleat

import (
	"time"

	"limpetcleat/corroborator"
	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
)

// corroboratorOptions returns the options of the corroborator according to the settings.
func (entry *Entry) corroboratorOptions() []corroborator.Option {
	options := []corroborator.Option{
		corroborator.WithChanges(entry.presumptionChanged),
		corroborator.WithProbes(func(start definer.UpstreamStart, from, until time.Time) {
			entry.selector.AllowProbe(time.Now(), start, from, until)
		}),
		corroborator.WithRejections(entry.journal.evidenceRejected),
	}
	if entry.settings.LossesCounted != nil {
		options = append(options, corroborator.WithCounts(entry.settings.LossesCounted))
	}
	return options
}

// presumptionChanged applies the presumption that an upstream is lost to the selection of upstreams.
// It is called with the corroborator locked.
func (entry *Entry) presumptionChanged(now time.Time, change corroborator.Change) {
	if change.Ended != "" {
		entry.selector.SetLost(now, change.Start, time.Time{})
		entry.journal.upstreamReadmitted(now, change, entry.informer.Upstreams().Listing(change.Start))
		return
	}
	entry.selector.SetLost(now, change.Start, change.Until)
	if change.Begins {
		entry.recordRefusal(change.Start, change.Witnesses[0].Kind)
		entry.journal.upstreamPresumedLost(change)
	}
}

// upstreamPresumedLost logs that a presumption began.
func (journal *journal) upstreamPresumedLost(change corroborator.Change) {
	first, second := change.Witnesses[0], change.Witnesses[1] // A presumption begins with two witnesses.
	journal.event(logger.EventUpstreamPresumedLost, "upstream", change.Start.Upstream, "incarnation", change.Start.Incarnation,
		"witness", first.VM, "kind", first.Kind, "secondWitness", second.VM, "secondKind", second.Kind)
}

// upstreamReadmitted logs that a presumption ended, and how the upstream stands in the platform's list.
func (journal *journal) upstreamReadmitted(now time.Time, change corroborator.Change, listing registrar.Listing) {
	latest := change.Witnesses[0]
	journal.event(logger.EventUpstreamReadmitted, "upstream", change.Start.Upstream, "entry", listing, "reason", change.Ended, "kind", latest.Kind,
		"evidenceAgoMs", now.Sub(latest.At).Milliseconds(), "lostMs", now.Sub(change.Since).Milliseconds(), "incarnation", change.Start.Incarnation)
}

// evidenceRejected logs that items in reports of peers were dropped.
func (journal *journal) evidenceRejected(from definer.VM, count int) {
	journal.event(logger.EventEvidenceRejected, "node", from, "count", count)
}

// evidence passes on which upstreams this node found to be lost or alive.
type evidence struct{ entry *Entry }

// RecordFailure records that a start of an upstream was found to be lost.
func (evidence evidence) RecordFailure(now time.Time, start definer.UpstreamStart, kind messenger.EvidenceKind) {
	evidence.entry.recordRefusal(start, kind)
	evidence.entry.corroborator.RecordFailure(now, start, kind)
}

// RecordSignOfLife records that something was received from a start of an upstream.
func (evidence evidence) RecordSignOfLife(at time.Time, start definer.UpstreamStart) {
	evidence.entry.corroborator.RecordSignOfLife(at, start)
}

// recordRefusal ends the doubt whether an upstream is gone whose entry is missing, if it refused a connection.
func (entry *Entry) recordRefusal(start definer.UpstreamStart, kind messenger.EvidenceKind) {
	if kind == messenger.EvidenceRefused {
		entry.informer.Upstreams().RecordRefusal(start)
	}
}
