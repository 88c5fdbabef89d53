package corroborator

import (
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// maxLosses bounds the incarnations with evidence; 10,000 upstreams may be lost at once.
	maxLosses = 16384
	// maxHeard bounds the incarnations whose last sign of life is known.
	maxHeard = 16384
	// evidenceLifetime is how long evidence counts after the observation.
	evidenceLifetime = time.Second
	// repeatInterval is the least time between two observations of one witness. Others are ignored,
	// since they would be reported to all nodes and change nothing.
	repeatInterval = 250 * time.Millisecond
	// lifeMargin is how much later than evidence a sign of life must be. Ages in reports do not
	// include the time in transit, and a slow node reads bytes after their sender has ended.
	lifeMargin = 100 * time.Millisecond
	// sweepInterval is the time between two removals of old signs of life.
	sweepInterval = time.Second
)

// Corroborator keeps the evidence of lost upstreams. It is safe for concurrent use and reads no
// clock: the callers pass all times.
type Corroborator struct {
	self     definer.VM
	changed  func(now time.Time, change Change)
	probe    func(start definer.UpstreamStart, from, until time.Time)
	count    func(counts Counts)
	rejected func(from definer.VM, count int)

	// mutex guards the fields below. It is held during the calls of the functions above, which
	// may take other locks.
	mutex sync.Mutex
	// losses holds the incarnations with evidence, and order the same in the order of their
	// first evidence.
	losses map[definer.UpstreamStart]*loss
	order  []*loss
	// heard is when this node last received something from an incarnation.
	heard   map[definer.UpstreamStart]time.Time
	sweptAt time.Time
	// pending are the losses with evidence that is still to be reported to peers.
	pending []*loss
	// nodes are all nodes with the hashes of their names.
	nodes  []rankedNode
	counts Counts
	// invalid counts the invalid items in reports since rejectedAt, when some were last reported.
	invalid    int
	rejectedAt time.Time
}

// Counts are numbers for metrics.
type Counts struct {
	// Presumed is the number of incarnations that are presumed lost, Evidence the number of
	// observations of losses that were recorded since the start.
	Presumed int
	Evidence int
}

// Change is the beginning, the extension or the end of a presumption.
type Change struct {
	Presumption
	// Begins is set for a new presumption.
	Begins bool
	// Ended is why the presumption ended; empty if it did not end.
	Ended EndReason
}

// EndReason is why a presumption ended.
type EndReason string

const (
	// SignOfLife means that something was received from the upstream after the evidence.
	SignOfLife EndReason = "signOfLife"
	// Expired means that the evidence was not repeated in time.
	Expired EndReason = "expired"
)

// Option changes one setting of a Corroborator.
type Option func(*Corroborator)

// WithChanges sets the function that is called with each change of a presumption. It must not
// block or call the Corroborator. The default does nothing.
func WithChanges(changed func(now time.Time, change Change)) Option {
	return func(corroborator *Corroborator) { corroborator.changed = changed }
}

// WithProbes sets the function that is called when this node has a turn to probe an incarnation
// with one request between the times. The next change of the presumption ends the turn. The
// function must not block or call the Corroborator. The default does nothing.
func WithProbes(probe func(start definer.UpstreamStart, from, until time.Time)) Option {
	return func(corroborator *Corroborator) { corroborator.probe = probe }
}

// WithCounts sets the function that is called with the counts whenever they change. It must not
// block or call the Corroborator. The default does nothing.
func WithCounts(count func(counts Counts)) Option {
	return func(corroborator *Corroborator) { corroborator.count = count }
}

// WithRejections sets the function that is called with the number of invalid items in the reports
// of peers, at most once a second, and the peer that sent the last. It must not block or call the Corroborator. The default does nothing.
func WithRejections(rejected func(from definer.VM, count int)) Option {
	return func(corroborator *Corroborator) { corroborator.rejected = rejected }
}

// New returns the Corroborator of a node, without evidence and without other nodes.
func New(self definer.VM, options ...Option) *Corroborator {
	corroborator := &Corroborator{
		self:     self,
		changed:  func(time.Time, Change) {},
		probe:    func(definer.UpstreamStart, time.Time, time.Time) {},
		count:    func(Counts) {},
		rejected: func(definer.VM, int) {},
		losses:   make(map[definer.UpstreamStart]*loss),
		heard:    make(map[definer.UpstreamStart]time.Time),
		nodes:    rankNodes([]definer.VM{self}),
	}
	for _, option := range options {
		option(corroborator)
	}
	return corroborator
}

// SetNodes sets the list of all nodes, this one included, which take turns to probe.
func (corroborator *Corroborator) SetNodes(nodes []definer.VM) {
	ranked := rankNodes(nodes)
	corroborator.mutex.Lock()
	defer corroborator.mutex.Unlock()
	corroborator.nodes = ranked
	for _, loss := range corroborator.order {
		loss.probers = nil
	}
}

// RecordFailure records that this node found an incarnation to be lost.
func (corroborator *Corroborator) RecordFailure(now time.Time, start definer.UpstreamStart, kind messenger.EvidenceKind) {
	corroborator.mutex.Lock()
	defer corroborator.mutex.Unlock()
	corroborator.addFailure(now, start, observation{witness: corroborator.self, kind: kind, at: now, pendingReports: reportsOf(messenger.MemberLoad)})
}

// RecordSignOfLife records that this node received something from an incarnation.
func (corroborator *Corroborator) RecordSignOfLife(at time.Time, start definer.UpstreamStart) {
	corroborator.mutex.Lock()
	defer corroborator.mutex.Unlock()
	if known, ok := corroborator.heard[start]; at.After(known) && (ok || len(corroborator.heard) < maxHeard) {
		corroborator.heard[start] = at
	}
	corroborator.addLife(at, start, observation{witness: corroborator.self, kind: messenger.EvidenceAlive, at: at, pendingReports: reportsOf(messenger.MemberLoad)})
}

// addFailure merges evidence of a loss. The mutex is held.
func (corroborator *Corroborator) addFailure(now time.Time, start definer.UpstreamStart, failure observation) {
	known, ok := corroborator.losses[start]
	if now.Sub(failure.at) >= evidenceLifetime || !corroborator.heard[start].Before(failure.at.Add(lifeMargin)) {
		return
	}
	if !ok {
		if len(corroborator.losses) >= maxLosses {
			return
		}
		known = &loss{start: start}
		corroborator.losses[start] = known
		corroborator.order = append(corroborator.order, known)
	}
	corroborator.expire(now, known)
	if !corroborator.accepts(known, failure) {
		return
	}
	known.insert(failure)
	corroborator.counts.Evidence++
	corroborator.enqueue(known)
	corroborator.judge(now, known)
	corroborator.count(corroborator.counts)
}

// addLife merges a sign of life, which withdraws evidence that is earlier. The mutex is held.
func (corroborator *Corroborator) addLife(now time.Time, start definer.UpstreamStart, life observation) {
	known, ok := corroborator.losses[start]
	if !ok || !life.at.After(known.life.at) {
		return
	}
	if !known.withdraw(life) {
		return
	}
	known.life = life
	corroborator.enqueue(known)
	if known.presumed() {
		corroborator.end(now, known, SignOfLife)
	}
}

// judge begins or extends the presumption that the evidence supports. The mutex is held.
func (corroborator *Corroborator) judge(now time.Time, known *loss) {
	begins := !known.presumed()
	if begins && !known.corroborated(now) {
		return
	}
	if begins {
		known.since, known.turn = known.failures[0].at, 0
		corroborator.counts.Presumed++
	}
	until := known.supportedUntil()
	if until.Equal(known.until) {
		return
	}
	known.until = until
	corroborator.changed(now, Change{Presumption: known.presumption(), Begins: begins})
}

// expire removes the evidence that is too old to count, and ends the presumption that it no longer
// supports. The mutex is held.
func (corroborator *Corroborator) expire(now time.Time, known *loss) {
	if known.presumed() {
		if now.Before(known.until) {
			return
		}
		corroborator.end(now, known, Expired)
	}
	known.dropExpired(now)
}

// end ends a presumption. The mutex is held.
func (corroborator *Corroborator) end(now time.Time, known *loss, reason EndReason) {
	change := Change{Presumption: known.presumption(), Ended: reason}
	known.since, known.until, known.probers, known.offeredFor = time.Time{}, time.Time{}, nil, time.Time{}
	known.groupRepeats = 0
	if reason == SignOfLife {
		known.failures = nil
	}
	corroborator.counts.Presumed--
	corroborator.changed(now, change)
	corroborator.count(corroborator.counts)
}

// tick ends presumptions in time, removes what is no longer needed and starts the probes whose
// turn has come. The mutex is held.
func (corroborator *Corroborator) tick(now time.Time) {
	kept := corroborator.order[:0]
	for _, known := range corroborator.order {
		corroborator.expire(now, known)
		if known.empty(now) {
			delete(corroborator.losses, known.start)
			continue
		}
		kept = append(kept, known)
		if known.presumed() {
			corroborator.offerProbe(now, known)
		}
	}
	clear(corroborator.order[len(kept):])
	corroborator.order = kept
	if now.Sub(corroborator.sweptAt) < sweepInterval {
		return
	}
	corroborator.sweptAt = now
	for start, at := range corroborator.heard {
		if now.Sub(at) > evidenceLifetime+lifeMargin {
			delete(corroborator.heard, start)
		}
	}
}
