package corroborator

import (
	"slices"
	"time"

	"limpetcleat/messenger"
)

const (
	// reportRepeats is the number of reports of each scope that include an observation, since a
	// report may be lost.
	reportRepeats = 2
	// maxReported bounds the observations in one report, at some 45 bytes each.
	maxReported = 128
)

// reportsOf returns the numbers of reports of each scope for an observation that arrived in a report
// of the scope. Those of this node and its members go everywhere, others to members only.
func reportsOf(scope messenger.LoadScope) [messenger.ScopeCount]int {
	if scope == messenger.MemberLoad {
		return [messenger.ScopeCount]int{reportRepeats, reportRepeats, reportRepeats}
	}
	return [messenger.ScopeCount]int{0, 0, reportRepeats}
}

// enqueue schedules the reports of a loss. The mutex is held.
func (corroborator *Corroborator) enqueue(known *loss) {
	if !known.queued {
		known.queued = true
		corroborator.pending = append(corroborator.pending, known)
	}
}

// NextReport returns the evidence for this node's next report of the scope. It is called for each
// scope ten times a second, also where there is no receiver.
func (corroborator *Corroborator) NextReport(now time.Time, scope messenger.LoadScope) []messenger.UpstreamEvidence {
	corroborator.mutex.Lock()
	defer corroborator.mutex.Unlock()
	if scope == messenger.MemberLoad {
		corroborator.tick(now)
	}
	if len(corroborator.pending) == 0 {
		return nil
	}
	index := scope.Index()
	var reported []messenger.UpstreamEvidence
	var unsent, sent []*loss
	for _, known := range corroborator.pending {
		before := len(reported)
		known.queued = false
		for _, observation := range known.observations() {
			if now.Sub(observation.at) >= evidenceLifetime {
				observation.pendingReports = [messenger.ScopeCount]int{}
			}
			if observation.pendingReports[index] > 0 && len(reported) < maxReported {
				observation.pendingReports[index]--
				reported = append(reported, encode(now, known, observation))
			}
			known.queued = known.queued || observation.pendingReports != [messenger.ScopeCount]int{}
		}
		switch {
		case !known.queued:
		case len(reported) > before:
			sent = append(sent, known)
		default:
			unsent = append(unsent, known)
		}
	}
	// Of many losses, each is reported once before the first is repeated.
	corroborator.pending = slices.Concat(unsent, sent)
	return reported
}

// observations returns all observations of a loss for changes of their counters.
func (loss *loss) observations() []*observation {
	list := make([]*observation, 0, maxWitnesses+1)
	for index := range loss.failures {
		list = append(list, &loss.failures[index])
	}
	return append(list, &loss.life)
}

// encode returns the wire form of an observation.
func encode(now time.Time, known *loss, observation *observation) messenger.UpstreamEvidence {
	return messenger.UpstreamEvidence{
		Upstream: known.start.Upstream, Incarnation: known.start.Incarnation,
		Kind: observation.kind, Witness: observation.witness, Age: max(now.Sub(observation.at), 0),
	}
}
