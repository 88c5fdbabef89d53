package detector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// watch probes, suspects and fails silent members.
func (detector *Detector) watch(now time.Time) {
	for _, vm := range detector.watched(now) {
		peer := detector.peers[vm]
		switch {
		case peer.probed.IsZero() && now.Sub(peer.heard) >= detector.part(silentFor):
			detector.probe(now, vm)
		case !peer.probed.IsZero() && now.Sub(peer.probed) >= detector.part(probedFor) && peer.change.State == messenger.Alive:
			detector.judge(now, vm, messenger.Suspect)
			detector.send(vm, &messenger.Heartbeat{Answer: true, Sequence: detector.number(), Changes: detector.pick(vm)})
		}
	}
	for _, vm := range detector.withState(messenger.Suspect) {
		peer := detector.peers[vm]
		quiet := now.Sub(latest(peer.since, peer.heard))
		if quiet >= detector.part(suspectedFor) {
			detector.judge(now, vm, messenger.Failed)
		}
	}
}

// judge changes the state of a member and spreads it.
func (detector *Detector) judge(now time.Time, vm definer.VM, state messenger.MemberState) {
	change := detector.peers[vm].change
	change.State = state
	if detector.apply(now, change) {
		detector.spread(change)
	}
}

// probe asks a silent member for a word, directly and through others.
func (detector *Detector) probe(now time.Time, vm definer.VM) {
	detector.peers[vm].probed = now
	detector.send(vm, &messenger.Heartbeat{Answer: true, Sequence: detector.number(), Changes: detector.pick(vm)})
	asked := 0
	for _, helper := range detector.targets() {
		if helper != vm && asked < helpers {
			asked++
			detector.send(helper, &messenger.Heartbeat{Target: vm, Sequence: detector.number(), Changes: detector.pick(helper)})
		}
	}
}

// hear notes a word from a member.
func (detector *Detector) hear(now time.Time, from definer.Member) {
	if peer, ok := detector.peers[from.VM]; ok && peer.change.Member == from {
		peer.heard, peer.probed = now, time.Time{}
	}
}

// respond answers a heartbeat where it wants an answer, and tells a member
// that is held for dead.
func (detector *Detector) respond(now time.Time, from definer.Member, heartbeat *messenger.Heartbeat) {
	known, ok := detector.peers[from.VM]
	switch {
	case detector.self.State == messenger.Left:
	case heartbeat.Target != "":
		number := detector.number()
		detector.relays[number] = relay{asker: from.VM, sequence: heartbeat.Sequence, target: heartbeat.Target, at: now}
		detector.send(heartbeat.Target, &messenger.Heartbeat{Answer: true, Sequence: number, Changes: detector.pick(heartbeat.Target)})
	case heartbeat.Answer:
		changes := append([]messenger.MemberChange{detector.self}, detector.pick(from.VM)...)
		if heartbeat.Sync {
			changes = detector.table()
		}
		detector.send(from.VM, &messenger.HeartbeatAnswer{Sequence: heartbeat.Sequence, Changes: changes})
	case ok && known.change.Member == from && known.change.State != messenger.Alive:
		detector.send(from.VM, &messenger.Heartbeat{Changes: []messenger.MemberChange{detector.self, known.change}})
	}
}

// answered takes in an answer and hands it on if it was wanted for another.
func (detector *Detector) answered(now time.Time, from definer.Member, answer *messenger.HeartbeatAnswer) {
	if answer.Target != "" {
		if peer, ok := detector.peers[answer.Target]; ok {
			peer.heard, peer.probed = now, time.Time{}
		}
		return
	}
	detector.hear(now, from)
	if relay, ok := detector.relays[answer.Sequence]; ok && relay.target == from.VM {
		delete(detector.relays, answer.Sequence)
		detector.send(relay.asker, &messenger.HeartbeatAnswer{Sequence: relay.sequence, Target: from.VM, Changes: answer.Changes[:min(len(answer.Changes), maxChanges)]})
	}
}

// beat sends the heartbeats of one period.
func (detector *Detector) beat(now time.Time) {
	detector.beats++
	detector.pushes = min(detector.pushes+1, maxPushes)
	detector.forget(now)
	for _, vm := range detector.targets() {
		detector.send(vm, &messenger.Heartbeat{Changes: detector.pick(vm)})
	}
	if detector.few() {
		detector.greet()
		return
	}
	// Others that start at the same time were not in the first answer.
	if targets := detector.targets(); detector.beats == settleBeats && len(targets) > 0 {
		detector.hello(targets[0], true)
	}
	if detector.beats%reviveEvery == 0 {
		if vm, ok := detector.choose(detector.lost()); ok {
			detector.hello(vm, false)
		}
	}
	if detector.beats%syncEvery == 0 {
		// A neighbour will do, to which a connection is open.
		if vm, ok := detector.choose(detector.targets()); ok {
			detector.send(vm, &messenger.Heartbeat{Answer: true, Sequence: detector.number(), Changes: detector.slice()})
		}
	}
}

// lost returns whom the node would like to hear from: members taken for dead
// and proposals that never answered.
func (detector *Detector) lost() []definer.VM {
	vms := detector.withState(messenger.Failed)
	for vm := range detector.proposals {
		if _, ok := detector.peers[vm]; !ok {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// withState returns the members of a state by name.
func (detector *Detector) withState(state messenger.MemberState) []definer.VM {
	var vms []definer.VM
	for vm, peer := range detector.peers {
		if peer.change.State == state {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// few tells whether the node knows less than half of the proposed members.
func (detector *Detector) few() bool {
	living := 0
	for _, peer := range detector.peers {
		if live(peer.change.State) {
			living++
		}
	}
	return living*2 < len(detector.proposals)
}

// choose returns one of the members, another one each time, in an order of this
// node's own.
func (detector *Detector) choose(vms []definer.VM) (definer.VM, bool) {
	if len(vms) == 0 {
		return "", false
	}
	return vms[(detector.offset()+detector.beats/reviveEvery)%uint64(len(vms))], true
}

// offset spreads what the nodes choose; it leaves room to count on from it.
func (detector *Detector) offset() uint64 {
	return xxhash.Sum64String(string(detector.self.Member.VM)) >> 1
}

// greet makes itself known to some of the proposals that it does not know.
func (detector *Detector) greet() {
	lost := detector.lost()
	local, remote := 0, 0
	few := detector.few()
	for step := range lost {
		vm := lost[(detector.offset()+detector.beats+uint64(step))%uint64(len(lost))]
		near := detector.proposals[vm].DataCentre == detector.self.DataCentre
		switch {
		case near && local < firstContacts:
			local++
		case !near && remote < firstContacts:
			remote++
		default:
			continue
		}
		// One full answer is enough; the next period asks again if it is lost.
		detector.hello(vm, few && local+remote == 1)
	}
}

// hello makes this node known to a member and asks for its beliefs, all of them
// when this node has few.
func (detector *Detector) hello(vm definer.VM, sync bool) {
	changes := []messenger.MemberChange{detector.self}
	if peer, ok := detector.peers[vm]; ok {
		changes = append(changes, peer.change)
	}
	detector.send(vm, &messenger.Heartbeat{Answer: true, Sync: sync, Sequence: detector.number(), Changes: changes})
}

// forget drops members that are gone, silent and not listed, and old relays.
func (detector *Detector) forget(now time.Time) {
	for vm, peer := range detector.peers {
		_, listed := detector.proposals[vm]
		if !listed && !live(peer.change.State) && now.Sub(peer.since) > detector.settings.forgetAfter {
			delete(detector.peers, vm)
		}
	}
	for number, relay := range detector.relays {
		if now.Sub(relay.at) > detector.period() {
			delete(detector.relays, number)
		}
	}
}

func (detector *Detector) number() uint64 {
	detector.probes++
	return detector.probes
}

// send adds a message to the output if the member's address is known. A member
// taken for dead is sought where the platform's list has it.
func (detector *Detector) send(vm definer.VM, message messenger.Message) {
	address := detector.proposals[vm].Address
	if peer, ok := detector.peers[vm]; ok && (live(peer.change.State) || address == "") {
		address = peer.change.Address
	}
	if address != "" {
		detector.output.Messages = append(detector.output.Messages, Outgoing{To: vm, Address: address, Message: message})
	}
}

// flush pushes urgent changes while it may and returns the output of the step.
func (detector *Detector) flush() Output {
	if detector.urgent && detector.pushes > 0 && !detector.lastTick.IsZero() {
		detector.urgent = false
		if targets := detector.targets(); len(targets) > 0 {
			detector.pushes--
			for _, vm := range targets {
				detector.send(vm, &messenger.Heartbeat{Changes: detector.pick(vm)})
			}
		}
	}
	output := detector.output
	detector.output = Output{}
	return output
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
