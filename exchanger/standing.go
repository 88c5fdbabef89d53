package exchanger

import (
	"slices"
	"time"
)

// Standing is a node's place among those that could ask the store for others.
type Standing struct {
	// Leads is set for the node that asks for its data centre: the aggregator of the first
	// of its groups that has one.
	Leads bool
	// Aggregates is set for the aggregator of a group.
	Aggregates bool
	// First is set for the one that leads while none of another data centre before its own
	// does.
	First bool
	// Rank is the place among the aggregators: those that lead come first, by data centre,
	// then the others of each data centre.
	Rank int
	// Heard is set while peers tell this node what others do.
	Heard bool
}

// Standing returns this node's standing. It follows from the list of nodes and from who
// answers, as each node sees that: two may lead for a time, which costs calls alone.
func (exchanger *Exchanger) Standing(now time.Time) Standing {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.expire(now)
	standing := Standing{
		Aggregates: exchanger.aggregatorOf(now, exchanger.groups[exchanger.own]).VM == exchanger.self.VM,
		Heard:      exchanger.fleet.report != nil || len(exchanger.members)+len(exchanger.others) > 0,
	}
	present := func(group group) bool { return exchanger.present(now, group) }
	before, earlier := exchanger.before()
	standing.Leads = standing.Aggregates && len(exchanger.peers) > 0 && !slices.ContainsFunc(earlier, present)
	standing.First = standing.Leads && !slices.ContainsFunc(before, present)
	exchanger.leads, exchanger.first = standing.Leads, standing.First
	standing.Rank = dataCentres(before)
	if !standing.Leads {
		standing.Rank = dataCentres(exchanger.groups) + len(earlier)
	}
	return standing
}

// before returns the groups of the data centres before this node's, and those of its own
// before its group; mutex is held.
func (exchanger *Exchanger) before() (before, earlier []group) {
	first := exchanger.own
	for first > 0 && exchanger.groups[first-1][0].DataCentre == exchanger.self.DataCentre {
		first--
	}
	return exchanger.groups[:first], exchanger.groups[first:exchanger.own]
}

// dataCentres counts the data centres of groups that are sorted by them.
func dataCentres(groups []group) int {
	count := 0
	for place, group := range groups {
		if place == 0 || group[0].DataCentre != groups[place-1][0].DataCentre {
			count++
		}
	}
	return count
}

// present tells whether a node of a group tells this one what the group does, or its
// first one may be about to; mutex is held.
func (exchanger *Exchanger) present(now time.Time, group group) bool {
	told := slices.ContainsFunc(group, func(node Peer) bool { return exchanger.others[node.VM].report != nil })
	return told || exchanger.contact(group[0].VM).answers(now)
}
