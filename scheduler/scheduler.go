package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Limiter gives the number of slots of an upstream and learns from what is
// observed of it.
type Limiter interface {
	// Limit returns how many requests the upstream may run at once.
	Limit(upstream *definer.Upstream) int
	// Observe takes in what one attempt showed.
	Observe(now time.Time, upstream *definer.Upstream, class *definer.Class, observation messenger.Observation)
}

// Scheduler keeps the queue and the slot table of one shard.
type Scheduler struct {
	// shard is the shard that this scheduler serves.
	shard messenger.Shard
	// owner is the member that runs this scheduler; it makes grant ids unique.
	owner   definer.Member
	limiter Limiter
	// upstreams are the shard's upstreams by name.
	upstreams map[definer.UpstreamName]*definer.Upstream
	// queue holds the waiting asks; each request stands in it at most once.
	queue []Ask
	// grants holds every slot in use; a slot is in it exactly once.
	grants map[definer.GrantID]grant
	// issued counts the grants ever made.
	issued uint64
}

// grant is one slot in use.
type grant struct {
	ask      Ask
	upstream definer.UpstreamName
	since    time.Time
}

// Option changes one setting of a Scheduler.
type Option func(*Scheduler)

// WithLimiter sets where the number of slots comes from.
func WithLimiter(limiter Limiter) Option {
	return func(scheduler *Scheduler) { scheduler.limiter = limiter }
}

// fixedLimiter gives each upstream the slots of its configuration.
type fixedLimiter struct{}

// Limit returns the configured slots.
func (fixedLimiter) Limit(upstream *definer.Upstream) int { return upstream.Slots() }

// Observe learns nothing.
func (fixedLimiter) Observe(time.Time, *definer.Upstream, *definer.Class, messenger.Observation) {}

// New returns an empty scheduler for one shard.
func New(shard messenger.Shard, owner definer.Member, options ...Option) *Scheduler {
	scheduler := &Scheduler{
		shard:     shard,
		owner:     owner,
		limiter:   fixedLimiter{},
		upstreams: make(map[definer.UpstreamName]*definer.Upstream),
		grants:    make(map[definer.GrantID]grant),
	}
	for _, option := range options {
		option(scheduler)
	}
	return scheduler
}

// Configure sets the shard's upstreams and returns what can now be decided.
// Running grants of upstreams that are gone stay until they are released.
func (scheduler *Scheduler) Configure(now time.Time, upstreams []*definer.Upstream, _ []*definer.Class) []Decision {
	clear(scheduler.upstreams)
	for _, upstream := range upstreams {
		scheduler.upstreams[upstream.Name()] = upstream
	}
	return scheduler.decide(now)
}

// Ask takes in an ask and returns what can now be decided. The same ask again
// changes nothing while it waits, and gets the same grant while it holds one.
func (scheduler *Scheduler) Ask(now time.Time, ask Ask) []Decision {
	for id, grant := range scheduler.grants {
		if grant.ask.Request == ask.Request && grant.ask.Attempt == ask.Attempt {
			return []Decision{granted(grant.ask, id, grant.upstream)}
		}
	}
	scheduler.remove(ask.Request)
	if !scheduler.served(ask) {
		return []Decision{{Ask: ask, Reason: messenger.NoUpstream, RetryAfter: time.Second}}
	}
	scheduler.queue = append(scheduler.queue, ask)
	return scheduler.decide(now)
}

// Release gives a slot back, takes in what was observed, and returns what can
// now be decided. An unknown grant changes nothing.
func (scheduler *Scheduler) Release(now time.Time, id definer.GrantID, observation messenger.Observation) []Decision {
	grant, ok := scheduler.grants[id]
	if !ok {
		return nil
	}
	delete(scheduler.grants, id)
	if upstream, known := scheduler.upstreams[grant.upstream]; known {
		scheduler.limiter.Observe(now, upstream, grant.ask.Class, observation)
	}
	return scheduler.decide(now)
}

// Withdraw takes an ask back, waiting or granted, and returns what can now be
// decided.
func (scheduler *Scheduler) Withdraw(now time.Time, request definer.RequestID) []Decision {
	scheduler.remove(request)
	for id, grant := range scheduler.grants {
		if grant.ask.Request == request {
			delete(scheduler.grants, id)
		}
	}
	return scheduler.decide(now)
}

// Adopt takes in the grants that an entry VM says it holds, after a change of
// owner.
func (scheduler *Scheduler) Adopt(now time.Time, entry definer.Member, class *definer.Class, held messenger.HeldGrant) {
	scheduler.grants[held.Grant] = grant{
		ask: Ask{
			Request:      held.Request,
			Entry:        entry,
			Class:        class,
			Organisation: held.Organisation,
			Weight:       1,
			Arrival:      now.Add(-held.Age),
		},
		upstream: held.Upstream,
		since:    now.Add(-held.Age),
	}
}

// Forget drops all asks and grants of a member that is gone and returns what
// can now be decided.
func (scheduler *Scheduler) Forget(now time.Time, member definer.Member) []Decision {
	scheduler.queue = slices.DeleteFunc(scheduler.queue, func(ask Ask) bool { return ask.Entry == member })
	for id, grant := range scheduler.grants {
		if grant.ask.Entry == member {
			delete(scheduler.grants, id)
		}
	}
	return scheduler.decide(now)
}

// Expire refuses what has waited too long and returns what can now be decided.
func (scheduler *Scheduler) Expire(now time.Time) []Decision {
	var decisions []Decision
	scheduler.queue = slices.DeleteFunc(scheduler.queue, func(ask Ask) bool {
		late := now.Sub(ask.Arrival) > ask.Class.LongestWait()
		if late {
			decisions = append(decisions, Decision{Ask: ask, Reason: messenger.WaitExceeded, RetryAfter: time.Second})
		}
		return late
	})
	return append(decisions, scheduler.decide(now)...)
}

// Waiting returns the number of asks in the queue.
func (scheduler *Scheduler) Waiting() int { return len(scheduler.queue) }

// Running returns the number of slots in use.
func (scheduler *Scheduler) Running() int { return len(scheduler.grants) }

// ExpectedWait returns how long a new ask of the class would wait.
func (scheduler *Scheduler) ExpectedWait(_ time.Time, _ *definer.Class) time.Duration { return 0 }

func (scheduler *Scheduler) remove(request definer.RequestID) {
	scheduler.queue = slices.DeleteFunc(scheduler.queue, func(ask Ask) bool { return ask.Request == request })
}

func (scheduler *Scheduler) served(ask Ask) bool {
	for _, upstream := range scheduler.upstreams {
		if fits(upstream, ask) {
			return true
		}
	}
	return false
}

func fits(upstream *definer.Upstream, ask Ask) bool {
	return !upstream.Leaving() && upstream.Serves(ask.Model) && !slices.Contains(ask.Exclude, upstream.Name())
}

func (scheduler *Scheduler) decide(now time.Time) []Decision {
	slices.SortStableFunc(scheduler.queue, func(a, b Ask) int {
		if order := cmp.Compare(a.Class.Tier(), b.Class.Tier()); order != 0 {
			return order
		}
		return a.Arrival.Compare(b.Arrival)
	})
	var decisions []Decision
	scheduler.queue = slices.DeleteFunc(scheduler.queue, func(ask Ask) bool {
		upstream, ok := scheduler.free(ask)
		if !ok {
			return false
		}
		decisions = append(decisions, scheduler.grant(now, ask, upstream))
		return true
	})
	return decisions
}

func (scheduler *Scheduler) free(ask Ask) (*definer.Upstream, bool) {
	used := make(map[definer.UpstreamName]int)
	for _, grant := range scheduler.grants {
		used[grant.upstream]++
	}
	var best *definer.Upstream
	for _, upstream := range scheduler.upstreams {
		if !fits(upstream, ask) || used[upstream.Name()] >= scheduler.limiter.Limit(upstream) {
			continue
		}
		if best == nil || better(upstream, best, used) {
			best = upstream
		}
	}
	return best, best != nil
}

func better(a, b *definer.Upstream, used map[definer.UpstreamName]int) bool {
	if used[a.Name()] != used[b.Name()] {
		return used[a.Name()] < used[b.Name()]
	}
	return a.Name() < b.Name()
}

func (scheduler *Scheduler) grant(now time.Time, ask Ask, upstream *definer.Upstream) Decision {
	scheduler.issued++
	id := definer.GrantID(fmt.Sprintf("%s.%d.%s.%d.%d", scheduler.owner.VM, scheduler.owner.Incarnation, scheduler.shard.Pool, scheduler.shard.Index, scheduler.issued))
	scheduler.grants[id] = grant{ask: ask, upstream: upstream.Name(), since: now}
	return granted(ask, id, upstream.Name())
}

func granted(ask Ask, id definer.GrantID, upstream definer.UpstreamName) Decision {
	return Decision{Ask: ask, Grant: id, Upstream: upstream, Priority: ask.Class.Tier(), Preemptible: ask.Class.Preemptible()}
}
