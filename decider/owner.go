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
	ownerComponent = "owner"
	// expiryInterval is how often the queues are checked for expired asks.
	expiryInterval = 100 * time.Millisecond
	expiryTimer    = "expire"
	openTimer      = "open"
	// rebuildWindow is how long a new owner only listens while entry VMs report
	// the grants that they hold and send their asks again.
	rebuildWindow = 300 * time.Millisecond
	// earlyReportLifetime is how long a report is kept that arrived before this
	// node owned its shard.
	earlyReportLifetime = 2 * time.Second
)

// owner runs the schedulers of the shards that this node owns.
type owner struct {
	*core
	// shards holds the shards that this node owns now.
	shards map[messenger.Shard]*ownedShard
	// earlyReports holds the last report of each entry VM on shards not owned
	// yet.
	earlyReports map[messenger.Shard]map[definer.VM]earlyReport
	// emergency grants in place of owners that do not answer.
	emergency *emergency
	leavers   *leavers
	limits    *limits
	orphans   *orphans
	// acknowledgements are the releases that were received and not acknowledged yet.
	acknowledgements *acknowledgements
	// pauses is the value of roster.pauses for which the shards are valid.
	pauses int
	// listenWindow is how long a new owner only listens; 0 means not at all.
	listenWindow time.Duration
	startedAt    time.Time
	// lengths estimates the lengths of answers; nil before the first shard.
	lengths *estimator.Estimator
}

// earlyReport is a report that arrived before this node knew that it owns the
// shard.
type earlyReport struct {
	from   definer.Member
	report *messenger.GrantReport
	at     time.Time
}

func newOwner(core *core) *owner {
	return &owner{
		core:         core,
		shards:       make(map[messenger.Shard]*ownedShard),
		earlyReports: make(map[messenger.Shard]map[definer.VM]earlyReport),
		emergency:    newEmergency(core),
		leavers:      newLeavers(core),
		limits:       newLimits(core),
		orphans:      newOrphans(core),

		acknowledgements: newAcknowledgements(core),
		listenWindow:     rebuildWindow,
	}
}

func (owner *owner) priority() int { return ownerPriority }

func (owner *owner) handle(event Event) {
	owner.fence()
	switch event := event.(type) {
	case started:
		owner.startedAt = owner.now
		owner.setTimer(ownerComponent, expiryTimer, expiryInterval)
	case configurationChanged:
		owner.updateShards()
	case membersChanged:
		owner.updateShards()
		owner.forgetMembers(event.gone)
	case UpstreamLeaving:
		owner.leavers.mark(event.Name)
		owner.updateShards()
	case UpstreamAnnounced:
		owner.limits.learnFromUpstream(event)
		owner.applyLimit(event.Upstream)
		if event.Leaving {
			owner.leavers.mark(event.Upstream)
			owner.updateShards()
		}
	case TimerFired:
		if event.Key.Component == ownerComponent {
			owner.handleTimer(event.Key.ID)
		}
	case MessageReceived:
		owner.handleMessage(event)
	}
}

// fence drops the state of all shards after this process was paused: another
// member may have owned them meanwhile. The shards that this node still owns
// are then rebuilt.
func (owner *owner) fence() {
	if owner.pauses == owner.roster.pauses {
		return
	}
	owner.pauses = owner.roster.pauses
	clear(owner.shards)
	owner.updateShards()
}

func (owner *owner) handleTimer(id string) {
	if id == openTimer {
		owner.open()
		return
	}
	owner.expire()
}

func (owner *owner) handleMessage(event MessageReceived) {
	switch message := event.Message.(type) {
	case *messenger.GrantAsk:
		owner.handleAsk(event.From, message)
	case *messenger.GrantRelease:
		owner.acknowledgements.add(event.From.VM, message)
		owner.emergency.release(message)
		if owned, ok := owner.shards[message.Shard]; ok {
			owned.ledger.remove(owner.now, message.Grant)
			owner.sendDecisions(owned, owned.scheduler.Release(owner.now, message.Grant, message.Observation))
		}
	case *messenger.GrantWithdraw:
		if owned, ok := owner.shards[message.Shard]; ok {
			owned.withdraw(owner.now, message.Request)
			owner.sendDecisions(owned, owned.scheduler.Withdraw(owner.now, message.Request))
		}
	case *messenger.GrantReport:
		owner.handleReport(event.From, message)
	case *messenger.UpstreamNotice:
		owner.leavers.mark(message.Upstream)
		owner.updateShards()
	case *messenger.LimitNotice:
		owner.limits.learnFromPeer(event.From.VM, message)
		owner.applyLimit(message.Announcement.Upstream)
	}
}

// applyLimit sets the limit of an upstream in the shards of this node and sends
// it to the owners of others.
func (owner *owner) applyLimit(name definer.UpstreamName) {
	for _, shard := range sortedShards(owner.shards) {
		owned := owner.shards[shard]
		owner.sendDecisions(owned, owned.scheduler.SetRateLimit(owner.now, name, owner.limits.limited[name]))
	}
	owner.limits.tellOwners(owner.leavers.shardsWith)
}

// updateShards adds the shards that this node now owns and drops the others.
func (owner *owner) updateShards() {
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
			owner.updateShard(shard, pool)
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

// updateShard adds a shard, or updates one that is already owned.
func (owner *owner) updateShard(shard messenger.Shard, pool *definer.Pool) {
	owned, ok := owner.shards[shard]
	if !ok {
		owned = owner.newOwnedShard(shard, pool)
		owner.shards[shard] = owned
		owner.log(EventShardOwned, "pool", shard.Pool, "index", shard.Index)
		if owner.mayHavePredecessor() {
			owned.opensAt = owner.now.Add(owner.listenWindow)
			owner.setTimer(ownerComponent, openTimer, owner.listenWindow)
		}
	}
	upstreams := upstreamsOf(pool, shard)
	owned.retain(upstreams)
	owned.scheduler.SetPool(pool)
	owner.sendDecisions(owned, owned.scheduler.Configure(owner.now, owner.leavers.serving(upstreams), owner.configuration.Classes()))
	for _, name := range owner.limits.names() {
		owner.sendDecisions(owned, owned.scheduler.SetRateLimit(owner.now, name, owner.limits.limited[name]))
	}
	for _, vm := range sortedKeys(owner.earlyReports[shard]) {
		early := owner.earlyReports[shard][vm]
		owner.adopt(owned, early.from, early.report)
	}
	delete(owner.earlyReports, shard)
}

// mayHavePredecessor reports whether another member may have owned a shard
// before.
func (owner *owner) mayHavePredecessor() bool {
	if owner.listenWindow == 0 {
		return false
	}
	return !owner.roster.neverMetOthers() || owner.roster.expectsOthers() && owner.now.Sub(owner.startedAt) < owner.listenWindow
}

// open starts to grant at the shards whose window is over. The asks received in
// the window are submitted by tier and then by arrival.
func (owner *owner) open() {
	for _, shard := range sortedShards(owner.shards) {
		owned := owner.shards[shard]
		if owned.opensAt.IsZero() || owner.now.Before(owned.opensAt) {
			continue
		}
		owned.opensAt = time.Time{}
		pending := owned.takePending()
		owner.log(EventShardOpened, "pool", shard.Pool, "index", shard.Index, "adopted", owned.scheduler.Running(), "waiting", len(pending))
		for _, ask := range pending {
			owner.submit(owned, ask)
		}
	}
}

// forgetMembers drops the asks and grants of members that are gone.
func (owner *owner) forgetMembers(gone []definer.Member) {
	owner.emergency.forgetMembers(gone)
	for _, shard := range sortedShards(owner.shards) {
		owned := owner.shards[shard]
		for _, member := range gone {
			for _, grant := range owned.ledger.grantsOf(member) {
				owner.orphans.add(owned.ledger.grants[grant], shard)
				owned.ledger.remove(owner.now, grant)
				owner.log(EventGrantReclaimed, "grant", grant, "vm", member.VM)
			}
			owned.forget(member)
			owner.sendDecisions(owned, owned.scheduler.RemoveMember(owner.now, member))
		}
	}
}

func (owner *owner) expire() {
	owner.acknowledgements.flush()
	owner.leavers.refresh()
	owner.limits.refresh(owner.leavers.shardsWith)
	for _, shard := range sortedShards(owner.shards) {
		owned := owner.shards[shard]
		owned.ledger.prune(owner.now)
		owner.reclaim(owned, owned.ledger.expired(owner.now))
		owner.sendDecisions(owned, owned.scheduler.Expire(owner.now))
	}
	for shard, reports := range owner.earlyReports {
		maps.DeleteFunc(reports, func(_ definer.VM, early earlyReport) bool { return owner.now.Sub(early.at) > earlyReportLifetime })
		if len(reports) == 0 {
			delete(owner.earlyReports, shard)
		}
	}
	owner.orphans.cancel()
	owner.setTimer(ownerComponent, expiryTimer, expiryInterval)
}

// handleAsk handles an ask. One for a shard that this node does not own gets no
// answer, unless it is an emergency.
func (owner *owner) handleAsk(from definer.Member, message *messenger.GrantAsk) {
	owned, ok := owner.shards[message.Shard]
	if !ok {
		if message.Emergency {
			owner.emergency.handleAsk(from, message, owner.leavers, owner.limits)
		}
		return
	}
	ask, ok := owner.translate(from, message)
	if !ok {
		return
	}
	if !owned.opensAt.IsZero() {
		owned.addPending(ask)
		owner.sendQueued(owned, ask, owned.opensAt.Sub(owner.now))
		return
	}
	owner.submit(owned, ask)
}

// submit passes an ask to the scheduler and tells its entry VM if the ask is
// queued.
func (owner *owner) submit(owned *ownedShard, ask scheduler.Ask) {
	decisions := owned.scheduler.Ask(owner.now, ask)
	owner.sendDecisions(owned, decisions)
	decided := slices.ContainsFunc(decisions, func(decision scheduler.Decision) bool {
		return decision.Ask.Request == ask.Request && decision.Ask.Attempt == ask.Attempt
	})
	if !decided {
		owner.sendQueued(owned, ask, owned.scheduler.ExpectedWait(owner.now, ask.Class))
	}
}

func (owner *owner) sendQueued(owned *ownedShard, ask scheduler.Ask, wait time.Duration) {
	owner.send(ask.Entry.VM, &messenger.GrantAnswer{Shard: owned.shard, Request: ask.Request, Attempt: ask.Attempt, Queued: true, ExpectedWait: wait})
}

// handleReport handles an entry VM's report of the grants that it holds.
func (owner *owner) handleReport(from definer.Member, report *messenger.GrantReport) {
	if owned, ok := owner.shards[report.Shard]; ok {
		owner.adopt(owned, from, report)
		return
	}
	if owner.earlyReports[report.Shard] == nil {
		owner.earlyReports[report.Shard] = make(map[definer.VM]earlyReport)
	}
	owner.earlyReports[report.Shard][from.VM] = earlyReport{from: from, report: report, at: owner.now}
}

// adopt reconciles the ledger and the slots with a report.
func (owner *owner) adopt(owned *ownedShard, from definer.Member, report *messenger.GrantReport) {
	for _, held := range report.Grants {
		owned.ledger.renew(owner.now, held.Grant)
		class, ok := owner.configuration.Class(held.Class)
		if !ok || !owned.ledger.adoptable(held.Grant) {
			continue
		}
		owned.ledger.add(held.Grant, grantRecord{entry: from, request: held.Request, attempt: held.Attempt, upstream: held.Upstream, since: owner.now})
		owned.scheduler.Adopt(owner.now, from, class, held)
	}
	owner.reclaim(owned, owned.ledger.missing(owner.now, from, report))
}

// reclaim releases the slots of unused grants.
func (owner *owner) reclaim(owned *ownedShard, grants []definer.GrantID) {
	for _, grant := range grants {
		owner.log(EventGrantReclaimed, "grant", grant, "vm", owned.ledger.grants[grant].entry.VM)
		owned.ledger.remove(owner.now, grant)
		owner.sendDecisions(owned, owned.scheduler.Release(owner.now, grant, messenger.Observation{}))
	}
}

// translate returns an ask in the scheduler's form, or false if its class no
// longer exists.
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

// sendDecisions sends each decision to the entry VM that asked.
func (owner *owner) sendDecisions(owned *ownedShard, decisions []scheduler.Decision) {
	for _, decision := range decisions {
		owned.recordGrant(owner.now, decision)
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
	return slices.SortedFunc(maps.Keys(shards), compareShards)
}

// compareShards orders shards.
func compareShards(left, right messenger.Shard) int {
	return cmp.Or(cmp.Compare(left.DataCentre, right.DataCentre), cmp.Compare(left.Pool, right.Pool), cmp.Compare(left.Index, right.Index))
}
