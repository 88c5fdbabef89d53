package exchanger

import (
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
)

// outgoing is a report on its way to one peer.
type outgoing struct {
	address string
	report  *messenger.LoadReport
}

// compose returns what is to be told at a stage, and to whom.
func (exchanger *Exchanger) compose(now time.Time, stage stage) []outgoing {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.expire(now)
	switch stage {
	case memberStage:
		exchanger.follow(now)
		return exchanger.tellAggregator(now)
	case groupStage:
		return exchanger.tellGroups(now)
	case fleetStage:
		return exchanger.tellMembers(now)
	}
	return nil
}

// below returns the sum of what this node and its members do; mutex is held.
func (exchanger *Exchanger) below(now time.Time) *sum {
	own := exchanger.selector.Report(now)
	exchanger.reads.add(own.Reads, belowScopes()...)
	below := newSum()
	below.add(own, 0)
	for _, member := range exchanger.members {
		below.add(member.report, now.Sub(member.at))
	}
	return below
}

// expire drops the reports that no longer count; mutex is held.
func (exchanger *Exchanger) expire(now time.Time) {
	expired := func(_ definer.VM, held held) bool { return held.expired(now) }
	maps.DeleteFunc(exchanger.members, expired)
	maps.DeleteFunc(exchanger.others, expired)
	if exchanger.fleet.expired(now) {
		exchanger.fleet = held{}
	}
}

// follow settles which node is the aggregator of this node's group; mutex is held.
func (exchanger *Exchanger) follow(now time.Time) {
	aggregator := exchanger.aggregatorOf(now, exchanger.groups[exchanger.own])
	if aggregator.VM == exchanger.reportsTo {
		return
	}
	exchanger.log(logger.EventAggregatorChanged, "to", aggregator.VM, "from", exchanger.reportsTo,
		"self", aggregator.VM == exchanger.self.VM, "peers", len(exchanger.peers), "groups", len(exchanger.groups))
	exchanger.selector.Forget(exchanger.reportsTo)
	exchanger.fleet = held{}
	exchanger.reportsTo = aggregator.VM
}

// aggregatorOf returns the first node of a group that answers, or the first one if none
// does; mutex is held.
func (exchanger *Exchanger) aggregatorOf(now time.Time, group group) Peer {
	for _, node := range group {
		if node.VM == exchanger.self.VM || exchanger.contact(node.VM).answers(now) {
			return node
		}
	}
	return group[0]
}

// tellAggregator reports to the aggregator of this node's group, unless that is
// itself; mutex is held.
func (exchanger *Exchanger) tellAggregator(now time.Time) []outgoing {
	falls := exchanger.suspicions.Tell(now, messenger.MemberLoad)
	announcements := exchanger.announcements.Tell(now, messenger.MemberLoad)
	if exchanger.reportsTo == exchanger.self.VM {
		exchanger.reads.take(messenger.MemberLoad)
		return nil
	}
	report := exchanger.below(now).report(messenger.MemberLoad, nil, exchanger.reads.take(messenger.MemberLoad))
	report.Falls, report.Announcements = falls, announcements
	return exchanger.address(now, []definer.VM{exchanger.reportsTo}, report)
}

// tellGroups tells the aggregators of other groups what this group does, if this node
// is its aggregator, and answers those that take it for that. The mutex is held.
func (exchanger *Exchanger) tellGroups(now time.Time) []outgoing {
	falls := exchanger.suspicions.Tell(now, messenger.GroupLoad)
	announcements := exchanger.announcements.Tell(now, messenger.GroupLoad)
	aggregators := exchanger.aggregators(now)
	var askers []definer.VM
	for vm, other := range exchanger.others {
		if other.report.Scope == messenger.GroupLoad && !slices.Contains(aggregators, vm) {
			askers = append(askers, vm)
		}
	}
	if len(aggregators)+len(askers) == 0 {
		exchanger.reads.take(messenger.GroupLoad)
		return nil
	}
	below := exchanger.below(now)
	reads := exchanger.reads.take(messenger.GroupLoad)
	load, answer := below.report(messenger.GroupLoad, nil, reads), below.report(messenger.GroupAnswer, nil, reads)
	load.Falls, answer.Falls = falls, falls
	load.Announcements, answer.Announcements = announcements, announcements
	return append(exchanger.address(now, aggregators, load), exchanger.address(now, askers, answer)...)
}

// aggregators returns those of the other groups, or none if this node is not the one
// of its own; mutex is held.
func (exchanger *Exchanger) aggregators(now time.Time) []definer.VM {
	if exchanger.reportsTo != exchanger.self.VM {
		return nil
	}
	var aggregators []definer.VM
	for place, group := range exchanger.groups {
		if place != exchanger.own {
			aggregators = append(aggregators, exchanger.aggregatorOf(now, group).VM)
		}
	}
	return aggregators
}

// address addresses a report to nodes, as far as they are listed, and notes that
// each is to tell something in turn; mutex is held.
func (exchanger *Exchanger) address(now time.Time, targets []definer.VM, report *messenger.LoadReport) []outgoing {
	var messages []outgoing
	for _, vm := range targets {
		if peer, listed := exchanger.peers[vm]; listed {
			exchanger.contact(vm).told(now)
			messages = append(messages, outgoing{peer.Address, exchanger.personal(now, vm, report)})
		}
	}
	return messages
}

// invite introduces this node to the members of its group that have not reported to it, if
// it is the aggregator: those that have just started know nobody. The mutex is held.
func (exchanger *Exchanger) invite(now time.Time) []outgoing {
	if exchanger.knowledge == nil || exchanger.reportsTo != exchanger.self.VM {
		return nil
	}
	var messages []outgoing
	for _, peer := range exchanger.groups[exchanger.own] {
		_, reports := exchanger.members[peer.VM]
		if peer.VM == exchanger.self.VM || reports || !exchanger.contact(peer.VM).answers(now) {
			continue
		}
		exchanger.contact(peer.VM).told(now)
		invitation := exchanger.personal(now, peer.VM, &messenger.LoadReport{Scope: messenger.FleetLoad})
		messages = append(messages, outgoing{peer.Address, invitation})
	}
	return messages
}

// personal returns the report with what is told to one node alone; mutex is held.
func (exchanger *Exchanger) personal(now time.Time, vm definer.VM, report *messenger.LoadReport) *messenger.LoadReport {
	told := *report
	exchanger.show(&told)
	if exchanger.knowledge != nil || report.Scope == messenger.MemberLoad {
		told.Sent = now.Sub(exchanger.start)
	}
	latest := exchanger.latest(vm)
	if latest.report != nil && (exchanger.knowledge != nil || report.Scope == messenger.FleetLoad) {
		told.Confirmation = exchanger.confirm(latest)
	}
	if exchanger.knowledge == nil {
		return &told
	}
	positions := exchanger.knowledge.Positions()
	told.Positions = &positions
	switch {
	case latest.report == nil:
		// It may know nobody; what is told within a data centre costs nothing.
		told.Address = exchanger.self.Address
		if exchanger.isNear(vm) {
			told.News = exchanger.news(now, vm, messenger.Positions{})
		}
	case latest.report.Positions != nil:
		told.News = exchanger.news(now, vm, *latest.report.Positions)
	}
	return &told
}

// news returns what a node at the positions is told of what it lacks, unless it has just
// been told that: on a thin link it may still be on its way, and told again and again it
// would hold up itself. The mutex is held.
func (exchanger *Exchanger) news(now time.Time, vm definer.VM, positions messenger.Positions) *messenger.News {
	contact := exchanger.contact(vm)
	if contact.awaitsNews(now, positions) {
		return nil
	}
	news := exchanger.lacking(vm, positions)
	if news != nil {
		contact.toldNews(now, positions)
	}
	return news
}

// isNear tells whether a node is in this node's data centre; mutex is held.
func (exchanger *Exchanger) isNear(vm definer.VM) bool {
	return exchanger.peers[vm].DataCentre == exchanger.self.DataCentre
}

// lacking returns what a node at the positions lacks, as far as it is for this node to tell
// it. In other data centres the leaders tell, all but the first of them in small parts,
// unless the node knows nobody. When each of 18 aggregators told a restarted one everything, 2.6 GB went between
// data centres in a minute in which 295 nodes started again in turn, where 0.5 GB are
// usual. The mutex is held.
func (exchanger *Exchanger) lacking(vm definer.VM, positions messenger.Positions) *messenger.News {
	knowsNobody := positions.Peers.UpTo == 0
	switch {
	case knowsNobody || exchanger.first || exchanger.isNear(vm):
		return exchanger.knowledge.Since(positions, LargeNews)
	case exchanger.leads:
		return exchanger.knowledge.Since(positions, SmallNews)
	}
	return nil
}

// latest returns the latest report of a node; mutex is held.
func (exchanger *Exchanger) latest(vm definer.VM) held {
	latest := exchanger.members[vm]
	if exchanger.knowledge == nil {
		return latest // The others' reports do not tell when they were sent.
	}
	if other := exchanger.others[vm]; other.at.After(latest.at) {
		latest = other
	}
	if vm == exchanger.reportsTo && exchanger.fleet.at.After(latest.at) {
		latest = exchanger.fleet
	}
	return latest
}

// tellMembers tells each member what all others do; mutex is held.
func (exchanger *Exchanger) tellMembers(now time.Time) []outgoing {
	falls := exchanger.suspicions.Tell(now, messenger.FleetLoad)
	announcements := exchanger.announcements.Tell(now, messenger.FleetLoad)
	messages := exchanger.invite(now)
	if len(exchanger.members) == 0 {
		exchanger.reads.take(messenger.FleetLoad)
		return messages
	}
	all := exchanger.below(now)
	for _, other := range exchanger.others {
		all.add(other.report, now.Sub(other.at))
	}
	if exchanger.fleet.report != nil {
		all.add(exchanger.fleet.report, now.Sub(exchanger.fleet.at))
	}
	reads := exchanger.reads.take(messenger.FleetLoad)
	for vm, member := range exchanger.members {
		if peer, listed := exchanger.peers[vm]; listed {
			report := all.report(messenger.FleetLoad, member.report, reads)
			report.Falls, report.Announcements = falls, announcements
			messages = append(messages, outgoing{peer.Address, exchanger.personal(now, vm, report)})
		}
	}
	return messages
}

// confirm returns up to when this node knows the configuration in force to be the newest,
// counted from when it took in a report; mutex is held.
func (exchanger *Exchanger) confirm(member held) *messenger.Confirmation {
	version, at := exchanger.confirmations.Direct()
	if at.IsZero() {
		return nil
	}
	return &messenger.Confirmation{Version: version, Sent: member.report.Sent, Incarnation: member.incarnation, Lead: at.Sub(member.at)}
}
