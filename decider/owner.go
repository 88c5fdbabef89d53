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
	openTimer   = "open"
	// rebuildWindow is how long a new owner only listens: entry VMs report the
	// grants they hold and ask anew.
	rebuildWindow = 300 * time.Millisecond
	// earlyFor is how long a report is kept that came before its shard.
	earlyFor = 2 * time.Second
)

// owner keeps the schedulers of the shards that this node owns.
type owner struct {
	*core
	// shards holds each shard that this node owns now.
	shards map[messenger.Shard]*ownedShard
	// early holds the last report of each entry VM on shards not owned yet.
	early map[messenger.Shard]map[definer.VM]earlyReport
	// emergency is what this node grants in the place of silent owners.
	emergency *emergency
	leavers   *leavers
	limits    *limits
	orphans   *orphans
	// pauses is the roster's count when the shards were taken up.
	pauses int
	// window is how long a new owner listens; 0 is not at all.
	window time.Duration
	began  time.Time
	// lengths learns how long answers are; nil before the first shard.
	lengths *estimator.Estimator
}

// earlyReport is a report that came before this node knew that it owns.
type earlyReport struct {
	from   definer.Member
	report *messenger.GrantReport
	at     time.Time
}

func newOwner(core *core) *owner {
	return &owner{
		core:      core,
		shards:    make(map[messenger.Shard]*ownedShard),
		early:     make(map[messenger.Shard]map[definer.VM]earlyReport),
		emergency: newEmergency(core),
		leavers:   newLeavers(core),
		limits:    newLimits(core),
		orphans:   newOrphans(core),
		window:    rebuildWindow,
	}
}

func (owner *owner) priority() int { return ownerPriority }

func (owner *owner) handle(event Event) {
	owner.fence()
	switch event := event.(type) {
	case started:
		owner.began = owner.now
		owner.after(ownerPart, expiryTimer, expiryEvery)
	case configurationChanged:
		owner.rebuild()
	case membersChanged:
		owner.rebuild()
		owner.forget(event.gone)
	case UpstreamLeaving:
		owner.leavers.mark(event.Name)
		owner.rebuild()
	case UpstreamAnnounced:
		owner.limits.hear(event)
		owner.limit(event.Upstream)
		if event.Leaving {
			owner.leavers.mark(event.Upstream)
			owner.rebuild()
		}
	case TimerFired:
		if event.Key.Part == ownerPart {
			owner.fired(event.Key.ID)
		}
	case MessageReceived:
		owner.receive(event)
	}
}

// fence drops all that is known once this process was not running for a while:
// someone else may have owned its shards since. The shards that are still this
// node's are taken up anew.
func (owner *owner) fence() {
	if owner.pauses == owner.roster.pauses {
		return
	}
	owner.pauses = owner.roster.pauses
	clear(owner.shards)
	owner.rebuild()
}

func (owner *owner) fired(id string) {
	if id == openTimer {
		owner.open()
		return
	}
	owner.expire()
}

func (owner *owner) receive(event MessageReceived) {
	switch message := event.Message.(type) {
	case *messenger.GrantAsk:
		owner.ask(event.From, message)
	case *messenger.GrantRelease:
		owner.emergency.release(message)
		if owned, ok := owner.shards[message.Shard]; ok {
			owned.ledger.remove(owner.now, message.Grant)
			owner.tell(owned, owned.scheduler.Release(owner.now, message.Grant, message.Observation))
		}
	case *messenger.GrantWithdraw:
		if owned, ok := owner.shards[message.Shard]; ok {
			owned.withdraw(owner.now, message.Request)
			owner.tell(owned, owned.scheduler.Withdraw(owner.now, message.Request))
		}
	case *messenger.GrantReport:
		owner.report(event.From, message)
	case *messenger.UpstreamNotice:
		owner.leavers.mark(message.Upstream)
		owner.rebuild()
	case *messenger.LimitNotice:
		owner.limits.learn(event.From.VM, message)
		owner.limit(message.Announcement.Upstream)
	}
}

// limit has the shards of an upstream keep to its limit, here or at their owners.
func (owner *owner) limit(name definer.UpstreamName) {
	for _, shard := range sortedShards(owner.shards) {
		owned := owner.shards[shard]
		owner.tell(owned, owned.scheduler.SetLimit(owner.now, name, owner.limits.limited[name]))
	}
	owner.limits.tellOwners(owner.leavers.shardsWith)
}

// rebuild takes up the shards that are now this node's and drops the others.
func (owner *owner) rebuild() {
	if owner.configuration == nil {
		return
	}
	owned := make(map[messenger.Shard]bool)
	for _, pool := range owner.configuration.Pools() {
		for _, shard := range shardsOf(pool, owner.dataCentre) {
			first, ok := owner.roster.owner(shard)
			if !ok || first != owner.self.VM {
				continue
			}
			owned[shard] = true
			owner.own(shard, pool)
		}
	}
	for _, shard := range sortedShards(owner.shards) {
		if !owned[shard] {
			delete(owner.shards, shard)
			owner.log(EventShardLost, "pool", shard.Pool, "index", shard.Index)
		}
	}
	owner.leavers.tellOwners()
	owner.limits.tellOwners(owner.leavers.shardsWith)
}

// own takes up a shard, or what has changed of one that is owned already.
func (owner *owner) own(shard messenger.Shard, pool *definer.Pool) {
	owned, ok := owner.shards[shard]
	if !ok {
		owned = owner.newOwnedShard(shard, pool)
		owner.shards[shard] = owned
		owner.log(EventShardOwned, "pool", shard.Pool, "index", shard.Index)
		if owner.successor() {
			owned.opens = owner.now.Add(owner.window)
			owner.after(ownerPart, openTimer, owner.window)
		}
	}
	upstreams := upstreamsOf(pool, shard)
	owned.retain(upstreams)
	owned.scheduler.Adjust(pool)
	owner.tell(owned, owned.scheduler.Configure(owner.now, owner.leavers.serving(upstreams), owner.configuration.Classes()))
	for _, name := range owner.limits.names() {
		owner.tell(owned, owned.scheduler.SetLimit(owner.now, name, owner.limits.limited[name]))
	}
	for _, vm := range sortedKeys(owner.early[shard]) {
		early := owner.early[shard][vm]
		owner.adopt(owned, early.from, early.report)
	}
	delete(owner.early, shard)
}

// successor tells whether another member may have owned a shard before.
func (owner *owner) successor() bool {
	if owner.window == 0 {
		return false
	}
	return !owner.roster.alone() || owner.roster.expecting() && owner.now.Sub(owner.began) < owner.window
}

// open begins to grant at the shards whose window is over. The asks that came
// meanwhile go in by tier and arrival.
func (owner *owner) open() {
	for _, shard := range sortedShards(owner.shards) {
		owned := owner.shards[shard]
		if owned.opens.IsZero() || owner.now.Before(owned.opens) {
			continue
		}
		owned.opens = time.Time{}
		pending := owned.takePending()
		owner.log(EventShardOpened, "pool", shard.Pool, "index", shard.Index, "adopted", owned.scheduler.Running(), "waiting", len(pending))
		for _, ask := range pending {
			owner.submit(owned, ask)
		}
	}
}

// forget drops what members that are gone asked for and held.
func (owner *owner) forget(gone []definer.Member) {
	owner.emergency.forget(gone)
	for _, shard := range sortedShards(owner.shards) {
		owned := owner.shards[shard]
		for _, member := range gone {
			for _, grant := range owned.ledger.of(member) {
				owner.orphans.add(owned.ledger.issues[grant], shard)
				owned.ledger.remove(owner.now, grant)
				owner.log(EventGrantReclaimed, "grant", grant, "vm", member.VM)
			}
			owned.forget(member)
			owner.tell(owned, owned.scheduler.Forget(owner.now, member))
		}
	}
}

func (owner *owner) expire() {
	owner.leavers.refresh()
	owner.limits.refresh(owner.leavers.shardsWith)
	for _, shard := range sortedShards(owner.shards) {
		owned := owner.shards[shard]
		owned.ledger.prune(owner.now)
		owner.reclaim(owned, owned.ledger.lapsed(owner.now))
		owner.tell(owned, owned.scheduler.Expire(owner.now))
	}
	for shard, reports := range owner.early {
		maps.DeleteFunc(reports, func(_ definer.VM, early earlyReport) bool { return owner.now.Sub(early.at) > earlyFor })
		if len(reports) == 0 {
			delete(owner.early, shard)
		}
	}
	owner.orphans.cancel()
	owner.after(ownerPart, expiryTimer, expiryEvery)
}

// ask takes in an ask. One for a shard that this node does not own gets no
// answer, unless it is an emergency.
func (owner *owner) ask(from definer.Member, message *messenger.GrantAsk) {
	owned, ok := owner.shards[message.Shard]
	if !ok {
		if message.Emergency {
			owner.emergency.ask(from, message, owner.leavers, owner.limits)
		}
		return
	}
	ask, ok := owner.translate(from, message)
	if !ok {
		return
	}
	if !owned.opens.IsZero() {
		owned.wait(ask)
		owner.queued(owned, ask, owned.opens.Sub(owner.now))
		return
	}
	owner.submit(owned, ask)
}

// submit hands an ask to the scheduler and tells its entry VM if it has to wait.
func (owner *owner) submit(owned *ownedShard, ask scheduler.Ask) {
	decisions := owned.scheduler.Ask(owner.now, ask)
	owner.tell(owned, decisions)
	decided := slices.ContainsFunc(decisions, func(decision scheduler.Decision) bool {
		return decision.Ask.Request == ask.Request && decision.Ask.Attempt == ask.Attempt
	})
	if !decided {
		owner.queued(owned, ask, owned.scheduler.ExpectedWait(owner.now, ask.Class))
	}
}

func (owner *owner) queued(owned *ownedShard, ask scheduler.Ask, wait time.Duration) {
	owner.send(ask.Entry.VM, &messenger.GrantAnswer{Shard: owned.shard, Request: ask.Request, Attempt: ask.Attempt, Queued: true, ExpectedWait: wait})
}

// report takes in what an entry VM says that it holds.
func (owner *owner) report(from definer.Member, report *messenger.GrantReport) {
	if owned, ok := owner.shards[report.Shard]; ok {
		owner.adopt(owned, from, report)
		return
	}
	if owner.early[report.Shard] == nil {
		owner.early[report.Shard] = make(map[definer.VM]earlyReport)
	}
	owner.early[report.Shard][from.VM] = earlyReport{from: from, report: report, at: owner.now}
}

// adopt makes the ledger and the slots agree with a report.
func (owner *owner) adopt(owned *ownedShard, from definer.Member, report *messenger.GrantReport) {
	for _, held := range report.Grants {
		owned.ledger.renew(owner.now, held.Grant)
		class, ok := owner.configuration.Class(held.Class)
		if !ok || !owned.ledger.adoptable(held.Grant) {
			continue
		}
		owned.ledger.add(held.Grant, issue{entry: from, request: held.Request, attempt: held.Attempt, upstream: held.Upstream, since: owner.now})
		owned.scheduler.Adopt(owner.now, from, class, held)
	}
	owner.reclaim(owned, owned.ledger.missing(owner.now, from, report))
}

// reclaim frees the slots of grants that nobody uses.
func (owner *owner) reclaim(owned *ownedShard, grants []definer.GrantID) {
	for _, grant := range grants {
		owner.log(EventGrantReclaimed, "grant", grant, "vm", owned.ledger.issues[grant].entry.VM)
		owned.ledger.remove(owner.now, grant)
		owner.tell(owned, owned.scheduler.Release(owner.now, grant, messenger.Observation{}))
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
func (owner *owner) tell(owned *ownedShard, decisions []scheduler.Decision) {
	for _, decision := range decisions {
		owned.note(owner.now, decision)
		owner.send(decision.Ask.Entry.VM, &messenger.GrantAnswer{
			Shard:        owned.shard,
			Request:      decision.Ask.Request,
			Attempt:      decision.Ask.Attempt,
			Grant:        decision.Grant,
			Upstream:     decision.Upstream,
			Priority:     decision.Priority,
			Preemptible:  decision.Preemptible,
			Reason:       decision.Reason,
			RetryAfter:   decision.RetryAfter,
			ExpectedWait: owned.scheduler.ExpectedWait(owner.now, decision.Ask.Class),
		})
	}
}

func sortedShards[Value any](shards map[messenger.Shard]Value) []messenger.Shard {
	return slices.SortedFunc(maps.Keys(shards), func(a, b messenger.Shard) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Index, b.Index))
	})
}
