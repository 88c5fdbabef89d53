package exchanger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/registrar"
	"limpetcleat/selector"
)

const engine definer.UpstreamName = "engine"

// fleet is a set of nodes on a simulated clock, between which messages arrive without
// delay.
type fleet struct {
	t     *testing.T
	now   time.Time
	nodes map[definer.VM]*Exchanger
	order []Peer
	// isCut reports whether messages from one node to another are lost.
	isCut func(from, to definer.VM) bool
	// onDelivery, unless nil, is called with each message that arrives before the node
	// receives it.
	onDelivery func(to definer.VM, report *messenger.LoadReport)
	// maxSent is the largest number of messages that one node sent in an interval.
	maxSent int
}

// newFleet returns a fleet with the given numbers of nodes per data centre, each node
// with one request at the engine.
func newFleet(t *testing.T, sizes ...int) *fleet {
	fleet := &fleet{t: t, now: time.Unix(1000, 0), nodes: make(map[definer.VM]*Exchanger), isCut: func(_, _ definer.VM) bool { return false }}
	for place, size := range sizes {
		for index := range size {
			vm := definer.VM(fmt.Sprintf("%d-%03d", place, index))
			fleet.order = append(fleet.order, Peer{VM: vm, DataCentre: definer.DataCentre(fmt.Sprint(place)), Address: string(vm)})
		}
	}
	for _, peer := range fleet.order {
		fleet.start(peer)
	}
	return fleet
}

// start starts or restarts a node.
func (fleet *fleet) start(peer Peer) {
	choice := selector.New(peer.DataCentre)
	_, err := choice.Choose(fleet.now, &selector.Demand{
		Service: "pool", Rule: "rule", Engine: true, PromptTokens: 100,
		Candidates: []*registrar.Upstream{{ID: engine, Service: "pool", Slots: 8}},
		Parts:      []selector.Part{{ID: "read-by-" + string(peer.VM), Tokens: 50}},
	})
	assert.NilError(fleet.t, err)
	node := New(peer, choice, nil)
	node.Replace(fleet.order)
	fleet.nodes[peer.VM] = node
}

// step runs the given number of intervals.
func (fleet *fleet) step(intervals int) {
	for range intervals {
		sent := make(map[definer.VM]int)
		for stage := memberStage; stage < stageCount; stage++ {
			for _, peer := range fleet.order {
				node, alive := fleet.nodes[peer.VM]
				if !alive {
					continue
				}
				for _, outgoing := range node.compose(fleet.now, stage) {
					sent[peer.VM]++
					fleet.maxSent = max(fleet.maxSent, sent[peer.VM])
					fleet.deliver(peer.VM, definer.VM(outgoing.address), outgoing.report)
				}
			}
			fleet.now = fleet.now.Add(stageInterval)
		}
		fleet.now = fleet.now.Add(interval - stageInterval*time.Duration(stageCount))
	}
}

func (fleet *fleet) deliver(from, to definer.VM, report *messenger.LoadReport) {
	if node, alive := fleet.nodes[to]; alive && !fleet.isCut(from, to) {
		if fleet.onDelivery != nil {
			fleet.onDelivery(to, report)
		}
		node.addFirstPeer(Peer{VM: from, DataCentre: definer.DataCentre(from[:1]), Address: report.Address})
		node.receive(fleet.now, definer.Member{VM: from}, report)
	}
}

// known returns the number of other nodes whose requests a node knows of, and the number
// of these requests that run at the engine.
func (fleet *fleet) known(node *Exchanger) (nodes, inFlight int) {
	all := newSum(true)
	for _, held := range node.memberReports {
		all.add(held.report, 0)
	}
	for _, held := range node.groupReports {
		all.add(held.report, 0)
	}
	if node.fleetReport.report != nil {
		all.add(node.fleetReport.report, 0)
	}
	return all.nodes, all.loads[definer.UpstreamStart{Upstream: engine}].InFlight
}

// checkEachKnows checks that each running node knows exactly the expected number of
// others.
func (fleet *fleet) checkEachKnows(others func(vm definer.VM) int) {
	fleet.t.Helper()
	for _, peer := range fleet.order {
		node, alive := fleet.nodes[peer.VM]
		if !alive {
			continue
		}
		nodes, inFlight := fleet.known(node)
		assert.Check(fleet.t, nodes == others(peer.VM) && inFlight == others(peer.VM), "%s knows %d nodes with %d requests, not %d", peer.VM, nodes, inFlight, others(peer.VM))
	}
}

func (fleet *fleet) allOthers(definer.VM) int { return len(fleet.nodes) - 1 }

// settleIntervals is long enough for nodes that do not respond to be skipped and for
// their last reports to expire.
const settleIntervals = int((replyTimeout + selector.ReportLifetime) / interval * 2)

func TestEachNodeKnowsOfAllOthers(t *testing.T) {
	for _, sizes := range [][]int{{1}, {1, 1}, {2, 3, 2, 1}, {16, 17, 20, 18}, {78, 78, 78, 78, 78}} {
		t.Run(fmt.Sprint(sizes), func(t *testing.T) {
			fleet := newFleet(t, sizes...)
			fleet.step(2)
			fleet.checkEachKnows(fleet.allOthers)
			fleet.step(settleIntervals)
			fleet.checkEachKnows(fleet.allOthers)
			assert.Assert(t, fleet.maxSent <= groupSize+27, "a node sent %d messages in an interval", fleet.maxSent)
		})
	}
}

// TestReadingsReachEachNode checks that prompt parts read for one node are known to all
// other nodes within two intervals, wherever they are in the hierarchy.
func TestReadingsReachEachNode(t *testing.T) {
	fleet := newFleet(t, 3, 20, 1)
	fleet.step(2)
	for _, reader := range fleet.order {
		for _, peer := range fleet.order {
			assignment, err := fleet.nodes[peer.VM].selector.Choose(fleet.now, &selector.Demand{
				Service: "pool", Rule: "rule", Engine: true, PromptTokens: 100,
				Candidates: []*registrar.Upstream{{ID: engine, Service: "pool", Slots: 8}},
				Parts:      []selector.Part{{ID: "read-by-" + string(reader.VM), Tokens: 50}},
			})
			assert.NilError(t, err)
			assert.Check(t, hasSuffix(assignment.Basis(), "known=true"), "%s of %s: %s", peer.VM, reader.VM, assignment.Basis())
		}
	}
}

func hasSuffix(text, suffix string) bool {
	return len(text) >= len(suffix) && text[len(text)-len(suffix):] == suffix
}

// TestAggregatorsMayEnd checks that the remaining nodes know of each other again soon
// after aggregators stopped, and all nodes after these have come back.
func TestAggregatorsMayEnd(t *testing.T) {
	fleet := newFleet(t, 4, 20, 3)
	fleet.step(settleIntervals)
	ended := []Peer{fleet.order[0], fleet.order[1], fleet.order[4]}
	for _, peer := range ended {
		delete(fleet.nodes, peer.VM)
	}
	fleet.step(settleIntervals)
	fleet.checkEachKnows(fleet.allOthers)
	for _, peer := range ended {
		fleet.start(peer)
	}
	fleet.step(settleIntervals + int(maxBackoff/interval))
	fleet.checkEachKnows(fleet.allOthers)
}

// TestDataCentresCutOff checks that the nodes of a data centre know of each other while
// it is partitioned from the others, and of all nodes soon after the partition ends.
func TestDataCentresCutOff(t *testing.T) {
	fleet := newFleet(t, 4, 20, 3)
	fleet.step(settleIntervals)
	fleet.isCut = func(from, to definer.VM) bool { return from[0] != to[0] && (from[0] == '1' || to[0] == '1') }
	fleet.step(settleIntervals)
	fleet.checkEachKnows(func(vm definer.VM) int {
		if vm[0] == '1' {
			return 19
		}
		return 6
	})
	fleet.isCut = func(_, _ definer.VM) bool { return false }
	fleet.step(settleIntervals + int(maxBackoff/interval))
	fleet.checkEachKnows(fleet.allOthers)
}

// TestMemberCutFromItsAggregator checks that a node which is the only one that cannot
// reach the aggregator of its group still learns of all other nodes, and that no node
// counts anything twice.
func TestMemberCutFromItsAggregator(t *testing.T) {
	fleet := newFleet(t, 6, 3)
	fleet.step(settleIntervals)
	fleet.isCut = func(from, to definer.VM) bool {
		return from == "0-000" && to == "0-003" || from == "0-003" && to == "0-000"
	}
	fleet.step(settleIntervals)
	fleet.checkEachKnows(fleet.allOthers)
}

// TestReportsDoNotGrowInCircles checks that requests are not counted again and again when
// nodes have different lists of nodes, and so may take each other for the aggregator.
func TestReportsDoNotGrowInCircles(t *testing.T) {
	fleet := newFleet(t, 5, 5)
	for index, peer := range fleet.order {
		known := make([]Peer, 0, len(fleet.order))
		for other := range fleet.order {
			if (index+other)%3 != 0 || other == index {
				known = append(known, fleet.order[other])
			}
		}
		fleet.nodes[peer.VM].Replace(known)
	}
	fleet.step(10 * settleIntervals)
	for _, peer := range fleet.order {
		nodes, _ := fleet.known(fleet.nodes[peer.VM])
		assert.Check(t, nodes < 3*len(fleet.order), "%s counts %d nodes", peer.VM, nodes)
	}
}

// confirmations is a test double with a fixed direct confirmation, which records the
// confirmations it learns.
type confirmations struct {
	version uint64
	at      time.Time
	learnt  []time.Time
}

func (confirmations *confirmations) StoreConfirmation() (uint64, time.Time) {
	return confirmations.version, confirmations.at
}

func (confirmations *confirmations) InForce() uint64 { return confirmations.version }

func (confirmations *confirmations) Learn(_ uint64, at time.Time) {
	confirmations.learnt = append(confirmations.learnt, at)
}

// TestConfirmationsHoldHoweverLate checks that a member never takes the configuration for
// confirmed at a later time than the store confirmed it to the sender, however long
// either report was delayed.
func TestConfirmationsHoldHoweverLate(t *testing.T) {
	for _, delays := range [][2]time.Duration{{0, 0}, {time.Second, 0}, {0, 3 * time.Second}, {2 * time.Second, 2 * time.Second}} {
		for _, age := range []time.Duration{0, 1500 * time.Millisecond, time.Minute} {
			start := time.Now()
			direct := &confirmations{version: 7, at: start.Add(-age)}
			learning := &confirmations{}
			first := Peer{VM: "a", Address: "a"}
			member := Peer{VM: "b", Address: "b"}
			aggregating := New(first, selector.New("west"), nil, WithConfirmations(direct))
			reporting := New(member, selector.New("west"), nil, WithConfirmations(learning))
			aggregating.Replace([]Peer{first, member})
			reporting.Replace([]Peer{first, member})

			asked := reporting.compose(start, memberStage)
			assert.Equal(t, len(asked), 1)
			taken := start.Add(delays[0])
			aggregating.receive(taken, definer.Member{VM: "b"}, asked[0].report)
			direct.at = taken.Add(-age)
			answered := aggregating.compose(taken.Add(20*time.Millisecond), fleetStage)
			assert.Equal(t, len(answered), 1)
			reporting.receive(taken.Add(20*time.Millisecond+delays[1]), definer.Member{VM: "a"}, answered[0].report)

			assert.Equal(t, len(learning.learnt), 1)
			assert.Assert(t, !learning.learnt[0].After(direct.at), "%v later than the confirmation of the store", learning.learnt[0].Sub(direct.at))
			assert.Equal(t, learning.learnt[0].Sub(start), -age)
		}
	}
}

func TestStagesFollowEachOther(t *testing.T) {
	now := time.Unix(1000, 0)
	for stage := memberStage; stage < stageCount; stage++ {
		wait := untilStage(now, stage)
		assert.Assert(t, wait > 0 && wait <= interval)
		now = now.Add(wait)
		assert.Equal(t, time.Duration(now.UnixNano())%interval, time.Duration(stage)*stageInterval)
	}
}

// TestConfirmationsForAnEarlierProcessDoNotCount checks that a restarted node ignores the
// answer to a report of its previous process. The time in that answer is relative to the
// start of the previous process, so it would count as a confirmation far in the future.
func TestConfirmationsForAnEarlierProcessDoNotCount(t *testing.T) {
	first, member := Peer{VM: "a", Address: "a"}, Peer{VM: "b", Address: "b"}
	start := time.Now()
	direct, learning := &confirmations{version: 7, at: start}, &confirmations{}
	aggregating := New(first, selector.New("west"), nil, WithConfirmations(direct))
	aggregating.Replace([]Peer{first, member})
	earlier := New(member, selector.New("west"), nil, WithIncarnation(1))
	earlier.Replace([]Peer{first, member})
	asked := earlier.compose(start.Add(time.Minute), memberStage)
	aggregating.receive(start.Add(time.Minute), definer.Member{VM: "b", Incarnation: 1}, asked[0].report)
	direct.at = start.Add(time.Minute)
	answered := aggregating.compose(start.Add(time.Minute), fleetStage)
	assert.Equal(t, len(answered), 1)

	later := New(member, selector.New("west"), nil, WithIncarnation(2), WithConfirmations(learning))
	later.start = start.Add(time.Minute)
	later.Replace([]Peer{first, member})
	later.compose(start.Add(time.Minute), memberStage)
	later.receive(start.Add(time.Minute), definer.Member{VM: "a"}, answered[0].report)
	assert.Equal(t, len(learning.learnt), 0, "%v", learning.learnt)
}
