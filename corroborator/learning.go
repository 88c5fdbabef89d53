package corroborator

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// maxLearned bounds the observations that are taken from one report. It exceeds maxReported
	// because a peer of another version may report more.
	maxLearned = 4 * maxReported
	// maxNameBytes bounds the length of the name of an upstream or a node.
	maxNameBytes = 256
	// maxAge bounds the age of an observation in a report. Older ones than evidenceLifetime are
	// ignored; those above maxAge count as invalid.
	maxAge = time.Hour
	// maxHeardAge bounds the age of a sign of life in a load. Nodes report to each other what they
	// heard from others, and each report omits the time in transit, so that old ages are too low:
	// by more than lifeMargin after some ten reports with 5 ms in transit each way.
	maxHeardAge = 300 * time.Millisecond
	// rejectionInterval is the least time between two reports of invalid items.
	rejectionInterval = time.Second
)

// Learn merges what a peer's report contains about upstreams: the evidence, and when the requests in its
// loads last received something. Invalid items are dropped and counted, since the peer may be of
// another version or faulty.
func (corroborator *Corroborator) Learn(now time.Time, from definer.VM, report *messenger.LoadReport) {
	corroborator.mutex.Lock()
	defer corroborator.mutex.Unlock()
	if len(corroborator.losses) > 0 { // Signs of life matter only where there is evidence.
		// They go first: evidence that follows them in the same report would hide them by lifeMargin,
		// again in each report of a peer that repeats its evidence.
		for index := range report.Loads {
			corroborator.learnLoad(now, from, report.Scope, &report.Loads[index])
		}
	}
	invalid := max(len(report.Evidence)-maxLearned, 0)
	for _, evidence := range report.Evidence[:min(len(report.Evidence), maxLearned)] {
		if !valid(evidence) {
			invalid++
			continue
		}
		corroborator.learn(now, report.Scope, evidence)
	}
	corroborator.invalid += invalid
	if corroborator.invalid > 0 && now.Sub(corroborator.rejectedAt) >= rejectionInterval {
		corroborator.rejected(from, corroborator.invalid)
		corroborator.invalid, corroborator.rejectedAt = 0, now
	}
}

// learn merges one valid observation of a peer. The mutex is held.
func (corroborator *Corroborator) learn(now time.Time, scope messenger.LoadScope, evidence messenger.UpstreamEvidence) {
	if evidence.Witness == corroborator.self || evidence.Age >= evidenceLifetime {
		return // This node knows its own observations, and old ones no longer count.
	}
	found := observation{witness: evidence.Witness, kind: evidence.Kind, at: now.Add(-evidence.Age), pendingReports: reportsOf(scope)}
	if evidence.Kind == messenger.EvidenceAlive {
		corroborator.addLife(now, evidence.Start(), found)
		return
	}
	if known, ok := corroborator.losses[evidence.Start()]; ok && known.presumed() && !corroborator.accepts(known, found) {
		known.noteRepeat(scope)
		return
	}
	corroborator.addFailure(now, evidence.Start(), found)
}

// noteRepeat stops the reports to other groups once these report the loss themselves: each would
// otherwise report it to all others.
func (loss *loss) noteRepeat(scope messenger.LoadScope) {
	if scope.Index() != messenger.ToGroups {
		return
	}
	if loss.groupRepeats++; loss.groupRepeats < reportRepeats {
		return
	}
	for index := range loss.failures {
		loss.failures[index].pendingReports[messenger.ToGroups] = 0
	}
}

// learnLoad takes the sign of life from a peer's load. The mutex is held.
func (corroborator *Corroborator) learnLoad(now time.Time, from definer.VM, scope messenger.LoadScope, load *messenger.UpstreamLoad) {
	if !load.HasHeard || load.Heard < 0 || load.Heard >= maxHeardAge {
		return
	}
	found := observation{witness: from, kind: messenger.EvidenceAlive, at: now.Add(-load.Heard), pendingReports: reportsOf(scope)}
	corroborator.addLife(now, load.Start(), found)
}

// valid reports whether a node can have made the observation.
func valid(evidence messenger.UpstreamEvidence) bool {
	named := evidence.Upstream != "" && len(evidence.Upstream) <= maxNameBytes && evidence.Witness != "" && len(evidence.Witness) <= maxNameBytes
	return named && evidence.Age >= 0 && evidence.Age <= maxAge && evidence.Kind >= messenger.EvidenceRefused && evidence.Kind <= messenger.EvidenceAlive
}
