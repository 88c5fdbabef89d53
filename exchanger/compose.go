package exchanger

import (
	"maps"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
)

// outgoing is a report and the address of the peer that it goes to.
type outgoing struct {
	address string
	report  *messenger.LoadReport
}

// compose returns the reports that are due at a stage.
func (exchanger *Exchanger) compose(now time.Time, stage stage) []outgoing {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.dropExpired(now)
	exchanger.composedAt = now
	switch stage {
	case memberStage:
		exchanger.updateAggregator(now)
		return exchanger.reportToAggregator(now)
	case groupStage:
		return exchanger.reportToGroups(now)
	case fleetStage:
		return exchanger.reportToMembers(now)
	}
	return nil
}

// ownGroupSum returns the summed load of this node and the nodes that report to it. The
// mutex is held.
func (exchanger *Exchanger) ownGroupSum(now time.Time) *sum {
	own := exchanger.selector.Report(now)
	own.Shares = exchanger.shares.Report(now)
	exchanger.pendingReads.add(own.Reads, ownGroupScopes()...)
	total := newSum(sharesDue(now))
	total.add(own, 0)
	for _, member := range exchanger.memberReports {
		total.add(member.report, now.Sub(member.receivedAt))
	}
	return total
}

// dropExpired removes the reports that are too old to count. The mutex is held.
func (exchanger *Exchanger) dropExpired(now time.Time) {
	exchanger.excusePause(now)
	expired := func(_ definer.VM, received receivedReport) bool { return received.expired(now) }
	maps.DeleteFunc(exchanger.memberReports, expired)
	maps.DeleteFunc(exchanger.groupReports, expired)
	if exchanger.fleetReport.expired(now) {
		exchanger.fleetReport = receivedReport{}
	}
}

// updateAggregator determines the aggregator of this node's group and, if it has changed,
// removes what the previous one reported. The mutex is held.
func (exchanger *Exchanger) updateAggregator(now time.Time) {
	aggregator := exchanger.aggregatorOf(now, exchanger.groups[exchanger.ownGroup])
	if aggregator.VM == exchanger.aggregator {
		return
	}
	exchanger.log(logger.EventAggregatorChanged, "to", aggregator.VM, "from", exchanger.aggregator,
		"self", aggregator.VM == exchanger.self.VM, "peers", len(exchanger.peers), "groups", len(exchanger.groups))
	exchanger.selector.RemoveReport(exchanger.aggregator)
	exchanger.shares.Remove(exchanger.aggregator)
	exchanger.fleetReport = receivedReport{}
	exchanger.aggregator = aggregator.VM
}

// aggregatorOf returns the first node of a group that responds, or the first node if none
// does. The mutex is held.
func (exchanger *Exchanger) aggregatorOf(now time.Time, group group) Peer {
	for _, node := range group {
		if node.VM == exchanger.self.VM || exchanger.contact(node.VM).isResponsive(now) {
			return node
		}
	}
	return group[0]
}

// reportToAggregator returns the report to the aggregator of this node's group, or none
// if this node is the aggregator. The mutex is held.
func (exchanger *Exchanger) reportToAggregator(now time.Time) []outgoing {
	falls := exchanger.suspicions.NextReport(now, messenger.MemberLoad)
	announcements := exchanger.announcements.NextReport(now, messenger.MemberLoad)
	evidence := exchanger.evidence.NextReport(now, messenger.MemberLoad)
	if exchanger.aggregator == exchanger.self.VM {
		exchanger.pendingReads.take(messenger.MemberLoad)
		return nil
	}
	report := exchanger.ownGroupSum(now).reportWithout(messenger.MemberLoad, nil, exchanger.pendingReads.take(messenger.MemberLoad))
	report.Falls, report.Announcements, report.Evidence = falls, announcements, evidence
	return exchanger.addressReport(now, []definer.VM{exchanger.aggregator}, report)
}

// reportToGroups returns the reports on this node's group: to the aggregators of other
// groups if this node is an aggregator, and in answer to the nodes that take it for one.
// The mutex is held.
func (exchanger *Exchanger) reportToGroups(now time.Time) []outgoing {
	falls := exchanger.suspicions.NextReport(now, messenger.GroupLoad)
	announcements := exchanger.announcements.NextReport(now, messenger.GroupLoad)
	evidence := exchanger.evidence.NextReport(now, messenger.GroupLoad)
	aggregators := exchanger.aggregatorTargets(now)
	var askers []definer.VM
	for vm, other := range exchanger.groupReports {
		if other.report.Scope == messenger.GroupLoad && !slices.Contains(aggregators, vm) {
			askers = append(askers, vm)
		}
	}
	if len(aggregators)+len(askers) == 0 {
		exchanger.pendingReads.take(messenger.GroupLoad)
		return nil
	}
	total := exchanger.ownGroupSum(now)
	reads := exchanger.pendingReads.take(messenger.GroupLoad)
	load, answer := total.reportWithout(messenger.GroupLoad, nil, reads), total.reportWithout(messenger.GroupAnswer, nil, reads)
	load.Falls, answer.Falls = falls, falls
	load.Announcements, answer.Announcements = announcements, announcements
	load.Evidence, answer.Evidence = evidence, evidence
	return append(exchanger.addressReport(now, aggregators, load), exchanger.addressReport(now, askers, answer)...)
}

// aggregatorTargets returns the aggregators of the other groups, or none if this node is
// not an aggregator. The mutex is held.
func (exchanger *Exchanger) aggregatorTargets(now time.Time) []definer.VM {
	if exchanger.aggregator != exchanger.self.VM {
		return nil
	}
	var aggregators []definer.VM
	for place, group := range exchanger.groups {
		if place != exchanger.ownGroup {
			aggregators = append(aggregators, exchanger.aggregatorOf(now, group).VM)
		}
	}
	return aggregators
}

// addressReport returns a report for each of the targets that is on the list of nodes,
// and records that an answer is awaited from it. The mutex is held.
func (exchanger *Exchanger) addressReport(now time.Time, targets []definer.VM, report *messenger.LoadReport) []outgoing {
	var messages []outgoing
	for _, vm := range targets {
		if peer, listed := exchanger.peers[vm]; listed {
			exchanger.contact(vm).recordSent(now)
			messages = append(messages, outgoing{peer.Address, exchanger.personalise(now, vm, report)})
		}
	}
	return messages
}

// introduceToMembers returns reports, without load, to the members of the group that do
// not report to this node, if it is the aggregator: nodes that have just started know no
// peers. The mutex is held.
func (exchanger *Exchanger) introduceToMembers(now time.Time) []outgoing {
	if exchanger.knowledge == nil || exchanger.aggregator != exchanger.self.VM {
		return nil
	}
	var messages []outgoing
	for _, peer := range exchanger.groups[exchanger.ownGroup] {
		_, reports := exchanger.memberReports[peer.VM]
		if peer.VM == exchanger.self.VM || reports || !exchanger.contact(peer.VM).isResponsive(now) {
			continue
		}
		exchanger.contact(peer.VM).recordSent(now)
		invitation := exchanger.personalise(now, peer.VM, &messenger.LoadReport{Scope: messenger.FleetLoad})
		messages = append(messages, outgoing{peer.Address, invitation})
	}
	return messages
}

// personalise returns a copy of the report with the fields that are specific to one
// receiver: the clock, the confirmation, the positions and the entries it lacks. The
// mutex is held.
func (exchanger *Exchanger) personalise(now time.Time, vm definer.VM, report *messenger.LoadReport) *messenger.LoadReport {
	personal := *report
	exchanger.setClock(&personal)
	personal.RejectionLimits, personal.Informed = exchanger.announcements.RejectionLimits(now)
	if exchanger.knowledge != nil || report.Scope == messenger.MemberLoad {
		personal.Sent = now.Sub(exchanger.start)
	}
	latest := exchanger.latestReport(vm)
	if latest.report != nil && (exchanger.knowledge != nil || report.Scope == messenger.FleetLoad) {
		personal.Confirmation = exchanger.confirmationFor(latest)
	}
	if exchanger.knowledge == nil {
		return &personal
	}
	positions := exchanger.knowledge.Positions()
	personal.Positions = &positions
	personal.Store = exchanger.storeAccess()
	if report.Scope == messenger.FleetLoad {
		personal.Store = personal.Store.Or(exchanger.reportedStoreAccess(vm))
	}
	switch {
	case latest.report == nil:
		// The receiver may know no peers. Its position is unknown; sending it all entries
		// costs nothing within a data centre.
		personal.Address = exchanger.self.Address
		if exchanger.inOwnDataCentre(vm) {
			personal.News = exchanger.newsFor(now, vm, messenger.Positions{})
		}
	case latest.report.Positions != nil:
		personal.News = exchanger.newsFor(now, vm, *latest.report.Positions)
	}
	return &personal
}

// newsFor returns entries that a node at the positions lacks, or nil if they have just
// been sent to it. On a slow link they may still be in transit, and repeating them would
// delay them further. The mutex is held.
func (exchanger *Exchanger) newsFor(now time.Time, vm definer.VM, positions messenger.Positions) *messenger.News {
	contact := exchanger.contact(vm)
	if contact.newsInTransit(now, positions) {
		return nil
	}
	news := exchanger.missingEntries(vm, positions)
	if news != nil {
		contact.recordNewsSent(now, positions)
	}
	return news
}

// inOwnDataCentre reports whether a node is in this node's data centre. The mutex is
// held.
func (exchanger *Exchanger) inOwnDataCentre(vm definer.VM) bool {
	return exchanger.peers[vm].DataCentre == exchanger.self.DataCentre
}

// missingEntries returns entries that a node at the positions lacks, or nil if sending them
// is left to other nodes. Nodes of other data centres are sent entries by leaders only, and
// in small messages unless the leader is the first one; a node that knows no peers is sent
// large messages by every node. When each of 18 aggregators sent everything to a restarted
// one, 2.6 GB of traffic between data centres arose in a minute in which 295 nodes were
// restarted in turn; 0.5 GB are usual. The mutex is held.
func (exchanger *Exchanger) missingEntries(vm definer.VM, positions messenger.Positions) *messenger.News {
	knowsNoPeers := positions.Peers.UpTo == 0
	switch {
	case knowsNoPeers || exchanger.isFirstLeader || exchanger.inOwnDataCentre(vm):
		return exchanger.knowledge.MissingEntries(positions, LargeNews)
	case exchanger.isLeader:
		return exchanger.knowledge.MissingEntries(positions, SmallNews)
	}
	return nil
}

// latestReport returns the latest report of a node. The mutex is held.
func (exchanger *Exchanger) latestReport(vm definer.VM) receivedReport {
	latest := exchanger.memberReports[vm]
	if exchanger.knowledge == nil {
		return latest // Reports of other scopes lack the time at which they were sent.
	}
	if other := exchanger.groupReports[vm]; other.receivedAt.After(latest.receivedAt) {
		latest = other
	}
	if vm == exchanger.aggregator && exchanger.fleetReport.receivedAt.After(latest.receivedAt) {
		latest = exchanger.fleetReport
	}
	return latest
}

// reportToMembers returns a report to each member on the load of all other nodes. The
// mutex is held.
func (exchanger *Exchanger) reportToMembers(now time.Time) []outgoing {
	falls := exchanger.suspicions.NextReport(now, messenger.FleetLoad)
	announcements := exchanger.announcements.NextReport(now, messenger.FleetLoad)
	evidence := exchanger.evidence.NextReport(now, messenger.FleetLoad)
	messages := exchanger.introduceToMembers(now)
	if len(exchanger.memberReports) == 0 {
		exchanger.pendingReads.take(messenger.FleetLoad)
		return messages
	}
	all := exchanger.ownGroupSum(now)
	for _, other := range exchanger.groupReports {
		all.add(other.report, now.Sub(other.receivedAt))
	}
	if exchanger.fleetReport.report != nil {
		all.add(exchanger.fleetReport.report, now.Sub(exchanger.fleetReport.receivedAt))
	}
	reads := exchanger.pendingReads.take(messenger.FleetLoad)
	for vm, member := range exchanger.memberReports {
		if peer, listed := exchanger.peers[vm]; listed {
			report := all.reportWithout(messenger.FleetLoad, member.report, reads)
			report.Falls, report.Announcements, report.Evidence = falls, announcements, evidence
			messages = append(messages, outgoing{peer.Address, exchanger.personalise(now, vm, report)})
		}
	}
	return messages
}

// confirmationFor returns up to when this node knows its configuration to be the newest,
// relative to when it received a report, or nil if the store has confirmed none. The
// mutex is held.
func (exchanger *Exchanger) confirmationFor(member receivedReport) *messenger.Confirmation {
	var copyConfirmation *messenger.CopyConfirmation
	if exchanger.knowledge != nil {
		// It is read before the version: one that becomes known in between is newer.
		if at, upstreams, evacuations := exchanger.knowledge.Current(); !at.IsZero() {
			copyConfirmation = &messenger.CopyConfirmation{
				Upstreams: upstreams, Evacuations: evacuations, Lead: at.Sub(member.receivedAt),
			}
			if answered := exchanger.knowledge.Answered(); !answered.IsZero() {
				copyConfirmation.AnsweredLead = answered.Sub(member.receivedAt)
			}
		}
	}
	version, at := exchanger.confirmations.StoreConfirmation()
	if at.IsZero() {
		return nil
	}
	return &messenger.Confirmation{
		Version: version, InForce: exchanger.confirmations.InForce(),
		Sent: member.report.Sent, Incarnation: member.incarnation, Lead: at.Sub(member.receivedAt), Copy: copyConfirmation,
	}
}
