package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"limpetcleat/definer"
)

// settleFor is how long a request that is held off waits for word that clears it before it
// is refused. When many upstreams end at once under one that is asked often, their ends become
// known before the word of a node that has served it does. It is twice what a fact takes to
// all nodes at most: three intervals of reports of 0.1 s each, and their ways.
const settleFor = 700 * time.Millisecond

// verdictPoll is the time between two looks at a verdict that is not settled; few requests
// wait for one.
const verdictPoll = 25 * time.Millisecond

// maxSuspects bounds the requests that are remembered, some 200 bytes each with one end. A
// caller that sends other ones all the time fills it with those that ended one upstream.
const maxSuspects = 4096

// roomShare is the part of them that is forgotten at once when they are too many.
const roomShare = 8

// Release is why a request is no longer held off.
type Release string

const (
	// Cleared means that it was served, here or at another node, or that an operator has
	// lifted it.
	Cleared Release = "cleared"
	// Explained means that another request is known to have caused the ends.
	Explained Release = "explained"
	// Over means that HoldFor has passed.
	Over Release = "over"
)

// Quarantiner knows which requests are held off. It is safe for concurrent use. It reads no
// clock: all times are handed in.
type Quarantiner struct {
	// heldOff and released are told of each verdict that changes.
	heldOff  func(Suspicion)
	released func(Suspicion, Release)
	// refreshTimes is how often facts are told again in reports of each scope.
	refreshTimes [scopeCount]int
	// count is told how many requests are held off and how many suspected.
	count func(held, suspected int)
	// mutex guards the rest; no other lock is taken under it.
	mutex    sync.Mutex
	suspects map[definer.RequestIdentity]*suspect
	// grave are those of suspects that have heldFalls ends or more, cleared ones included:
	// few, so that a verdict need not look at all.
	grave map[definer.RequestIdentity]*suspect
	// held counts those that are held off.
	held   int
	served served
	// untold are the facts that are still to be told, in the order in which they became
	// known; each has an entry in it once.
	untold []untold
	// refreshed is when facts were last told again, and refreshedUpTo the last request of
	// which they were.
	refreshed     time.Time
	refreshedUpTo definer.RequestIdentity
}

// Option changes one setting of a Quarantiner.
type Option func(*Quarantiner)

// WithVerdicts sets what is told of each request that is held off from now on, and of each
// that no longer is; neither may block or call the Quarantiner. The default is nothing.
func WithVerdicts(heldOff func(Suspicion), released func(Suspicion, Release)) Option {
	return func(quarantiner *Quarantiner) { quarantiner.heldOff, quarantiner.released = heldOff, released }
}

// WithoutRefreshUp has facts told again to members and between groups alone, where many
// members report to one node.
func WithoutRefreshUp() Option {
	return func(quarantiner *Quarantiner) { quarantiner.refreshTimes[toAggregator] = 0 }
}

// WithCounts sets what is told how many requests are held off, and how many are suspected,
// whenever that may have changed; it must not block. The default, and nil, is nothing.
func WithCounts(count func(held, suspected int)) Option {
	return func(quarantiner *Quarantiner) {
		if count != nil {
			quarantiner.count = count
		}
	}
}

// New returns a Quarantiner that suspects nothing.
func New(options ...Option) *Quarantiner {
	quarantiner := &Quarantiner{
		heldOff:      func(Suspicion) {},
		released:     func(Suspicion, Release) {},
		refreshTimes: [scopeCount]int{1, 1, 1},
		count:        func(int, int) {},
		suspects:     make(map[definer.RequestIdentity]*suspect),
		grave:        make(map[definer.RequestIdentity]*suspect),
	}
	for _, option := range options {
		option(quarantiner)
	}
	return quarantiner
}

// Verdict tells whether a request may be sent.
type Verdict struct {
	// Left is how long it is held off from now on at the longest; 0 if it is not.
	Left time.Duration
	// Wait is after what time to look again, while word may still come that clears it; 0
	// once it is to be refused.
	Wait time.Duration
}

// Check returns the verdict on a request.
func (quarantiner *Quarantiner) Check(now time.Time, identity definer.RequestIdentity) Verdict {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	known, ok := quarantiner.suspects[identity]
	if !ok || !known.held {
		return Verdict{}
	}
	settles := max(settleFor-now.Sub(known.heldSince), 0)
	verdict := Verdict{Left: HoldFor - now.Sub(known.latest()), Wait: min(settles, verdictPoll)}
	if verdict.Left <= 0 {
		quarantiner.release(now, known, Over)
		return Verdict{}
	}
	if verdict.Wait == 0 {
		known.refused++
	}
	return verdict
}

// Doubts returns how many upstreams have ended under a request that it may have caused to.
func (quarantiner *Quarantiner) Doubts(identity definer.RequestIdentity) int {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	if known, ok := quarantiner.suspects[identity]; ok {
		return known.doubts()
	}
	return 0
}

// MayRepeat tells whether a request that was on an upstream when it ended may be sent again
// within its attempt: not if the next end would be the one from which on it is held off.
func (quarantiner *Quarantiner) MayRepeat(identity definer.RequestIdentity) bool {
	return quarantiner.Doubts(identity) < heldFalls-1
}

// Count returns how many requests are known under which an upstream ended.
func (quarantiner *Quarantiner) Count() int {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	return len(quarantiner.suspects)
}

// IsTelling tells whether facts are still to be told.
func (quarantiner *Quarantiner) IsTelling() bool {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	return len(quarantiner.untold) > 0
}

// Fell takes in that an upstream has ended with a request of this node on it.
func (quarantiner *Quarantiner) Fell(now time.Time, start definer.UpstreamStart, identity definer.RequestIdentity) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	if quarantiner.note(now, identity, &fall{start: start, at: now}, true) {
		quarantiner.judge(now)
	}
}

// Served takes in that an upstream of this node has run a request whole: it is cleared of
// the ends that are known.
func (quarantiner *Quarantiner) Served(now time.Time, identity definer.RequestIdentity) {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	quarantiner.served.note(now, identity)
	quarantiner.clear(now, identity)
}

// Lift clears a request of the ends that are known, here and then everywhere, and tells
// whether any were. It is for operators.
func (quarantiner *Quarantiner) Lift(now time.Time, identity definer.RequestIdentity) bool {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	return quarantiner.clear(now, identity)
}

// clear clears a request of all known ends and tells whether there were any; mutex is held.
func (quarantiner *Quarantiner) clear(now time.Time, identity definer.RequestIdentity) bool {
	known, ok := quarantiner.suspects[identity]
	if !ok || known.doubts() == 0 {
		return false
	}
	for _, fall := range known.falls {
		if !fall.cleared {
			fall.cleared = true
			quarantiner.toTell(identity, fall, true)
		}
	}
	known.changedAt = now
	quarantiner.judge(now)
	return true
}

// note takes in a fact and tells whether it was news. One that this node or those below it
// have found out is told to all, others to the members alone. The mutex is held.
func (quarantiner *Quarantiner) note(now time.Time, identity definer.RequestIdentity, found *fall, below bool) bool {
	known := quarantiner.suspect(now, identity)
	fact := known.find(found.start, found.at)
	isNew := fact == nil
	if isNew {
		fact = found
		known.add(fact)
		if len(known.falls) >= heldFalls {
			quarantiner.grave[identity] = known
		}
	}
	cleared := fact.cleared || found.cleared
	if !cleared && quarantiner.served.since(fact.at, identity) {
		cleared, below = true, true
	}
	if !isNew && cleared == fact.cleared {
		return false
	}
	fact.cleared = cleared
	known.changedAt = now
	quarantiner.toTell(identity, fact, below)
	return true
}

// suspect returns what is known of a request; mutex is held.
func (quarantiner *Quarantiner) suspect(now time.Time, identity definer.RequestIdentity) *suspect {
	known, ok := quarantiner.suspects[identity]
	if !ok {
		if len(quarantiner.suspects) >= maxSuspects {
			quarantiner.makeRoom(now)
		}
		known = &suspect{identity: identity}
		quarantiner.suspects[identity] = known
	}
	return known
}

// makeRoom forgets a part of the requests, the least suspected ones and of those the ones
// that changed first, so that the rest need not be looked through for each new one; mutex is
// held.
func (quarantiner *Quarantiner) makeRoom(now time.Time) {
	known := slices.SortedFunc(maps.Values(quarantiner.suspects), func(left, right *suspect) int {
		return cmp.Or(
			cmp.Compare(left.doubts(), right.doubts()),
			left.changedAt.Compare(right.changedAt),
			cmp.Compare(left.identity, right.identity),
		)
	})
	for _, least := range known[:maxSuspects/roomShare] {
		quarantiner.forget(now, least)
	}
}

// forget forgets a request; mutex is held.
func (quarantiner *Quarantiner) forget(now time.Time, known *suspect) {
	if known.held {
		quarantiner.release(now, known, Over)
	}
	delete(quarantiner.suspects, known.identity)
	delete(quarantiner.grave, known.identity)
}

// judge settles from the facts which requests are held off; mutex is held.
func (quarantiner *Quarantiner) judge(now time.Time) {
	guilty := convict(quarantiner.grave)
	// In one order, so that the log of a run repeats.
	for _, identity := range slices.Sorted(maps.Keys(quarantiner.grave)) {
		known := quarantiner.grave[identity]
		switch {
		case guilty[identity] && !known.held && now.Sub(known.latest()) < HoldFor:
			quarantiner.hold(now, known)
		case known.held && known.doubts() == 0:
			quarantiner.release(now, known, Cleared)
		case known.held && !guilty[identity]:
			quarantiner.release(now, known, Explained)
		}
	}
	quarantiner.tellCounts()
}

// hold begins to hold a request off; mutex is held.
func (quarantiner *Quarantiner) hold(now time.Time, known *suspect) {
	known.held, known.heldSince = true, now
	quarantiner.held++
	quarantiner.heldOff(known.suspicion(now))
}

// release ends that a request is held off; mutex is held.
func (quarantiner *Quarantiner) release(now time.Time, known *suspect, why Release) {
	quarantiner.released(known.suspicion(now), why)
	known.held = false
	quarantiner.held--
	quarantiner.tellCounts()
}

// tellCounts tells how many requests are held off and suspected; mutex is held.
func (quarantiner *Quarantiner) tellCounts() {
	quarantiner.count(quarantiner.held, len(quarantiner.suspects))
}

// expire forgets what is too old, and releases what was held off for long enough; mutex is
// held.
func (quarantiner *Quarantiner) expire(now time.Time) {
	for _, known := range quarantiner.suspects {
		known.falls = slices.DeleteFunc(known.falls, func(fall *fall) bool { return now.Sub(fall.at) > fallLife })
		if known.held && now.Sub(known.latest()) >= HoldFor {
			quarantiner.release(now, known, Over)
		}
		if len(known.falls) == 0 {
			quarantiner.forget(now, known)
		}
	}
}
