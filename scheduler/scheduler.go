package scheduler

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// defaultMaxQueue bounds the asks that wait in one shard.
	defaultMaxQueue = 20_000
	// sweepInterval is the number of Expire calls between two removals of idle
	// accounts.
	sweepInterval = 256
)

// Scheduler holds the queue and the granted slots of one shard. It is not safe for
// concurrent use.
type Scheduler struct {
	// shard is the shard that this scheduler serves.
	shard messenger.Shard
	// owner is the member that runs this scheduler; grant ids contain it to be
	// unique.
	owner     definer.Member
	limiter   Limiter
	estimator Estimator
	features  features
	// pool holds the protected share, the kind and the prefix affinity of the shard;
	// nil means that no pool is set.
	pool *definer.Pool
	// affinity is the highest load, relative to the mean, at which an upstream still
	// gets its prefixes; 0 disables prefix affinity.
	affinity float64
	// affinityForced makes affinity override the setting of the pool.
	affinityForced bool
	// maxQueue bounds the number of waiting asks.
	maxQueue int

	// upstreams is sorted by name. An upstream that left the configuration stays in
	// it until its grants have ended.
	upstreams []*upstream
	// byName indexes upstreams by name.
	byName map[definer.UpstreamName]*upstream
	// classes holds each class that was configured or asked for.
	classes map[definer.ClassName]*class
	// classesByTier holds the values of classes, sorted by tier and then by name.
	classesByTier []*class
	tiers         map[int]*tier
	// lanes holds at most one lane for each pair of class and upstream set.
	lanes []*lane
	// upstreamSets holds the upstream set of each lane by its key.
	upstreamSets map[string]*upstreamSet
	// allUpstreams is the set of the configured upstreams that are not leaving.
	allUpstreams *upstreamSet
	// queued holds the waiting asks, at most one for each request.
	queued map[definer.RequestID]*queuedAsk
	// byExpiry orders the asks in queued by the time at which they are refused.
	byExpiry heap[*queuedAsk]
	// grants holds every slot in use exactly once.
	grants map[definer.GrantID]*grant
	// grantsByRequest indexes grants by request.
	grantsByRequest map[definer.RequestID][]*grant
	// pending holds decisions made in calls that return no decisions; the next call
	// that does returns them.
	pending []Decision

	// issued counts the grants made for waiting asks and numbers their ids.
	// lastSequence is the last sequence number given to an ask, a grant or a resumed
	// grant.
	issued       uint64
	lastSequence uint64
	// rotation is the position of the upstream that got the last grant.
	rotation    int
	expireCalls int
	meter       meter
	// unprotectedRoom and protectedRoom are bit masks, filled by findRoom, of the
	// upstreams that have room for unprotected and for protected classes.
	unprotectedRoom []uint64
	protectedRoom   []uint64
}

// New returns an empty scheduler for one shard.
func New(shard messenger.Shard, owner definer.Member, options ...Option) *Scheduler {
	scheduler := &Scheduler{
		shard:           shard,
		owner:           owner,
		limiter:         fixedLimiter{},
		estimator:       fixedEstimator{},
		features:        ServiceLevels.features(),
		maxQueue:        defaultMaxQueue,
		byName:          make(map[definer.UpstreamName]*upstream),
		classes:         make(map[definer.ClassName]*class),
		tiers:           make(map[int]*tier),
		upstreamSets:    make(map[string]*upstreamSet),
		allUpstreams:    newUpstreamSet("", nil, 0),
		queued:          make(map[definer.RequestID]*queuedAsk),
		grants:          make(map[definer.GrantID]*grant),
		grantsByRequest: make(map[definer.RequestID][]*grant),
	}
	for _, option := range options {
		option(scheduler)
	}
	return scheduler
}

// Ask queues an ask and returns the decisions that are now possible. A repeated ask,
// with the request and attempt of an earlier one, keeps its place while it waits and
// returns its grant while it holds one.
func (scheduler *Scheduler) Ask(now time.Time, ask Ask) []Decision {
	for _, held := range scheduler.grantsByRequest[ask.Request] {
		if held.ask.Attempt == ask.Attempt {
			return []Decision{grantDecision(held)}
		}
	}
	if queuedAsk, ok := scheduler.queued[ask.Request]; ok {
		if queuedAsk.ask.Attempt == ask.Attempt && queuedAsk.ask.Entry == ask.Entry {
			return scheduler.decide(now)
		}
		scheduler.dequeue(queuedAsk)
	}
	queuedAsk, ok := scheduler.enqueue(now, ask)
	if !ok {
		return []Decision{{Ask: ask, Reason: messenger.NoUpstream, RetryAfter: minRetryAfter}}
	}
	decisions := scheduler.decide(now)
	return append(decisions, scheduler.admit(now, queuedAsk)...)
}

// Release frees the slot of a grant, records what was observed of the attempt, and
// returns the decisions that are now possible. It ignores an unknown grant.
func (scheduler *Scheduler) Release(now time.Time, id definer.GrantID, observation messenger.Observation) []Decision {
	held, ok := scheduler.grants[id]
	if !ok {
		return nil
	}
	running := held.upstream.active
	scheduler.free(now, held, observation)
	if held.upstream.present && observation != (messenger.Observation{}) {
		scheduler.observe(now, held, running, observation)
	}
	return scheduler.decide(now)
}

func (scheduler *Scheduler) observe(now time.Time, ended *grant, running int, observation messenger.Observation) {
	if limiter, ok := scheduler.limiter.(ConcurrencyLimiter); ok {
		limiter.ObserveConcurrency(ended.upstream.definition, running)
	}
	ended.upstream.breaker.observe(now, observation.Failed)
	ended.upstream.backOff(now, observation.Backoff, observation.Failed)
	scheduler.limiter.Observe(now, ended.upstream.definition, ended.class.definition, observation)
	scheduler.refreshLimits(now)
}

// Withdraw removes a request's waiting ask and frees its grants, and returns the
// decisions that are now possible.
func (scheduler *Scheduler) Withdraw(now time.Time, request definer.RequestID) []Decision {
	if queuedAsk, ok := scheduler.queued[request]; ok {
		scheduler.dequeue(queuedAsk)
	}
	scheduler.freeAll(now, scheduler.grantsByRequest[request])
	return scheduler.decide(now)
}

// Adopt records a grant that an entry VM reports to hold after a change of owner. The
// upstream's limit may be exceeded by it. The decisions that become possible are
// returned by the next call that returns decisions.
func (scheduler *Scheduler) Adopt(now time.Time, entry definer.Member, class *definer.Class, held messenger.HeldGrant) {
	if _, known := scheduler.grants[held.Grant]; known {
		return
	}
	if class == nil {
		class = &definer.Class{}
	}
	ask := Ask{
		Request:      held.Request,
		Attempt:      held.Attempt,
		Entry:        entry,
		Class:        class,
		Organisation: held.Organisation,
		Weight:       1,
		Arrival:      now.Add(-held.Age),
	}
	upstream, ok := scheduler.byName[held.Upstream]
	if !ok {
		upstream = scheduler.findOrAddUpstream(held.Upstream)
	}
	// Refuse expired asks before the grant is recorded, so that no protected ask
	// appears to be refused in favour of the grant.
	scheduler.pending = append(scheduler.pending, scheduler.refuseOverdue(now)...)
	cost := scheduler.remainder(ask, held.Tokens)
	scheduler.addGrant(now, now.Add(-held.Age), held.Grant, ask, scheduler.class(class), upstream, cost).adopted = true
	scheduler.pending = scheduler.decide(now)
}

// RemoveMember removes all asks and grants of a member that has left or failed, and returns
// the decisions that are now possible.
func (scheduler *Scheduler) RemoveMember(now time.Time, member definer.Member) []Decision {
	for _, queuedAsk := range scheduler.queuedInOrder() {
		if queuedAsk.ask.Entry == member {
			scheduler.dequeue(queuedAsk)
		}
	}
	scheduler.freeAll(now, scheduler.grantsOf(member))
	return scheduler.decide(now)
}

// Expire refuses the asks that have waited too long or are expected to, and returns
// all decisions that are now possible. It must be called several times a second.
func (scheduler *Scheduler) Expire(now time.Time) []Decision {
	scheduler.expireCalls++
	if scheduler.expireCalls%sweepInterval == 0 {
		for _, tier := range scheduler.tiers {
			tier.sweep()
		}
	}
	scheduler.refreshLimits(now)
	decisions := scheduler.decide(now)
	return append(decisions, scheduler.shed(now)...)
}

// Waiting returns the number of asks in the queue.
func (scheduler *Scheduler) Waiting() int { return len(scheduler.queued) }

// Running returns the number of slots in use, paused requests included.
func (scheduler *Scheduler) Running() int { return len(scheduler.grants) }

// Paused returns the number of grants that are paused because a request of a higher
// tier took their slot.
func (scheduler *Scheduler) Paused() int {
	paused := 0
	for _, upstream := range scheduler.upstreams {
		paused += len(upstream.paused)
	}
	return paused
}

// ExpectedWait estimates how long a new ask of the class would wait. It is a lower
// bound: the wait of an organisation that has no other ask in the queue.
func (scheduler *Scheduler) ExpectedWait(now time.Time, definition *definer.Class) time.Duration {
	if !scheduler.features.admission {
		return 0
	}
	class := scheduler.class(definition)
	if scheduler.canStart(class) {
		return 0
	}
	return scheduler.estimateWait(now, class, scheduler.allUpstreams, nil)
}
