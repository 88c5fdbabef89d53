package corroborator_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/corroborator"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// modelNode is a node of the model: its table, and the requests that it runs.
type modelNode struct {
	*corroborator.Corroborator
	vm         definer.VM
	dataCentre int
	// head is the aggregator of its group; members are those of an aggregator.
	head    *modelNode
	members []*modelNode
	// probeFrom is the begin of this node's turn by upstream, pausedUntil when it tries an upstream
	// again that refused a request of its own, streamUntil the end of its last stream there.
	probeFrom, pausedUntil, streamUntil map[int]time.Time
	// heard is when something last came from an upstream, to this node or to one that reports to it.
	heard map[int]time.Time
}

// model is a fleet of nodes that exchange reports in groups as package exchanger does: members,
// aggregators and members again, 8 ms apart, ten times a second.
type model struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	nodes  []*modelNode
	// rate is the number of requests of a node in a second; upstreams is how many there are.
	rate      float64
	upstreams int
	starts    []definer.UpstreamStart
	// reaches reports whether a connection from a node to an upstream is accepted, linked
	// whether messages from one node reach another.
	reaches func(node *modelNode, upstream int) bool
	linked  func(from, to *modelNode) bool
	// refusals are the attempts that were refused, and late those among them made since lateFrom.
	refusals, late int
	lateFrom       time.Time
	attempts       map[int][]time.Time
	// messages counts the reports with evidence, most is the largest number of items in one.
	messages, items, most int
	unserved, served      int
}

func number(start definer.UpstreamStart) (number int) {
	_, _ = fmt.Sscanf(string(start.Upstream), "i-%d", &number)
	return number
}

func newModel(t *testing.T, count, upstreams int, rate float64) *model {
	model := &model{t: t, now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, uint64(count))), rate: rate, upstreams: upstreams, attempts: make(map[int][]time.Time)}
	model.reaches = func(*modelNode, int) bool { return true }
	model.linked = func(*modelNode, *modelNode) bool { return true }
	for upstream := range upstreams {
		model.starts = append(model.starts, start(upstream))
	}
	heads := make(map[[2]int]*modelNode)
	var vms []definer.VM
	for place := range count {
		node := &modelNode{vm: definer.VM(fmt.Sprintf("entry-%d", place)), dataCentre: place % 3, probeFrom: make(map[int]time.Time), pausedUntil: make(map[int]time.Time), streamUntil: make(map[int]time.Time), heard: make(map[int]time.Time)}
		node.Corroborator = corroborator.New(node.vm, corroborator.WithProbes(func(start definer.UpstreamStart, from, _ time.Time) {
			node.probeFrom[number(start)] = from
		}), corroborator.WithChanges(func(_ time.Time, change corroborator.Change) {
			delete(node.probeFrom, number(change.Start))
		}))
		group := [2]int{place % 3, place / 3 / 16}
		if heads[group] == nil {
			heads[group] = node
		}
		node.head = heads[group]
		node.head.members = append(node.head.members, node)
		model.nodes, vms = append(model.nodes, node), append(vms, node.vm)
	}
	for _, node := range model.nodes {
		node.SetNodes(vms)
	}
	return model
}

// request has a node send one request: to an upstream whose probe is due, else to a random one that
// it does not avoid, until one accepts it.
func (model *model) request(node *modelNode) {
	probes := slices.Sorted(maps.Keys(node.probeFrom))
	for _, upstream := range append(probes, model.random.Perm(model.upstreams)...) {
		if !model.uses(node, upstream) {
			continue
		}
		delete(node.probeFrom, upstream)
		if model.reaches(node, upstream) {
			node.streamUntil[upstream] = model.now.Add(2 * time.Second)
			model.served++
			return
		}
		model.fail(node, upstream)
	}
	model.unserved++
}

// uses reports whether a node may send a request to an upstream: it does not avoid it, or has to
// probe it.
func (model *model) uses(node *modelNode, upstream int) bool {
	if from, ok := node.probeFrom[upstream]; ok && !model.now.Before(from) {
		return true
	}
	_, lost := node.Presumed(model.now, model.starts[upstream])
	return !lost && !model.now.Before(node.pausedUntil[upstream])
}

// send delivers a node's next report of a scope, with the signs of life of its own streams and, in
// the later stages, of those of its members and of the other groups.
func (model *model) send(from *modelNode, scope messenger.LoadScope, targets []*modelNode) {
	report := &messenger.LoadReport{Scope: scope, Evidence: from.NextReport(model.now, scope)}
	if scope == messenger.MemberLoad {
		for upstream, until := range from.streamUntil {
			if model.now.Before(until) && model.reaches(from, upstream) {
				from.heard[upstream] = model.now.Add(-5 * ms)
				from.RecordSignOfLife(model.now, model.starts[upstream])
			}
		}
	}
	for _, upstream := range slices.Sorted(maps.Keys(from.heard)) {
		if age := model.now.Sub(from.heard[upstream]); age < 300*ms {
			start := model.starts[upstream]
			report.Loads = append(report.Loads, messenger.UpstreamLoad{Upstream: start.Upstream, Incarnation: start.Incarnation, HasHeard: true, Heard: age})
		}
	}
	for _, target := range targets {
		if target == from || !model.linked(from, target) {
			continue
		}
		target.Learn(model.now.Add(2*ms), from.vm, report)
		if scope != messenger.FleetLoad {
			for upstream, at := range from.heard {
				if at.After(target.heard[upstream]) {
					target.heard[upstream] = at
				}
			}
		}
		if len(report.Evidence) > 0 {
			model.messages, model.items, model.most = model.messages+1, model.items+len(report.Evidence), max(model.most, len(report.Evidence))
		}
	}
}

// fail records a refused connection of a node at an upstream.
func (model *model) fail(node *modelNode, upstream int) {
	model.refusals++
	if !model.lateFrom.IsZero() && model.now.After(model.lateFrom) {
		model.late++
		model.attempts[upstream] = append(model.attempts[upstream], model.now)
	}
	node.pausedUntil[upstream] = model.now.Add(500 * ms)
	node.RecordFailure(model.now, model.starts[upstream], messenger.EvidenceRefused)
}

// breakStreams has each node examine the upstreams at which its streams broke, as the forwarder
// does.
func (model *model) breakStreams() {
	for _, node := range model.nodes {
		for _, upstream := range slices.Sorted(maps.Keys(node.streamUntil)) {
			if model.now.Before(node.streamUntil[upstream]) && !model.reaches(node, upstream) {
				delete(node.streamUntil, upstream)
				model.fail(node, upstream)
			}
		}
	}
}

// run plays the span in steps of 4 ms.
func (model *model) run(span time.Duration) {
	var heads []*modelNode
	for _, node := range model.nodes {
		if node.head == node {
			heads = append(heads, node)
		}
	}
	for end := model.now.Add(span); model.now.Before(end); model.now = model.now.Add(4 * ms) {
		stage := model.now.UnixMilli() % 100 / 4
		for _, node := range model.nodes {
			if model.random.Float64() < model.rate*0.004 {
				model.request(node)
			}
			if stage == 0 {
				model.send(node, messenger.MemberLoad, []*modelNode{node.head})
			}
		}
		for _, head := range heads {
			switch stage {
			case 2:
				model.send(head, messenger.GroupLoad, heads)
			case 4:
				model.send(head, messenger.FleetLoad, head.members)
			}
		}
	}
}

// avoided counts the pairs of a node and an upstream of those that the node presumes lost.
func (model *model) avoided(upstream func(int) bool, node func(*modelNode) bool) (lost, all int) {
	for _, known := range model.nodes {
		for number := range model.upstreams {
			if !node(known) || !upstream(number) {
				continue
			}
			all++
			if _, presumed := known.Presumed(model.now, model.starts[number]); presumed {
				lost++
			}
		}
	}
	return lost, all
}

func anyNode(*modelNode) bool { return true }

func third(number int) bool { return number%3 == 0 }

// TestCostOfManyLosses measures the bytes of an item of evidence, in the encoding of messages, and the
// memory of 10,000 lost upstreams. It guards against growth beyond the small VMs' means.
func TestCostOfManyLosses(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	self, now := corroborator.New("entry-skopje-11"), time.Unix(1000, 0)
	for upstream := range 10000 {
		items := report(evidence(upstream, "entry-skopje-12", messenger.EvidenceRefused, 0))
		self.Learn(now, "entry-skopje-13", items)
		self.RecordFailure(now, start(upstream), messenger.EvidenceRefused)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	var encoded bytes.Buffer
	encoder := gob.NewEncoder(&encoded)
	assert.NilError(t, encoder.Encode(report(self.NextReport(now, messenger.GroupLoad)...)))
	first := encoded.Len()
	items := self.NextReport(now.Add(100*ms), messenger.GroupLoad)
	assert.NilError(t, encoder.Encode(report(items...)))
	perItem, memory := (encoded.Len()-first)/len(items), after.HeapAlloc-before.HeapAlloc
	t.Logf("%d items in a report, %d bytes each; %d KB for 10,000 lost upstreams", len(items), perItem, memory>>10)
	assert.Check(t, perItem <= 60 && len(items) <= 128 && memory < 16<<20)
	assert.Equal(t, len(self.List(now)), 10000)
}

func dataCentreOf(upstream int) int { return upstream % 3 }

func forSizes(t *testing.T, play func(t *testing.T, model *model)) {
	for _, size := range []struct {
		nodes, upstreams int
		rate             float64
	}{{8, 60, 100}, {88, 98, 10}, {986, largestUpstreams, 5}} {
		t.Run(fmt.Sprint(size.nodes), func(t *testing.T) { play(t, newModel(t, size.nodes, size.upstreams, size.rate)) })
	}
}

// waitUntil plays until the condition holds, at most for the span, and returns how long that took.
func (model *model) waitUntil(span time.Duration, holds func() bool) time.Duration {
	begun := model.now
	for !holds() && model.now.Sub(begun) < span {
		model.run(20 * ms)
	}
	return model.now.Sub(begun)
}

// mostInSecond returns the largest number of late attempts at one lost upstream within a second.
func (model *model) mostInSecond() (most int) {
	for _, attempts := range model.attempts {
		first := 0
		for last, at := range attempts {
			for at.Sub(attempts[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
	}
	return most
}

// TestThirdLostAtOnce loses a third of the upstreams in a burst and has them return. It guards
// against nodes that each find the losses for themselves (4,433 refused connections were counted on
// 88 nodes), against probes by all nodes, and against upstreams that stay avoided.
func TestThirdLostAtOnce(t *testing.T) {
	forSizes(t, func(t *testing.T, model *model) {
		model.run(2037 * ms)
		gone := true
		model.reaches = func(_ *modelNode, upstream int) bool { return !gone || !third(upstream) }
		model.breakStreams()
		complete := model.waitUntil(2*time.Second, func() bool {
			lost, all := model.avoided(third, anyNode)
			return lost*100 >= all*99
		})
		early := model.refusals
		model.lateFrom = model.now.Add(100 * ms)
		model.run(4 * time.Second)
		gone = false
		back := model.waitUntil(6*time.Second, func() bool {
			lost, _ := model.avoided(third, anyNode)
			return lost == 0
		})
		nodes := len(model.nodes)
		t.Logf("%d nodes, a third of %d upstreams: avoided after %v, %d refused until then and %d in the next 4 s, at most %d in a second at one; back after %v; %d messages with %d items, at most %d; %d of %d unserved",
			nodes, model.upstreams, complete, early, model.late, model.mostInSecond(), back, model.messages, model.items, model.most, model.unserved, model.served+model.unserved)
		assert.Check(t, complete <= 300*ms)
		assert.Check(t, model.mostInSecond() <= 4)
		assert.Check(t, back <= 5*time.Second)
		assert.Check(t, model.unserved == 0)
	})
}

// longestAvoidance plays the span and returns for how long at most a node avoided an upstream that it
// reaches. Of a large fleet it looks at some hundred nodes.
func (model *model) longestAvoidance(span time.Duration) (longest time.Duration) {
	type pair struct {
		node     *modelNode
		upstream int
	}
	since := make(map[pair]time.Time)
	model.waitUntil(span, func() bool {
		for place := 0; place < len(model.nodes); place += 1 + len(model.nodes)/100 {
			node := model.nodes[place]
			for upstream := range model.upstreams {
				key := pair{node, upstream}
				_, lost := node.Presumed(model.now, model.starts[upstream])
				if !lost || !model.reaches(node, upstream) {
					delete(since, key)
					continue
				}
				if _, ok := since[key]; !ok {
					since[key] = model.now
				}
				longest = max(longest, model.now.Sub(since[key]))
			}
		}
		return false
	})
	return longest
}

// TestOneNodeCutOff has one node report every upstream as refused. It guards against one faulty view
// that keeps all other nodes from upstreams that are alive.
func TestOneNodeCutOff(t *testing.T) {
	forSizes(t, func(t *testing.T, model *model) {
		model.run(300 * ms)
		model.reaches = func(node *modelNode, _ int) bool { return node != model.nodes[1] }
		model.breakStreams()
		assert.Equal(t, model.longestAvoidance(1500*ms), time.Duration(0))
	})
}

// TestDataCentreCutOff cuts a data centre off from the others, with or without the messages between
// nodes, and heals it. It guards against evidence of nodes behind a partition that keeps others
// from upstreams that are alive.
func TestDataCentreCutOff(t *testing.T) {
	forSizes(t, func(t *testing.T, model *model) {
		for _, silent := range []bool{true, false} {
			cut := true
			apart := func(left, right int) bool { return cut && (left == 0) != (right == 0) }
			model.reaches = func(node *modelNode, upstream int) bool { return !apart(node.dataCentre, dataCentreOf(upstream)) }
			model.linked = func(from, to *modelNode) bool { return !silent || !apart(from.dataCentre, to.dataCentre) }
			model.breakStreams()
			during := model.longestAvoidance(1500 * ms)
			cut = false
			after := model.longestAvoidance(1500 * ms)
			t.Logf("%d nodes, messages cut %t: a node avoids an upstream that it reaches for at most %v during the partition, %v after it", len(model.nodes), silent, during, after)
			assert.Check(t, during <= time.Second)
			assert.Check(t, after <= time.Second)
		}
	})
}
