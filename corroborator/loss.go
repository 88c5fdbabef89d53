package corroborator

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// maxWitnesses is the number of witnesses kept of a loss, the latest ones. As many make a
	// presumption, so more would change no decision.
	maxWitnesses = 2
	// confirmationDelay is how long after its beginning evidence confirms a presumption: the
	// evidence of the first probe, at the earliest time at which it is accepted.
	confirmationDelay = firstProbeDelay - probeTolerance
)

// observation is what one node observed of an incarnation.
type observation struct {
	witness definer.VM
	kind    messenger.EvidenceKind
	at      time.Time
	// pendingReports is the number of reports of each scope that are still to include it.
	pendingReports [messenger.ScopeCount]int
}

// loss is the evidence about one incarnation of an upstream.
type loss struct {
	start definer.UpstreamStart
	// failures are the latest observations of different witnesses, the latest first.
	failures []observation
	// life is the sign of life that withdrew the failures; zero if there is none.
	life observation
	// since is when the presumption began and until when it ends unless evidence extends it; both
	// are zero unless the incarnation is presumed lost.
	since time.Time
	until time.Time
	// turn is the number of probes that failed since, as far as this node knows.
	turn int
	// probers are the nodes that take turns to probe; nil until they are needed. offeredFor is when
	// the probe was due for which this node last determined whether it has a turn.
	probers    []definer.VM
	offeredFor time.Time
	// groupRepeats counts the reports of other groups with known evidence about the presumption.
	groupRepeats int
	// queued is set while the loss is in the queue of pending reports.
	queued bool
}

// presumed reports whether the incarnation is presumed lost.
func (loss *loss) presumed() bool { return !loss.since.IsZero() }

// accepts reports whether a failure adds to what is known. While the incarnation is presumed lost, only
// that of its probers does, once a probe is due: a node that is cut off from all upstreams tries the
// lost ones as well, and its evidence would postpone the probes for as long as it is cut off.
func (corroborator *Corroborator) accepts(loss *loss, failure observation) bool {
	if !loss.life.at.Before(failure.at.Add(lifeMargin)) {
		return false
	}
	if loss.presumed() {
		due := loss.probeDue().Add(-probeTolerance)
		return !failure.at.Before(due) && slices.Contains(corroborator.probersOf(loss), failure.witness)
	}
	for _, known := range loss.failures {
		if known.witness == failure.witness && failure.at.Sub(known.at) < repeatInterval {
			return false
		}
	}
	return len(loss.failures) < maxWitnesses || failure.at.After(loss.failures[maxWitnesses-1].at)
}

// insert adds a failure in place of an earlier one of its witness and of the oldest one.
func (loss *loss) insert(failure observation) {
	if loss.presumed() {
		loss.turn++
	}
	failures := slices.DeleteFunc(loss.failures, func(known observation) bool { return known.witness == failure.witness })
	failures = append(failures, failure)
	slices.SortStableFunc(failures, func(left, right observation) int { return right.at.Compare(left.at) })
	loss.failures = failures[:min(len(failures), maxWitnesses)]
}

// withdraw removes the failures that are earlier than the sign of life and reports whether there
// were any. While the incarnation is presumed lost, all are removed or none.
func (loss *loss) withdraw(life observation) bool {
	refuted := func(failure observation) bool { return !life.at.Before(failure.at.Add(lifeMargin)) }
	if loss.presumed() {
		return refuted(loss.failures[0])
	}
	before := len(loss.failures)
	loss.failures = slices.DeleteFunc(loss.failures, refuted)
	return len(loss.failures) < before
}

// corroborated reports whether two nodes observed the loss within the evidence's lifetime.
func (loss *loss) corroborated(now time.Time) bool {
	return len(loss.failures) == maxWitnesses && now.Sub(loss.failures[maxWitnesses-1].at) < evidenceLifetime
}

// supportedUntil returns when the presumption ends without further evidence: once one of the two
// observations expires or, if a probe has confirmed the loss, probePatience after the next is due.
// Without confirmation, an upstream that only other nodes cannot reach is avoided for at most
// evidenceLifetime.
func (loss *loss) supportedUntil() time.Time {
	until := loss.failures[len(loss.failures)-1].at.Add(evidenceLifetime)
	if loss.failures[0].at.Sub(loss.since) < confirmationDelay {
		return until
	}
	return loss.probeDue().Add(probePatience)
}

// dropExpired removes the failures that no longer count. The incarnation must not be presumed lost.
func (loss *loss) dropExpired(now time.Time) {
	loss.failures = slices.DeleteFunc(loss.failures, func(known observation) bool { return now.Sub(known.at) >= evidenceLifetime })
}

// empty reports whether nothing of the loss is needed any more.
func (loss *loss) empty(now time.Time) bool {
	return len(loss.failures) == 0 && now.Sub(loss.life.at) > evidenceLifetime+lifeMargin
}
