package decider

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/estimator"
	"limpetcleat/messenger"
	"limpetcleat/scheduler"
)

const (
	ownerPart = "owner"
	// expiryEvery is how often the queues are looked through for late asks.
	expiryEvery = 100 * time.Millisecond
	expiryTimer = "expire"
)

// owner keeps the schedulers of the shards that this node owns.
type owner struct {
	*core
	// shards holds a scheduler for each shard that this node owns now.
	shards map[messenger.Shard]*scheduler.Scheduler
	// lengths learns how long answers are; nil before the first shard.
	lengths *estimator.Estimator
}

func newOwner(core *core) *owner {
	return &owner{core: core, shards: make(map[messenger.Shard]*scheduler.Scheduler)}
}

func (owner *owner) priority() int { return ownerPriority }

func (owner *owner) handle(event Event) {
	switch event := event.(type) {
	case started:
		owner.after(ownerPart, expiryTimer, expiryEvery)
	case configurationChanged:
		owner.rebuild()
	case membersChanged:
		owner.rebuild()
		owner.forget(event.gone)
	case TimerFired:
		if event.Key.Part == ownerPart {
			owner.expire()
		}
	case MessageReceived:
		owner.receive(event)
	}
}

func (owner *owner) receive(event MessageReceived) {
	switch message := event.Message.(type) {
	case *messenger.GrantAsk:
		owner.ask(event.From, message)
	case *messenger.GrantRelease:
		if held, ok := owner.shards[message.Shard]; ok {
			owner.tell(message.Shard, held.Release(owner.now, message.Grant, message.Observation))
		}
	case *messenger.GrantWithdraw:
		if held, ok := owner.shards[message.Shard]; ok {
			owner.tell(message.Shard, held.Withdraw(owner.now, message.Request))
		}
	}
}

// rebuild takes up the shards that are now this node's and drops the others.
func (owner *owner) rebuild() {
	if owner.configuration == nil {
		return
	}
	owned := make(map[messenger.Shard]bool)
	for _, pool := range owner.configuration.Pools() {
		shard := messenger.Shard{DataCentre: owner.dataCentre, Pool: pool.Name()}
		upstreams := pool.UpstreamsIn(owner.dataCentre)
		first, ok := owner.roster.owner(shard)
		if !ok || first != owner.self.VM || len(upstreams) == 0 {
			continue
		}
		owned[shard] = true
		owner.own(shard, pool, upstreams)
	}
	for _, shard := range sortedShards(owner.shards) {
		if !owned[shard] {
			delete(owner.shards, shard)
			owner.log(EventShardLost, "pool", shard.Pool, "index", shard.Index)
		}
	}
}

func (owner *owner) own(shard messenger.Shard, pool *definer.Pool, upstreams []*definer.Upstream) {
	held, ok := owner.shards[shard]
	if !ok {
		held = owner.newScheduler(shard, pool)
		owner.shards[shard] = held
		owner.log(EventShardOwned, "pool", shard.Pool, "index", shard.Index)
	}
	held.Adjust(pool)
	owner.tell(shard, held.Configure(owner.now, upstreams, owner.configuration.Classes()))
}

func (owner *owner) forget(gone []definer.Member) {
	for _, shard := range sortedShards(owner.shards) {
		for _, member := range gone {
			owner.tell(shard, owner.shards[shard].Forget(owner.now, member))
		}
	}
}

func (owner *owner) expire() {
	for _, shard := range sortedShards(owner.shards) {
		owner.tell(shard, owner.shards[shard].Expire(owner.now))
	}
	owner.after(ownerPart, expiryTimer, expiryEvery)
}

func (owner *owner) ask(from definer.Member, message *messenger.GrantAsk) {
	held, ok := owner.shards[message.Shard]
	if !ok {
		return
	}
	ask, ok := owner.translate(from, message)
	if !ok {
		return
	}
	decisions := held.Ask(owner.now, ask)
	owner.tell(message.Shard, decisions)
	decided := slices.ContainsFunc(decisions, func(decision scheduler.Decision) bool {
		return decision.Ask.Request == ask.Request && decision.Ask.Attempt == ask.Attempt
	})
	if !decided {
		wait := held.ExpectedWait(owner.now, ask.Class)
		owner.send(from.VM, &messenger.GrantAnswer{Shard: message.Shard, Request: ask.Request, Attempt: ask.Attempt, Queued: true, ExpectedWait: wait})
	}
}

// translate returns the scheduler's form of an ask, if its class still exists.
func (owner *owner) translate(from definer.Member, message *messenger.GrantAsk) (scheduler.Ask, bool) {
	class, ok := owner.configuration.Class(message.Class)
	if !ok {
		return scheduler.Ask{}, false
	}
	ask := scheduler.Ask{
		Request:      message.Request,
		Attempt:      message.Attempt,
		Entry:        from,
		Class:        class,
		Organisation: message.Organisation,
		Weight:       1,
		Model:        message.Model,
		PromptTokens: message.PromptTokens,
		OutputTokens: message.OutputTokens,
		Arrival:      owner.now.Add(-message.Age),
		Prefix:       message.Prefix,
		Exclude:      message.Exclude,
	}
	if organisation, known := owner.configuration.Organisation(message.Organisation); known {
		ask.Weight = organisation.Weight()
	}
	if message.Remaining > 0 {
		ask.Deadline = owner.now.Add(message.Remaining)
	}
	return ask, true
}

// tell sends each decision to the entry that asked.
func (owner *owner) tell(shard messenger.Shard, decisions []scheduler.Decision) {
	for _, decision := range decisions {
		owner.send(decision.Ask.Entry.VM, &messenger.GrantAnswer{
			Shard:        shard,
			Request:      decision.Ask.Request,
			Attempt:      decision.Ask.Attempt,
			Grant:        decision.Grant,
			Upstream:     decision.Upstream,
			Priority:     decision.Priority,
			Preemptible:  decision.Preemptible,
			Reason:       decision.Reason,
			RetryAfter:   decision.RetryAfter,
			ExpectedWait: owner.shards[shard].ExpectedWait(owner.now, decision.Ask.Class),
		})
	}
}

func sortedShards(shards map[messenger.Shard]*scheduler.Scheduler) []messenger.Shard {
	return slices.SortedFunc(maps.Keys(shards), func(a, b messenger.Shard) int {
		if order := cmp.Compare(a.Pool, b.Pool); order != 0 {
			return order
		}
		return cmp.Compare(a.Index, b.Index)
	})
}
