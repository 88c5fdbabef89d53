package detector_test

import (
	"cmp"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"limpetcleat/definer"
	"limpetcleat/detector"
	"limpetcleat/messenger"
)

// network simulates detectors that exchange messages under a stepped clock, with
// delays, loss, partitions (cut) and suspended nodes (frozen).
type network struct {
	now    time.Time
	nodes  map[definer.VM]*node
	queue  []delivery
	random *rand.Rand
	loss   float64
	cut    func(from, to *node) bool
	sent   func(from, to *node, message messenger.Message)
	listed []detector.Proposal
}

type node struct {
	member        definer.Member
	dataCentre    definer.DataCentre
	detector      *detector.Detector
	nextTick      time.Time
	frozen        bool
	undelivered   []delivery
	gone          []messenger.MemberChange
	pausesNoticed int
}

type delivery struct {
	at       time.Time
	from, to definer.VM
	sender   definer.Member
	message  messenger.Message
}

const step = 5 * time.Millisecond

func newNetwork(dataCentres, perDataCentre int) *network {
	network := &network{now: time.Unix(1000, 0), nodes: make(map[definer.VM]*node), random: rand.New(rand.NewSource(1))}
	for d := range dataCentres {
		for v := range perDataCentre {
			vm := definer.VM(fmt.Sprintf("dc%d-vm%d", d, v))
			network.listed = append(network.listed, detector.Proposal{VM: vm, DataCentre: definer.DataCentre(fmt.Sprintf("dc%d", d)), Address: string(vm)})
		}
	}
	for _, proposal := range network.listed {
		network.start(proposal, 1)
	}
	return network
}

func (network *network) start(proposal detector.Proposal, incarnation definer.Incarnation) *node {
	member := definer.Member{VM: proposal.VM, Incarnation: incarnation}
	node := &node{member: member, dataCentre: proposal.DataCentre, detector: detector.New(member, proposal.DataCentre, proposal.Address, detector.WithForgetAfter(10*time.Second))}
	network.nodes[proposal.VM] = node
	node.nextTick = network.now.Add(time.Duration(network.random.Int63n(int64(100 * time.Millisecond))))
	network.process(node, node.detector.Start(network.now))
	network.process(node, node.detector.Propose(network.now, network.listed))
	return node
}

// process queues the messages of an output and records its other parts.
func (network *network) process(from *node, output detector.Output) {
	from.gone = append(from.gone, output.Departed...)
	if output.Paused {
		from.pausesNoticed++
	}
	for _, outgoing := range output.Messages {
		to := network.nodes[outgoing.To]
		if network.sent != nil {
			network.sent(from, to, outgoing.Message)
		}
		if to == nil || network.random.Float64() < network.loss || network.cut != nil && network.cut(from, to) {
			continue
		}
		delay := time.Duration(1+network.random.Intn(4)) * time.Millisecond
		network.queue = append(network.queue, delivery{at: network.now.Add(delay), from: from.member.VM, to: outgoing.To, sender: from.member, message: outgoing.Message})
	}
}

func (network *network) run(length time.Duration) {
	for end := network.now.Add(length); network.now.Before(end); {
		network.now = network.now.Add(step)
		due := network.queue
		network.queue = nil
		for _, parcel := range due {
			if parcel.at.After(network.now) {
				network.queue = append(network.queue, parcel)
				continue
			}
			network.deliver(parcel)
		}
		for _, node := range network.sorted() {
			if !node.frozen && !network.now.Before(node.nextTick) {
				node.nextTick = network.now.Add(node.detector.Interval())
				network.process(node, node.detector.Tick(network.now))
			}
		}
	}
}

func (network *network) deliver(parcel delivery) {
	to, ok := network.nodes[parcel.to]
	switch {
	case !ok:
	case to.frozen:
		to.undelivered = append(to.undelivered, parcel)
	default:
		network.process(to, to.detector.Receive(network.now, parcel.sender, parcel.message))
	}
}

func (network *network) resume(node *node) {
	node.frozen = false
	waiting := node.undelivered
	node.undelivered = nil
	for _, parcel := range waiting {
		network.deliver(parcel)
	}
}

func (network *network) sorted() []*node {
	var nodes []*node
	for _, node := range network.nodes {
		nodes = append(nodes, node)
	}
	slices.SortFunc(nodes, func(a, b *node) int { return cmp.Compare(a.member.VM, b.member.VM) })
	return nodes
}

// sees reports whether a node counts a member, in the same incarnation, as alive or
// suspected.
func (node *node) sees(member definer.Member) bool {
	return slices.ContainsFunc(node.detector.Members(), func(change messenger.MemberChange) bool { return change.Member == member })
}

// converged reports whether every running node sees exactly the running nodes.
func (network *network) converged() bool {
	running := make(map[definer.Member]bool)
	for _, node := range network.nodes {
		if !node.frozen {
			running[node.member] = true
		}
	}
	for _, node := range network.nodes {
		members := node.detector.Members()
		if node.frozen {
			continue
		}
		for _, member := range members {
			if !running[member.Member] {
				return false
			}
		}
		if len(members) != len(running) {
			return false
		}
	}
	return true
}

// runUntil runs until the condition holds and returns the time that it took. It
// fails the test after bound.
func (network *network) runUntil(t *testing.T, bound time.Duration, holds func() bool) time.Duration {
	t.Helper()
	began := network.now
	for !holds() {
		if network.now.Sub(began) > bound {
			t.Fatalf("not reached within %v", bound)
		}
		network.run(step)
	}
	return network.now.Sub(began)
}
