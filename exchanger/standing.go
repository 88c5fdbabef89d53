package exchanger

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// Standing is the role of a node among those that query the store on behalf of others.
type Standing struct {
	// IsLeader is set for the leader of a data centre, which queries the store for it: the
	// aggregator of the first of its groups that has one.
	IsLeader bool
	// IsAggregator is set for the aggregator of a group.
	IsAggregator bool
	// IsFirstLeader is set for a leader if no data centre that sorts before its own has one.
	IsFirstLeader bool
	// Rank is the position among the aggregators: leaders come first, by data centre,
	// then the other aggregators of each data centre.
	Rank int
	// GroupRank is the position among the nodes of its group without the aggregator; 0 for the
	// aggregator.
	GroupRank int
	// StoreAccess is the access to the store of the nodes that this one receives reports from.
	StoreAccess messenger.StoreAccess
	// HasReports is set while this node receives reports of peers. Where nodes exchange the
	// store's entries, reports of peers that read the store for themselves alone do not count.
	HasReports bool
}

// Standing returns the role of this node. Each node derives it from the list of nodes and
// from which nodes respond to it: two may lead at the same time for a while, which only
// costs additional calls.
func (exchanger *Exchanger) Standing(now time.Time) Standing {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.dropExpired(now)
	standing := Standing{
		IsAggregator: exchanger.aggregatorOf(now, exchanger.groups[exchanger.ownGroup]).VM == exchanger.self.VM,
		HasReports:   exchanger.hasReports(),
		GroupRank:    exchanger.groupRank(now),
		StoreAccess:  exchanger.reportedStoreAccess(""),
	}
	present := func(group group) bool { return exchanger.isPresent(now, group) && !exchanger.readsAlone(group) }
	before, earlier := exchanger.precedingGroups()
	standing.IsLeader = standing.IsAggregator && len(exchanger.peers) > 0 && !slices.ContainsFunc(earlier, present)
	standing.IsFirstLeader = standing.IsLeader && !slices.ContainsFunc(before, present)
	exchanger.isLeader, exchanger.isFirstLeader = standing.IsLeader, standing.IsFirstLeader
	standing.Rank = countDataCentres(before)
	if !standing.IsLeader {
		standing.Rank = countDataCentres(exchanger.groups) + len(earlier)
	}
	return standing
}

// groupRank returns the position of this node among the nodes of its group without the aggregator,
// or 0 for the aggregator. The mutex is held.
func (exchanger *Exchanger) groupRank(now time.Time) int {
	own := exchanger.groups[exchanger.ownGroup]
	aggregator := exchanger.aggregatorOf(now, own)
	rank := 0
	for _, node := range own {
		switch node.VM {
		case exchanger.self.VM:
			return rank
		case aggregator.VM:
		default:
			rank++
		}
	}
	return rank
}

// reportedStoreAccess returns the access to the store of the nodes that report to this one, except
// the given node. The mutex is held.
func (exchanger *Exchanger) reportedStoreAccess(except definer.VM) messenger.StoreAccess {
	access := messenger.NotReading
	for _, reports := range []map[definer.VM]receivedReport{exchanger.memberReports, exchanger.groupReports} {
		for vm, received := range reports {
			if vm != except {
				access = access.Or(received.report.Store)
			}
		}
	}
	if exchanger.fleetReport.report != nil && exchanger.aggregator != except {
		access = access.Or(exchanger.fleetReport.report.Store)
	}
	return access
}

// hasReports reports whether any peer that exchanges the same data has reported recently. The mutex
// is held.
func (exchanger *Exchanger) hasReports() bool {
	counts := func(received receivedReport) bool {
		return received.report != nil && exchanger.exchangesEntries(received)
	}
	for _, reports := range []map[definer.VM]receivedReport{exchanger.memberReports, exchanger.groupReports} {
		for _, received := range reports {
			if counts(received) {
				return true
			}
		}
	}
	return counts(exchanger.fleetReport)
}

// exchangesEntries reports whether the sender of a report exchanges the store's entries if this node
// does, so that it can receive them from there. The mutex is held.
func (exchanger *Exchanger) exchangesEntries(received receivedReport) bool {
	return exchanger.knowledge == nil || received.report.Positions != nil
}

// readsAlone reports whether the nodes of a group that report its load read the store for
// themselves alone, so that another node has to read it for those that receive its data from peers.
// The mutex is held.
func (exchanger *Exchanger) readsAlone(group group) bool {
	alone := false
	for _, node := range group {
		received, reported := exchanger.groupReports[node.VM]
		if reported && exchanger.exchangesEntries(received) {
			return false
		}
		alone = alone || reported
	}
	return alone
}

// precedingGroups returns the groups of the data centres that sort before this node's,
// and the groups of its own data centre that sort before its group. The mutex is held.
func (exchanger *Exchanger) precedingGroups() (before, earlier []group) {
	first := exchanger.ownGroup
	for first > 0 && exchanger.groups[first-1][0].DataCentre == exchanger.self.DataCentre {
		first--
	}
	return exchanger.groups[:first], exchanger.groups[first:exchanger.ownGroup]
}

// countDataCentres counts the data centres in a list of groups that is sorted by data
// centre.
func countDataCentres(groups []group) int {
	count := 0
	for place, group := range groups {
		if place == 0 || group[0].DataCentre != groups[place-1][0].DataCentre {
			count++
		}
	}
	return count
}

// isPresent reports whether a node of the group sends this one the load of the group, or
// the first node of the group may be about to. The mutex is held.
func (exchanger *Exchanger) isPresent(now time.Time, group group) bool {
	reported := slices.ContainsFunc(group, func(node Peer) bool { return exchanger.groupReports[node.VM].report != nil })
	return reported || exchanger.contact(group[0].VM).isResponsive(now)
}
