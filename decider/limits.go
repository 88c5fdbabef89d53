package decider

import (
	"time"

	"limpetcleat/announcer"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// limits tracks how many requests a second upstreams accept from all nodes
// together, as their answers told this node and others. The owner of an
// upstream's shard enforces the limit. Other members tell the owner, and the
// owner tells all members, since any of them may be the next owner or grant in
// its place.
type limits struct {
	*core
	announcer *announcer.Announcer
	// limited holds the limits of upstreams, including those that were lifted
	// after their owner had been told.
	limited map[definer.UpstreamName]definer.RateLimit
	// sentToOwners holds the last limit sent to the owner of each shard since
	// resentAt.
	sentToOwners map[noticeKey]sentLimit
	resentAt     time.Time
	// sentToMembers holds the last limit sent to each member for the shards
	// that this node owns.
	sentToMembers map[memberNoticeKey]definer.RateLimit
}

// sentLimit is a limit as it was sent to one owner.
type sentLimit struct {
	tenure tenure
	limit  definer.RateLimit
}

// memberNoticeKey identifies the notices on one upstream to one member.
type memberNoticeKey struct {
	member   definer.Member
	upstream definer.UpstreamName
}

func newLimits(core *core) *limits {
	limits := &limits{
		core:          core,
		limited:       make(map[definer.UpstreamName]definer.RateLimit),
		sentToOwners:  make(map[noticeKey]sentLimit),
		sentToMembers: make(map[memberNoticeKey]definer.RateLimit),
	}
	limits.announcer = announcer.New(announcer.WithChanges(limits.limitChanged))
	return limits
}

// limitChanged records a changed limit.
func (limits *limits) limitChanged(start definer.UpstreamStart, announcement announcer.Announcement, source announcer.Source) {
	limits.limited[start.Upstream] = announcement.Limit
	limits.log(EventUpstreamLimited, "upstream", start.Upstream, "limit", announcement.Limit, "source", source)
}

// learnFromUpstream records the limit that an answer of an upstream announced.
func (limits *limits) learnFromUpstream(event UpstreamAnnounced) {
	limits.announcer.Record(limits.now, definer.UpstreamStart{Upstream: event.Upstream}, event.SentAt, announcer.Announcement{Limit: event.Limit})
}

// learnFromPeer records the limit that a peer reported.
func (limits *limits) learnFromPeer(from definer.VM, message *messenger.LimitNotice) {
	announcement := message.Announcement
	limits.announcer.Learn(limits.now, from, []messenger.UpstreamAnnouncement{announcement})
	if owner, ok := limits.roster.owner(message.Shard); ok && owner == from {
		// The owner knows the limit that it has sent.
		key := noticeKey{shard: message.Shard, upstream: announcement.Upstream}
		limits.sentToOwners[key] = sentLimit{tenure: limits.roster.tenure(message.Shard), limit: limits.limited[announcement.Upstream]}
	}
}

// names returns the upstreams that have or had a limit, sorted.
func (limits *limits) names() []definer.UpstreamName {
	return sortedKeys(limits.limited)
}

// isLimited reports whether an upstream has a limit.
func (limits *limits) isLimited(name definer.UpstreamName) bool {
	_, limited := limits.limited[name].PerSecond()
	return limited
}

// tellOwners sends each limit to the present owner of the upstream's shard,
// once in each tenure.
func (limits *limits) tellOwners(shardsWith func(name definer.UpstreamName) []messenger.Shard) {
	if limits.configuration == nil {
		return
	}
	for _, name := range limits.names() {
		for _, shard := range shardsWith(name) {
			vm, ok := limits.roster.owner(shard)
			key := noticeKey{shard: shard, upstream: name}
			notice := sentLimit{tenure: limits.roster.tenure(shard), limit: limits.limited[name]}
			switch {
			case ok && vm == limits.self.VM:
				limits.tellMembers(shard, name)
			case ok && limits.sentToOwners[key] != notice:
				limits.sentToOwners[key] = notice
				limits.sendNotice(vm, shard, name)
			}
		}
	}
}

// tellMembers sends a limit once to each other member of a shard's data centre.
func (limits *limits) tellMembers(shard messenger.Shard, name definer.UpstreamName) {
	for _, vm := range limits.roster.peers(shard.DataCentre) {
		key := memberNoticeKey{member: limits.roster.members[vm].Member, upstream: name}
		if before, sent := limits.sentToMembers[key]; vm == limits.self.VM || sent && before == limits.limited[name] {
			continue
		}
		limits.sentToMembers[key] = limits.limited[name]
		limits.sendNotice(vm, shard, name)
	}
}

func (limits *limits) sendNotice(to definer.VM, shard messenger.Shard, name definer.UpstreamName) {
	limits.send(to, &messenger.LimitNotice{
		Shard: shard, Announcement: limits.announcer.LatestEncoded(limits.now, definer.UpstreamStart{Upstream: name}),
	})
}

// refresh sends all notices again at each resendInterval, since one may have
// been lost.
func (limits *limits) refresh(shardsWith func(name definer.UpstreamName) []messenger.Shard) {
	if limits.now.Sub(limits.resentAt) >= resendInterval {
		limits.resentAt = limits.now
		clear(limits.sentToOwners)
		clear(limits.sentToMembers)
		limits.tellOwners(shardsWith)
	}
}
