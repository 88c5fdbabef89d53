package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// clearanceWait is how long a request waits for a clearing fact after it is held off, before it
// is refused. When many upstreams crash at once under a request that is sent often, the crashes
// become known before the fact that a node has served the request. It is twice the longest time
// that a fact takes to all nodes: three report intervals of 0.1 s each, and the network delays.
const clearanceWait = 700 * time.Millisecond

// verdictPollInterval is the time between two checks of a request whose verdict may still be
// cleared. Few requests wait at a time, so that polling is cheap.
const verdictPollInterval = 25 * time.Millisecond

// maxSuspects bounds the suspects, at some 200 bytes each with one crash. A caller that sends a
// different request each time fills the table with requests under which one upstream crashed.
const maxSuspects = 4096

// MaxParts is the number of parts of a prompt that may be suspects; those behind them never are.
const MaxParts = 32

// evictionDivisor is the part of the suspects, one in evictionDivisor, that is evicted when the
// table is full.
const evictionDivisor = 8

// ReleaseReason is the reason why a request is no longer held off.
type ReleaseReason string

const (
	// Cleared means that the request was served, by this or another node, or that an operator has
	// lifted the hold.
	Cleared ReleaseReason = "cleared"
	// Explained means that the crashes are attributed to another request.
	Explained ReleaseReason = "explained"
	// Expired means that MaxHold has passed, or that the suspect was evicted.
	Expired ReleaseReason = "over"
)

// Quarantiner decides which requests are held off. It is safe for concurrent use. It reads no
// clock: the callers pass all times.
type Quarantiner struct {
	// heldOff is called when a request is held off, and released when it no longer is.
	heldOff  func(Suspicion)
	released func(Suspicion, ReleaseReason)
	// refreshRepeats is the number of reports of each scope in which a refresh repeats a fact.
	refreshRepeats [messenger.ScopeCount]int
	// count is called with the numbers of held-off and suspected requests.
	count func(held, suspected int)
	// mutex guards the fields below. No other lock is taken while it is held.
	mutex    sync.Mutex
	suspects map[definer.RequestIdentity]*suspect
	// candidates are the suspects with at least holdThreshold crashes, cleared crashes included.
	// They are few, so that updating the verdicts need not visit all suspects.
	candidates map[definer.RequestIdentity]*suspect
	// heldCount is the number of requests that are held off.
	heldCount int
	served    served
	// pending are the facts that are still to be reported, each once, in the order in which they
	// became known.
	pending []fact
	// refreshedAt is the time of the last refresh, and lastRefreshed the last request whose facts
	// were refreshed.
	refreshedAt   time.Time
	lastRefreshed definer.RequestIdentity
}

// Option changes one setting of a Quarantiner.
type Option func(*Quarantiner)

// WithVerdicts sets the functions that are called when a request is held off and when it no
// longer is. Neither may block or call the Quarantiner. The default does nothing.
func WithVerdicts(heldOff func(Suspicion), released func(Suspicion, ReleaseReason)) Option {
	return func(quarantiner *Quarantiner) { quarantiner.heldOff, quarantiner.released = heldOff, released }
}

// WithoutRefreshToAggregator excludes reports from members to their aggregator from the periodic
// refresh of facts. It is for deployments in which many members report to one node.
func WithoutRefreshToAggregator() Option {
	return func(quarantiner *Quarantiner) { quarantiner.refreshRepeats[messenger.ToAggregator] = 0 }
}

// WithCounts sets the function that is called with the numbers of held-off and suspected requests
// whenever they may have changed. It must not block. The default does nothing, and nil keeps it.
func WithCounts(count func(held, suspected int)) Option {
	return func(quarantiner *Quarantiner) {
		if count != nil {
			quarantiner.count = count
		}
	}
}

// New returns a Quarantiner without suspects.
func New(options ...Option) *Quarantiner {
	quarantiner := &Quarantiner{
		heldOff:        func(Suspicion) {},
		released:       func(Suspicion, ReleaseReason) {},
		refreshRepeats: [messenger.ScopeCount]int{1, 1, 1},
		count:          func(int, int) {},
		suspects:       make(map[definer.RequestIdentity]*suspect),
		candidates:     make(map[definer.RequestIdentity]*suspect),
	}
	for _, option := range options {
		option(quarantiner)
	}
	return quarantiner
}

// Verdict states whether a request may be sent.
type Verdict struct {
	// HeldFor is how much longer the request is held off at most; 0 means that it may be sent.
	HeldFor time.Duration
	// RecheckAfter is the time after which to check again, while a clearing fact may still arrive; 0
	// means that a request that is held off is refused.
	RecheckAfter time.Duration
	// Culprit is the identity of the request, or that of the part of its prompt, that is held off.
	Culprit definer.RequestIdentity
}

// Check returns the verdict on a request whose prompt has the parts, in their order. It counts a refusal
// if the request is held off without a time to wait.
func (quarantiner *Quarantiner) Check(now time.Time, identity definer.RequestIdentity, parts ...definer.RequestIdentity) Verdict {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	verdict := quarantiner.check(now, identity)
	for _, part := range parts {
		if verdict.HeldFor > 0 {
			break
		}
		verdict = quarantiner.check(now, part)
	}
	return verdict
}

// check returns the verdict on a suspect. The mutex is held.
func (quarantiner *Quarantiner) check(now time.Time, identity definer.RequestIdentity) Verdict {
	suspect, ok := quarantiner.suspects[identity]
	if !ok || !suspect.isHeld {
		return Verdict{}
	}
	clearance := max(clearanceWait-now.Sub(suspect.heldSince), 0)
	verdict := Verdict{Culprit: identity, HeldFor: MaxHold - now.Sub(suspect.latestUnclearedCrash()), RecheckAfter: min(clearance, verdictPollInterval)}
	if verdict.HeldFor <= 0 {
		quarantiner.release(now, suspect, Expired)
		return Verdict{}
	}
	if verdict.RecheckAfter == 0 {
		suspect.refused++
	}
	return verdict
}

// UnclearedCrashes returns how many crashes a request may have caused: those known under it that
// it is not cleared of.
func (quarantiner *Quarantiner) UnclearedCrashes(identity definer.RequestIdentity) int {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	if suspect, ok := quarantiner.suspects[identity]; ok {
		return suspect.unclearedCrashes()
	}
	return 0
}

// MayRepeat reports whether a request that was on an upstream when it crashed may be sent again
// within the attempt. It may not if one more crash would reach the threshold at which it is held
// off.
func (quarantiner *Quarantiner) MayRepeat(identity definer.RequestIdentity) bool {
	return quarantiner.UnclearedCrashes(identity) < holdThreshold-1
}

// SuspectCount returns the number of suspects: requests under which an upstream has crashed.
func (quarantiner *Quarantiner) SuspectCount() int {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	return len(quarantiner.suspects)
}

// HasPendingFacts reports whether facts are still to be reported to peers.
func (quarantiner *Quarantiner) HasPendingFacts() bool {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	return len(quarantiner.pending) > 0
}

// RecordCrash records that an upstream has crashed with a request of this node on it, whose prompt has the
// parts, in their order.
func (quarantiner *Quarantiner) RecordCrash(now time.Time, start definer.UpstreamStart, identity definer.RequestIdentity, parts ...definer.RequestIdentity) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	changed := quarantiner.addFact(now, fact{identity: identity, crash: &crash{start: start, at: now}}, true)
	for index, part := range parts {
		found := fact{identity: part, depth: index + 1, crash: &crash{start: start, at: now}}
		changed = quarantiner.addFact(now, found, true) || changed
	}
	if changed {
		quarantiner.updateVerdicts(now)
	}
}

// RecordServed records that an upstream has completed a request of this node whose prompt has the parts,
// which clears them of all known crashes.
func (quarantiner *Quarantiner) RecordServed(now time.Time, identity definer.RequestIdentity, parts ...definer.RequestIdentity) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	quarantiner.recordSound(now, identity)
	quarantiner.recordSound(now, parts...)
}

// RecordAnswering records that an upstream has been answering a prompt with the parts for SuspicionPeriod,
// which clears them of all known crashes.
func (quarantiner *Quarantiner) RecordAnswering(now time.Time, parts ...definer.RequestIdentity) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	quarantiner.recordSound(now, parts...)
}

// recordSound clears suspects of all known crashes. The mutex is held.
func (quarantiner *Quarantiner) recordSound(now time.Time, identities ...definer.RequestIdentity) {
	for _, identity := range identities {
		quarantiner.served.note(now, identity)
		quarantiner.clear(now, identity)
	}
}

// Lift clears a request of all known crashes on behalf of an operator, on this node and, by its
// reports, on all others. It reports whether there were any.
func (quarantiner *Quarantiner) Lift(now time.Time, identity definer.RequestIdentity) bool {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	return quarantiner.clear(now, identity)
}

// clear clears a request of all known crashes and reports whether there were any. The mutex is
// held.
func (quarantiner *Quarantiner) clear(now time.Time, identity definer.RequestIdentity) bool {
	suspect, ok := quarantiner.suspects[identity]
	if !ok || suspect.unclearedCrashes() == 0 {
		return false
	}
	for _, crash := range suspect.crashes {
		if !crash.cleared {
			crash.cleared = true
			quarantiner.enqueue(fact{identity: identity, depth: suspect.depth, crash: crash}, true)
		}
	}
	suspect.changedAt = now
	quarantiner.updateVerdicts(now)
	return true
}

// addFact records a fact and reports whether it was new or has become cleared. Facts that this
// node or its members (toAll) found, or that this node clears, are reported in all scopes, facts
// of other nodes to the members alone. The mutex is held.
func (quarantiner *Quarantiner) addFact(now time.Time, found fact, toAll bool) bool {
	suspect := quarantiner.findOrAdd(now, found.identity, found.depth)
	known := suspect.find(found.crash.start, found.crash.at)
	isNew := known == nil
	if isNew {
		known = found.crash
		suspect.add(known)
		if len(suspect.crashes) >= holdThreshold {
			quarantiner.candidates[found.identity] = suspect
		}
	}
	cleared := known.cleared || found.crash.cleared
	if !cleared && quarantiner.served.clears(known.at, found.identity) {
		cleared, toAll = true, true
	}
	if !isNew && cleared == known.cleared {
		return false
	}
	known.cleared = cleared
	suspect.changedAt = now
	quarantiner.enqueue(fact{identity: found.identity, depth: suspect.depth, crash: known}, toAll)
	return true
}

// findOrAdd returns the suspect of an identity, which it adds if there is none. A part that is at
// different positions in prompts counts as at the last of them. The mutex is held.
func (quarantiner *Quarantiner) findOrAdd(now time.Time, identity definer.RequestIdentity, depth int) *suspect {
	entry, ok := quarantiner.suspects[identity]
	if !ok {
		if len(quarantiner.suspects) >= maxSuspects {
			quarantiner.evict(now)
		}
		entry = &suspect{identity: identity}
		quarantiner.suspects[identity] = entry
	}
	entry.depth = max(entry.depth, depth)
	return entry
}

// evict forgets a part of the suspects: those with the fewest uncleared crashes, and among equals
// those that changed first. It forgets many at once so that not every new suspect needs a scan of
// the table. The mutex is held.
func (quarantiner *Quarantiner) evict(now time.Time) {
	ranked := slices.SortedFunc(maps.Values(quarantiner.suspects), func(left, right *suspect) int {
		return cmp.Or(
			cmp.Compare(left.unclearedCrashes(), right.unclearedCrashes()),
			left.changedAt.Compare(right.changedAt),
			cmp.Compare(left.identity, right.identity),
		)
	})
	for _, suspect := range ranked[:maxSuspects/evictionDivisor] {
		quarantiner.forget(now, suspect)
	}
}

// forget removes a suspect, and releases it first if it is held off. The mutex is held.
func (quarantiner *Quarantiner) forget(now time.Time, suspect *suspect) {
	if suspect.isHeld {
		quarantiner.release(now, suspect, Expired)
	}
	delete(quarantiner.suspects, suspect.identity)
	delete(quarantiner.candidates, suspect.identity)
}

// updateVerdicts derives from the facts which requests are held off. The mutex is held.
func (quarantiner *Quarantiner) updateVerdicts(now time.Time) {
	culprits := findCulprits(quarantiner.candidates)
	// Sorted, so that the log is the same in each run of a simulation.
	for _, identity := range slices.Sorted(maps.Keys(quarantiner.candidates)) {
		suspect := quarantiner.candidates[identity]
		switch {
		case culprits[identity] && !suspect.isHeld && now.Sub(suspect.latestUnclearedCrash()) < MaxHold:
			quarantiner.hold(now, suspect)
		case suspect.isHeld && suspect.unclearedCrashes() == 0:
			quarantiner.release(now, suspect, Cleared)
		case suspect.isHeld && !culprits[identity]:
			quarantiner.release(now, suspect, Explained)
		}
	}
	quarantiner.reportCounts()
}

// hold starts to hold a request off. The mutex is held.
func (quarantiner *Quarantiner) hold(now time.Time, suspect *suspect) {
	suspect.isHeld, suspect.heldSince = true, now
	quarantiner.heldCount++
	quarantiner.heldOff(suspect.suspicion(now))
}

// release stops holding a request off, for the reason. The mutex is held.
func (quarantiner *Quarantiner) release(now time.Time, suspect *suspect, reason ReleaseReason) {
	quarantiner.released(suspect.suspicion(now), reason)
	suspect.isHeld = false
	quarantiner.heldCount--
	quarantiner.reportCounts()
}

// reportCounts passes the numbers of held-off and suspected requests to count. The mutex is held.
func (quarantiner *Quarantiner) reportCounts() {
	quarantiner.count(quarantiner.heldCount, len(quarantiner.suspects))
}

// expire removes crashes older than crashRetention and suspects without crashes, and releases
// requests that were held off for MaxHold. The mutex is held.
func (quarantiner *Quarantiner) expire(now time.Time) {
	for _, suspect := range quarantiner.suspects {
		suspect.crashes = slices.DeleteFunc(suspect.crashes, func(crash *crash) bool { return now.Sub(crash.at) > crashRetention })
		if suspect.isHeld && now.Sub(suspect.latestUnclearedCrash()) >= MaxHold {
			quarantiner.release(now, suspect, Expired)
		}
		if len(suspect.crashes) == 0 {
			quarantiner.forget(now, suspect)
		}
	}
}
