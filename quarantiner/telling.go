package quarantiner

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// tellTimes is in how many reports of each scope a fact is told: one may be lost.
	tellTimes = 2
	// maxTold bounds the facts in one report, some 20 bytes each.
	maxTold = 256
	// maxLearnt bounds the facts that are taken from one report; another version may tell
	// more than this one does.
	maxLearnt = 4 * maxTold
	// maxName bounds an upstream's name in bytes.
	maxName = 256
	// refreshEvery is the time between two times that facts are told again, for nodes that
	// have started or were cut off since; they must know within 3 s. refreshMost is of how
	// many requests each time: with three ends each, some 0.5 KB.
	refreshEvery = time.Second
	refreshMost  = 4
	// refreshFor is how long the facts of a request that is not held off are told again
	// after they changed, and refreshFalls how many it must have: a node that misses those
	// of fewer loses nothing but an end.
	refreshFor   = time.Minute
	refreshFalls = heldFalls - 1
)

// untold is a fact that is still to be told.
type untold struct {
	identity definer.RequestIdentity
	fall     *fall
}

// toTell notes that a fact is to be told, to all or to the members alone; mutex is held.
func (quarantiner *Quarantiner) toTell(identity definer.RequestIdentity, fall *fall, toAll bool) {
	if toAll {
		quarantiner.queue(identity, fall, [scopeCount]int{tellTimes, tellTimes, tellTimes})
		return
	}
	quarantiner.queue(identity, fall, [scopeCount]int{toMembers: tellTimes})
}

// queue has a fact told so many times in reports of each scope, or as often as is still to
// come; mutex is held.
func (quarantiner *Quarantiner) queue(identity definer.RequestIdentity, fall *fall, times [scopeCount]int) {
	if !fall.untold() {
		quarantiner.untold = append(quarantiner.untold, untold{identity, fall})
	}
	for place := range times {
		fall.tells[place] = max(fall.tells[place], times[place])
	}
}

// Tell returns the facts for this node's next report of the scope. It also looks after what
// time alone changes.
func (quarantiner *Quarantiner) Tell(now time.Time, scope messenger.LoadScope) []messenger.UpstreamFall {
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	if now.Sub(quarantiner.refreshed) >= refreshEvery {
		quarantiner.refreshed = now
		quarantiner.expire(now)
		quarantiner.refresh(now)
	}
	if len(quarantiner.untold) == 0 {
		return nil
	}
	place := place(scope)
	told := newTold(now)
	quarantiner.untold = slices.DeleteFunc(quarantiner.untold, func(untold untold) bool {
		if untold.fall.tells[place] > 0 && told.count < maxTold {
			untold.fall.tells[place]--
			told.add(untold)
		}
		return !untold.fall.untold()
	})
	return told.falls
}

// refresh has the facts of some requests told again, in turn; mutex is held.
func (quarantiner *Quarantiner) refresh(now time.Time) {
	var grave []definer.RequestIdentity
	for identity, known := range quarantiner.suspects {
		late := len(known.falls) >= refreshFalls && now.Sub(known.changedAt) < refreshFor
		if known.held || late {
			grave = append(grave, identity)
		}
	}
	slices.Sort(grave)
	next, _ := slices.BinarySearch(grave, quarantiner.refreshedUpTo+"\x00")
	for count := range min(refreshMost, len(grave)) {
		identity := grave[(next+count)%len(grave)]
		quarantiner.refreshedUpTo = identity
		for _, fall := range quarantiner.suspects[identity].falls {
			quarantiner.queue(identity, fall, quarantiner.refreshTimes)
		}
	}
}

// told gathers the facts of a report, those of one end together.
type told struct {
	now   time.Time
	falls []messenger.UpstreamFall
	// places holds the place in falls of each end.
	places map[endKey]int
	count  int
}

// endKey names an end among those that a report tells.
type endKey struct {
	start definer.UpstreamStart
	at    time.Time
}

func newTold(now time.Time) *told { return &told{now: now, places: make(map[endKey]int)} }

// add takes in a fact.
func (told *told) add(untold untold) {
	key := endKey{untold.fall.start, untold.fall.at}
	place, ok := told.places[key]
	if !ok {
		place = len(told.falls)
		told.places[key] = place
		told.falls = append(told.falls, messenger.UpstreamFall{
			Upstream: key.start.Upstream, Incarnation: key.start.Incarnation, Age: told.now.Sub(key.at),
		})
	}
	end := &told.falls[place]
	if untold.fall.cleared {
		end.Cleared = append(end.Cleared, untold.identity)
	} else {
		end.Suspects = append(end.Suspects, untold.identity)
	}
	told.count++
}

// Learn takes in the facts of a peer's report. What cannot be true is passed over: a peer
// may be of another version, or wrong.
func (quarantiner *Quarantiner) Learn(now time.Time, from definer.VM, scope messenger.LoadScope, falls []messenger.UpstreamFall) {
	if len(falls) == 0 {
		return
	}
	quarantiner.mutex.Lock()
	defer quarantiner.mutex.Unlock()
	learner := learner{quarantiner: quarantiner, now: now, from: from, below: scope == messenger.MemberLoad, left: maxLearnt}
	for index := range falls {
		learner.learn(&falls[index])
	}
	if learner.news {
		quarantiner.judge(now)
	}
}

// learner takes in the facts of one report; the quarantiner's mutex is held.
type learner struct {
	quarantiner *Quarantiner
	now         time.Time
	from        definer.VM
	// below is set for what members report.
	below bool
	// left is how many facts may still be taken in.
	left int
	news bool
}

func (learner *learner) learn(end *messenger.UpstreamFall) {
	possible := end.Upstream != "" && len(end.Upstream) <= maxName && end.Age >= 0 && end.Age <= fallLife
	if !possible {
		return
	}
	for _, identity := range end.Suspects {
		learner.note(end, identity, false)
	}
	for _, identity := range end.Cleared {
		learner.note(end, identity, true)
	}
}

func (learner *learner) note(end *messenger.UpstreamFall, identity definer.RequestIdentity, cleared bool) {
	if len(identity) != definer.RequestIdentityBytes || learner.left == 0 {
		return
	}
	learner.left--
	found := &fall{start: end.Start(), at: learner.now.Add(-end.Age), cleared: cleared, toldBy: learner.from}
	if learner.quarantiner.note(learner.now, identity, found, learner.below) {
		learner.news = true
	}
}
