package quarantiner

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// reportRepeats is the number of reports of each scope that include a fact, since a report
	// may be lost.
	reportRepeats = 2
	// maxReportedFacts bounds the facts in one report, at some 20 bytes each.
	maxReportedFacts = 256
	// maxLearnedFacts bounds the facts that are taken from one report. It exceeds
	// maxReportedFacts because a peer of another version may report more.
	maxLearnedFacts = 4 * maxReportedFacts
	// maxNameBytes bounds the length of an upstream's name.
	maxNameBytes = 256
	// refreshInterval is the time between two refreshes, which report known facts again for nodes
	// that have started or were cut off since; these must know of a held-off request within 3 s.
	// Each refresh covers refreshRequests requests, some 0.5 KB with three crashes each.
	refreshInterval = time.Second
	refreshRequests = 4
	// refreshPeriod is how long after a change the facts of a request that is not held off are
	// refreshed, and refreshThreshold the number of crashes that it must have. A node that misses
	// the facts of requests with fewer crashes only learns of one crash too few.
	refreshPeriod    = time.Minute
	refreshThreshold = holdThreshold - 1
)

// fact is a crash of an upstream under a suspect.
type fact struct {
	identity definer.RequestIdentity
	// depth is that of the suspect.
	depth int
	crash *crash
}

// enqueue schedules the reports of a fact, in all scopes or to the members alone. The mutex is
// held.
func (quarantiner *Quarantiner) enqueue(reported fact, toAll bool) {
	if toAll {
		quarantiner.enqueueRepeats(reported, [messenger.ScopeCount]int{reportRepeats, reportRepeats, reportRepeats})
		return
	}
	quarantiner.enqueueRepeats(reported, [messenger.ScopeCount]int{messenger.ToMembers: reportRepeats})
}

// enqueueRepeats schedules at least the given number of reports of a fact in each scope. The
// mutex is held.
func (quarantiner *Quarantiner) enqueueRepeats(reported fact, times [messenger.ScopeCount]int) {
	if !reported.crash.isPending() {
		quarantiner.pending = append(quarantiner.pending, reported)
	}
	for index := range times {
		reported.crash.pendingReports[index] = max(reported.crash.pendingReports[index], times[index])
	}
}

// NextReport returns the facts for this node's next report of the scope. Once every
// refreshInterval it also expires old facts and refreshes known ones.
func (quarantiner *Quarantiner) NextReport(now time.Time, scope messenger.LoadScope) []messenger.UpstreamFall {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	if now.Sub(quarantiner.refreshedAt) >= refreshInterval {
		quarantiner.refreshedAt = now
		quarantiner.expire(now)
		quarantiner.refresh(now)
	}
	if len(quarantiner.pending) == 0 {
		return nil
	}
	index := scope.Index()
	builder := newReportBuilder(now)
	quarantiner.pending = slices.DeleteFunc(quarantiner.pending, func(pending fact) bool {
		if pending.crash.pendingReports[index] > 0 && builder.count < maxReportedFacts {
			pending.crash.pendingReports[index]--
			builder.add(pending)
		}
		return !pending.crash.isPending()
	})
	return builder.falls
}

// refresh schedules the facts of the next refreshRequests requests for another report, in
// rotation. The mutex is held.
func (quarantiner *Quarantiner) refresh(now time.Time) {
	var due []definer.RequestIdentity
	for identity, suspect := range quarantiner.suspects {
		crashes := len(suspect.crashes)
		if suspect.isPart() {
			// Parts that many prompts share are on most upstreams that crash, and cleared soon.
			crashes = suspect.unclearedCrashes()
		}
		recent := crashes >= refreshThreshold && now.Sub(suspect.changedAt) < refreshPeriod
		if suspect.isHeld || recent {
			due = append(due, identity)
		}
	}
	slices.Sort(due)
	next, _ := slices.BinarySearch(due, quarantiner.lastRefreshed+"\x00")
	for count := range min(refreshRequests, len(due)) {
		identity := due[(next+count)%len(due)]
		quarantiner.lastRefreshed = identity
		suspect := quarantiner.suspects[identity]
		for _, crash := range suspect.crashes {
			quarantiner.enqueueRepeats(fact{identity: identity, depth: suspect.depth, crash: crash}, quarantiner.refreshRepeats)
		}
	}
}

// reportBuilder collects the facts of a report, grouped by crash.
type reportBuilder struct {
	now   time.Time
	falls []messenger.UpstreamFall
	// indexes maps each crash to its index in falls.
	indexes map[crashKey]int
	count   int
}

// crashKey identifies a crash within a report.
type crashKey struct {
	start definer.UpstreamStart
	at    time.Time
}

func newReportBuilder(now time.Time) *reportBuilder {
	return &reportBuilder{now: now, indexes: make(map[crashKey]int)}
}

// add adds a fact to the report.
func (builder *reportBuilder) add(pending fact) {
	key := crashKey{pending.crash.start, pending.crash.at}
	index, ok := builder.indexes[key]
	if !ok {
		index = len(builder.falls)
		builder.indexes[key] = index
		builder.falls = append(builder.falls, messenger.UpstreamFall{
			Upstream: key.start.Upstream, Incarnation: key.start.Incarnation, Age: builder.now.Sub(key.at),
		})
	}
	end := &builder.falls[index]
	switch {
	case pending.depth > 0:
		end.Parts = append(end.Parts, messenger.SuspectPart{Identity: pending.identity, Depth: pending.depth, Cleared: pending.crash.cleared})
	case pending.crash.cleared:
		end.Cleared = append(end.Cleared, pending.identity)
	default:
		end.Suspects = append(end.Suspects, pending.identity)
	}
	builder.count++
}

// Learn merges the facts of a peer's report. Facts that cannot be true are ignored, since the
// peer may be of another version or faulty.
func (quarantiner *Quarantiner) Learn(now time.Time, from definer.VM, scope messenger.LoadScope, falls []messenger.UpstreamFall) {
	if len(falls) == 0 {
		return
	}
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	learner := learner{quarantiner: quarantiner, now: now, from: from, fromMember: scope == messenger.MemberLoad, remaining: maxLearnedFacts}
	for index := range falls {
		learner.learnCrash(&falls[index])
	}
	if learner.changed {
		quarantiner.updateVerdicts(now)
	}
}

// learner merges the facts of one report. The quarantiner's mutex is held.
type learner struct {
	quarantiner *Quarantiner
	now         time.Time
	from        definer.VM
	// fromMember is set if a member of this aggregator sent the report.
	fromMember bool
	// remaining is the number of facts that may still be merged, and changed is set once one was
	// new.
	remaining int
	changed   bool
}

func (learner *learner) learnCrash(end *messenger.UpstreamFall) {
	possible := end.Upstream != "" && len(end.Upstream) <= maxNameBytes && end.Age >= 0 && end.Age <= crashRetention
	if !possible {
		return
	}
	for _, identity := range end.Suspects {
		learner.learnFact(end, messenger.SuspectPart{Identity: identity})
	}
	for _, identity := range end.Cleared {
		learner.learnFact(end, messenger.SuspectPart{Identity: identity, Cleared: true})
	}
	for _, part := range end.Parts {
		if part.Depth > 0 && part.Depth <= MaxParts {
			learner.learnFact(end, part)
		}
	}
}

// learnFact merges a fact about a part, or about a request, which has no depth.
func (learner *learner) learnFact(end *messenger.UpstreamFall, suspect messenger.SuspectPart) {
	if len(suspect.Identity) != definer.RequestIdentityBytes || learner.remaining == 0 {
		return
	}
	learner.remaining--
	found := &crash{start: end.Start(), at: learner.now.Add(-end.Age), cleared: suspect.Cleared, reportedBy: learner.from}
	if learner.quarantiner.addFact(learner.now, fact{identity: suspect.Identity, depth: suspect.Depth, crash: found}, learner.fromMember) {
		learner.changed = true
	}
}
