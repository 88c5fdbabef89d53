package analyser

import (
	"slices"
	"sort"
)

// neighbours counts the requests of other rules that an upstream receives near a request.
type neighbours struct {
	// before is from how long before a send other sends count, in nanoseconds.
	before    int64
	upstreams map[string]*upstream
	// pauses counts by rule and number of others, in the groups of otherIndex.
	pauses map[string]*[6]pauses
}

// upstream holds the sends to one upstream that may still be counted for a request in flight.
type upstream struct {
	// sends holds the times of sends by rule, in order.
	sends map[string][]int64
	// held counts the times in sends, keepAbove is the number above which old ones are removed.
	held      int
	keepAbove int
	inFlight  map[*request]bool
}

// pauses counts served requests, and those of them with a pause above the objective.
type pauses struct {
	served int
	late   int
}

// minKept is below how many times no old ones are removed.
const minKept = 256

func newNeighbours(before int64) *neighbours {
	return &neighbours{before: before, upstreams: make(map[string]*upstream), pauses: make(map[string]*[6]pauses)}
}

// add records a send.
func (neighbours *neighbours) add(sent *request) {
	to := neighbours.upstreams[sent.upstream]
	if to == nil {
		to = &upstream{sends: make(map[string][]int64), keepAbove: minKept, inFlight: make(map[*request]bool)}
		neighbours.upstreams[sent.upstream] = to
	}
	to.inFlight[sent] = true
	to.sends[sent.rule] = append(to.sends[sent.rule], sent.sentAt)
	if to.held++; to.held > to.keepAbove {
		to.prune(sent.sentAt, neighbours.before)
	}
}

// prune removes the sends that no request in flight or sent from now on needs.
func (upstream *upstream) prune(now, before int64) {
	oldest := now
	for sent := range upstream.inFlight {
		oldest = min(oldest, sent.sentAt)
	}
	upstream.held = 0
	for rule, times := range upstream.sends {
		times = slices.Delete(times, 0, countBelow(times, oldest-before))
		upstream.sends[rule] = times
		upstream.held += len(times)
	}
	upstream.keepAbove = max(2*upstream.held, minKept)
}

// end forgets a send that is no longer in flight.
func (neighbours *neighbours) end(sent *request) {
	if at := neighbours.upstreams[sent.upstream]; at != nil {
		delete(at.inFlight, sent)
	}
}

// count returns how many requests of other rules were sent to a request's upstream up to its end.
func (neighbours *neighbours) count(sent *request, end int64) int {
	others := 0
	for rule, times := range neighbours.upstreams[sent.upstream].sends {
		if rule != sent.rule {
			others += countBelow(times, end+1) - countBelow(times, sent.sentAt-neighbours.before)
		}
	}
	return others
}

// record adds a served request with the number of others and whether a pause was above the
// objective.
func (neighbours *neighbours) record(rule string, others int, late bool) {
	if neighbours.pauses[rule] == nil {
		neighbours.pauses[rule] = new([6]pauses)
	}
	group := &neighbours.pauses[rule][otherIndex(others)]
	group.served++
	if late {
		group.late++
	}
}

// otherNames returns the names of the groups of otherIndex.
func otherNames() []string { return append([]string{"0"}, groupNames()...) }

// otherIndex returns the index in otherNames of a number of other requests.
func otherIndex(others int) int {
	if others == 0 {
		return 0
	}
	return 1 + groupIndex(others)
}

// countBelow returns how many of the ordered times are below the limit.
func countBelow(times []int64, limit int64) int {
	return sort.Search(len(times), func(index int) bool { return times[index] >= limit })
}
