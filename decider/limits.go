package decider

import (
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// limits knows how many requests a second upstreams take from all nodes together, by what
// their answers told this node and others. The owner of an upstream's shard keeps to it. The
// others tell the owner, and it tells them all: one of them may be the next, or grant in its
// place.
type limits struct {
	*core
	announcer *announcer.Announcer
	// limited holds the upstreams that have a limit, and those that had one and whose owner
	// was told so.
	limited map[definer.UpstreamName]definer.RateLimit
	// told holds what the owner of a shard was told last, since retold.
	told   map[notice]toldLimit
	retold time.Time
	// spread holds what each member was told last of the shards that this node owns.
	spread map[memberNotice]definer.RateLimit
}

// toldLimit is a limit as one owner was told it.
type toldLimit struct {
	tenure tenure
	limit  definer.RateLimit
}

// memberNotice names the word on one upstream to one member.
type memberNotice struct {
	member   definer.Member
	upstream definer.UpstreamName
}

func newLimits(core *core) *limits {
	limits := &limits{
		core:    core,
		limited: make(map[definer.UpstreamName]definer.RateLimit),
		told:    make(map[notice]toldLimit),
		spread:  make(map[memberNotice]definer.RateLimit),
	}
	limits.announcer = announcer.New(announcer.WithChanges(limits.changed))
	return limits
}

// changed takes up a limit that is new.
func (limits *limits) changed(start definer.UpstreamStart, announcement announcer.Announcement, source announcer.Source) {
	limits.limited[start.Upstream] = announcement.Limit
	limits.log(EventUpstreamLimited, "upstream", start.Upstream, "limit", announcement.Limit, "source", source)
}

// hear takes in what an answer told this node.
func (limits *limits) hear(event UpstreamAnnounced) {
	limits.announcer.Hear(limits.now, definer.UpstreamStart{Upstream: event.Upstream}, event.SentAt, announcer.Announcement{Limit: event.Limit})
}

// learn takes in what a peer tells.
func (limits *limits) learn(from definer.VM, message *messenger.LimitNotice) {
	told := message.Announcement
	limits.announcer.Learn(limits.now, from, []messenger.UpstreamAnnouncement{told})
	if owner, ok := limits.roster.owner(message.Shard); ok && owner == from {
		// It knows what it has told.
		key := notice{shard: message.Shard, upstream: told.Upstream}
		limits.told[key] = toldLimit{tenure: limits.roster.tenure(message.Shard), limit: limits.limited[told.Upstream]}
	}
}

// names returns the upstreams of which a limit is or was known, sorted.
func (limits *limits) names() []definer.UpstreamName {
	return sortedKeys(limits.limited)
}

// isLimited tells whether an upstream has a limit.
func (limits *limits) isLimited(name definer.UpstreamName) bool {
	_, limited := limits.limited[name].PerSecond()
	return limited
}

// tellOwners passes each limit on to the present owner of the upstream's shard, once in each
// tenure.
func (limits *limits) tellOwners(shardsWith func(name definer.UpstreamName) []messenger.Shard) {
	if limits.configuration == nil {
		return
	}
	for _, name := range limits.names() {
		for _, shard := range shardsWith(name) {
			vm, ok := limits.roster.owner(shard)
			key := notice{shard: shard, upstream: name}
			telling := toldLimit{tenure: limits.roster.tenure(shard), limit: limits.limited[name]}
			switch {
			case ok && vm == limits.self.VM:
				limits.tellMembers(shard, name)
			case ok && limits.told[key] != telling:
				limits.told[key] = telling
				limits.sendNotice(vm, shard, name)
			}
		}
	}
}

// tellMembers passes a limit on to the other members of a shard's data centre, once each.
func (limits *limits) tellMembers(shard messenger.Shard, name definer.UpstreamName) {
	for _, vm := range limits.roster.peers(shard.DataCentre) {
		key := memberNotice{member: limits.roster.members[vm].Member, upstream: name}
		if before, told := limits.spread[key]; vm == limits.self.VM || told && before == limits.limited[name] {
			continue
		}
		limits.spread[key] = limits.limited[name]
		limits.sendNotice(vm, shard, name)
	}
}

func (limits *limits) sendNotice(to definer.VM, shard messenger.Shard, name definer.UpstreamName) {
	limits.send(to, &messenger.LimitNotice{
		Shard: shard, Announcement: limits.announcer.Encoded(limits.now, definer.UpstreamStart{Upstream: name}),
	})
}

// refresh has all owners told again now and then: a notice may have been lost.
func (limits *limits) refresh(shardsWith func(name definer.UpstreamName) []messenger.Shard) {
	if limits.now.Sub(limits.retold) >= refreshEvery {
		limits.retold = limits.now
		clear(limits.told)
		clear(limits.spread)
		limits.tellOwners(shardsWith)
	}
}
