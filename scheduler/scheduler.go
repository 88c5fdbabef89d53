package scheduler

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// longestQueue bounds the asks that wait in one shard.
	longestQueue = 20_000
	// sweepEvery is the number of expiries between two looks for idle accounts.
	sweepEvery = 256
)

// Scheduler keeps the queue and the slot table of one shard.
type Scheduler struct {
	// shard is the shard that this scheduler serves.
	shard messenger.Shard
	// owner is the member that runs this scheduler; it makes grant ids unique.
	owner     definer.Member
	limiter   Limiter
	estimator Estimator
	traits    traits
	// pool holds the shard's shares; nil means none is set.
	pool *definer.Pool
	// affinity is the load that an upstream may have, relative to the mean,
	// and still attract its prefixes; 0 turns prefix affinity off.
	affinity float64
	// affinityForced keeps affinity on whatever the pool says.
	affinityForced bool
	// longest bounds the number of waiting asks.
	longest int

	// table holds the upstreams in order of name, gone ones while they have
	// grants.
	table []*slots
	// byName holds the same upstreams.
	byName map[definer.UpstreamName]*slots
	// classes holds each class that was configured or seen.
	classes map[definer.ClassName]*class
	// order holds the same classes by tier, then by name.
	order []*class
	tiers map[int]*tier
	// lanes holds each pair of class and shape at most once.
	lanes []*lane
	// shapes holds each set of upstreams that some lane waits for.
	shapes map[string]*shape
	// whole is the shape of all present upstreams.
	whole *shape
	// waiting holds each request at most once.
	waiting map[definer.RequestID]*waiting
	// due holds the same asks by the instant of their refusal.
	due heap[*waiting]
	// grants holds every slot in use; a slot is in it exactly once.
	grants map[definer.GrantID]*grant
	// held holds the same grants by request.
	held map[definer.RequestID][]*grant
	// pending are decisions made by calls that return none.
	pending []Decision

	// issued counts the grants ever made, arrived the asks.
	issued  uint64
	arrived uint64
	// rotation is the position of the upstream that was granted last.
	rotation int
	expiries int
	meter    meter
	// ordinaryRoom and protectedRoom are work space: the upstreams with room.
	ordinaryRoom  []uint64
	protectedRoom []uint64
}

// New returns an empty scheduler for one shard.
func New(shard messenger.Shard, owner definer.Member, options ...Option) *Scheduler {
	scheduler := &Scheduler{
		shard:     shard,
		owner:     owner,
		limiter:   fixedLimiter{},
		estimator: fixedEstimator{},
		traits:    ServiceLevels.traits(),
		longest:   longestQueue,
		byName:    make(map[definer.UpstreamName]*slots),
		classes:   make(map[definer.ClassName]*class),
		tiers:     make(map[int]*tier),
		shapes:    make(map[string]*shape),
		whole:     newShape("", nil, 0),
		waiting:   make(map[definer.RequestID]*waiting),
		grants:    make(map[definer.GrantID]*grant),
		held:      make(map[definer.RequestID][]*grant),
	}
	for _, option := range options {
		option(scheduler)
	}
	return scheduler
}

// Ask takes in an ask and returns what can now be decided. The same ask again
// changes nothing while it waits, and gets the same grant while it holds one.
func (scheduler *Scheduler) Ask(now time.Time, ask Ask) []Decision {
	for _, held := range scheduler.held[ask.Request] {
		if held.ask.Attempt == ask.Attempt {
			return []Decision{granted(held)}
		}
	}
	if entry, ok := scheduler.waiting[ask.Request]; ok {
		if entry.ask.Attempt == ask.Attempt && entry.ask.Entry == ask.Entry {
			return scheduler.decide(now)
		}
		scheduler.drop(entry)
	}
	entry, ok := scheduler.enqueue(now, ask)
	if !ok {
		return []Decision{{Ask: ask, Reason: messenger.NoUpstream, RetryAfter: leastRetry}}
	}
	decisions := scheduler.decide(now)
	return append(decisions, scheduler.admit(now, entry)...)
}

// Release gives a slot back, takes in what was observed, and returns what can
// now be decided. An unknown grant changes nothing.
func (scheduler *Scheduler) Release(now time.Time, id definer.GrantID, observation messenger.Observation) []Decision {
	held, ok := scheduler.grants[id]
	if !ok {
		return nil
	}
	running := held.slots.active
	scheduler.free(now, held, observation)
	if held.slots.present && observation != (messenger.Observation{}) {
		scheduler.observe(now, held, running, observation)
	}
	return scheduler.decide(now)
}

func (scheduler *Scheduler) observe(now time.Time, ended *grant, running int, observation messenger.Observation) {
	if limiter, ok := scheduler.limiter.(UseLimiter); ok {
		limiter.Use(ended.slots.upstream, running)
	}
	ended.slots.breaker.observe(now, observation.Failed)
	ended.slots.backOff(now, observation.Backoff, observation.Failed)
	scheduler.limiter.Observe(now, ended.slots.upstream, ended.class.definition, observation)
	scheduler.refresh(now)
}

// Withdraw takes an ask back, waiting or granted, and returns what can now be
// decided.
func (scheduler *Scheduler) Withdraw(now time.Time, request definer.RequestID) []Decision {
	if entry, ok := scheduler.waiting[request]; ok {
		scheduler.drop(entry)
	}
	scheduler.freeAll(now, scheduler.held[request])
	return scheduler.decide(now)
}

// Adopt takes in the grants that an entry VM says it holds, after a change of
// owner. It may exceed an upstream's limit; what it lets be decided is returned
// by the next call that returns decisions.
func (scheduler *Scheduler) Adopt(now time.Time, entry definer.Member, class *definer.Class, held messenger.HeldGrant) {
	if _, known := scheduler.grants[held.Grant]; known {
		return
	}
	if class == nil {
		class = &definer.Class{}
	}
	ask := Ask{
		Request:      held.Request,
		Entry:        entry,
		Class:        class,
		Organisation: held.Organisation,
		Weight:       1,
		Arrival:      now.Add(-held.Age),
	}
	slots, ok := scheduler.byName[held.Upstream]
	if !ok {
		slots = scheduler.addGone(held.Upstream)
	}
	// What is due is refused before the grant is known, so that no protected ask
	// seems refused in its favour.
	scheduler.pending = append(scheduler.pending, scheduler.overdue(now)...)
	cost := scheduler.remainder(ask, held.Tokens)
	scheduler.take(now, now.Add(-held.Age), held.Grant, ask, scheduler.class(class), slots, cost).adopted = true
	scheduler.pending = scheduler.decide(now)
}

// Forget drops all asks and grants of a member that is gone and returns what
// can now be decided.
func (scheduler *Scheduler) Forget(now time.Time, member definer.Member) []Decision {
	for _, entry := range scheduler.entries() {
		if entry.ask.Entry == member {
			scheduler.drop(entry)
		}
	}
	scheduler.freeAll(now, scheduler.heldBy(member))
	return scheduler.decide(now)
}

// Expire refuses what has waited too long and what would, and returns what can
// now be decided. It is to be called several times a second.
func (scheduler *Scheduler) Expire(now time.Time) []Decision {
	scheduler.expiries++
	if scheduler.expiries%sweepEvery == 0 {
		for _, tier := range scheduler.tiers {
			tier.sweep()
		}
	}
	scheduler.refresh(now)
	decisions := scheduler.decide(now)
	return append(decisions, scheduler.shed(now)...)
}

// Waiting returns the number of asks in the queue.
func (scheduler *Scheduler) Waiting() int { return len(scheduler.waiting) }

// Running returns the number of slots in use, paused requests included.
func (scheduler *Scheduler) Running() int { return len(scheduler.grants) }

// Paused returns the number of grants that stand above an upstream's slots
// because a higher tier took theirs.
func (scheduler *Scheduler) Paused() int {
	paused := 0
	for _, slots := range scheduler.table {
		paused += len(slots.paused)
	}
	return paused
}

// ExpectedWait returns how long a new ask of the class would wait at least: the
// wait of an organisation that has nothing else in the queue.
func (scheduler *Scheduler) ExpectedWait(now time.Time, definition *definer.Class) time.Duration {
	if !scheduler.traits.admission {
		return 0
	}
	class := scheduler.class(definition)
	if scheduler.startable(class) {
		return 0
	}
	return scheduler.expected(now, class, scheduler.whole, nil)
}
