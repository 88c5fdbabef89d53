package detector

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// checkWatched probes and suspects silent members that this node watches, and fails
// any member that stays suspected.
func (detector *Detector) checkWatched(now time.Time) {
	for _, vm := range detector.watched(now) {
		peer := detector.peers[vm]
		switch {
		case peer.probedAt.IsZero() && now.Sub(peer.lastHeard) >= detector.timeout(probeAfterEighths):
			detector.probe(now, vm)
		case !peer.probedAt.IsZero() && now.Sub(peer.probedAt) >= detector.timeout(suspectAfterEighths) && peer.change.State == messenger.Alive:
			detector.setState(now, vm, messenger.Suspect)
			detector.send(vm, &messenger.Heartbeat{Answer: true, Sequence: detector.nextSequence(), Changes: detector.selectChanges(vm)})
		}
	}
	for _, vm := range detector.withState(messenger.Suspect) {
		peer := detector.peers[vm]
		quiet := now.Sub(later(peer.stateSince, peer.lastHeard))
		if quiet >= detector.timeout(failAfterEighths) {
			detector.setState(now, vm, messenger.Failed)
		}
	}
}

// setState changes the state of a member and gossips the change.
func (detector *Detector) setState(now time.Time, vm definer.VM, state messenger.MemberState) {
	change := detector.peers[vm].change
	change.State = state
	if detector.apply(now, change) {
		detector.disseminate(change)
	}
}

// probe asks a silent member for an answer, directly and through other members.
func (detector *Detector) probe(now time.Time, vm definer.VM) {
	detector.peers[vm].probedAt, detector.peers[vm].firstProbe = now, detector.lastSequence+1
	detector.send(vm, &messenger.Heartbeat{Answer: true, Sequence: detector.nextSequence(), Changes: detector.selectChanges(vm)})
	asked := 0
	for _, helper := range detector.targets() {
		if helper != vm && asked < maxIndirectProbes {
			asked++
			detector.send(helper, &messenger.Heartbeat{Target: vm, Sequence: detector.nextSequence(), Changes: detector.selectChanges(helper)})
		}
	}
}

// recordContact records that a message from a member was received.
func (detector *Detector) recordContact(now time.Time, from definer.Member) {
	if peer, ok := detector.peers[from.VM]; ok && peer.change.Member == from {
		peer.lastHeard, peer.probedAt = now, time.Time{}
	}
}

// respond forwards a heartbeat that probes another member, answers one that asks
// for an answer, and tells its sender when this node holds it for suspected or
// failed, so that it can refute that.
func (detector *Detector) respond(now time.Time, from definer.Member, heartbeat *messenger.Heartbeat) {
	known, ok := detector.peers[from.VM]
	switch {
	case detector.self.State == messenger.Left:
	case heartbeat.Target != "":
		sequence := detector.nextSequence()
		detector.relays[sequence] = relay{asker: from.VM, sequence: heartbeat.Sequence, target: heartbeat.Target, sentAt: now}
		detector.send(heartbeat.Target, &messenger.Heartbeat{Answer: true, Sequence: sequence, Changes: detector.selectChanges(heartbeat.Target)})
	case heartbeat.Answer:
		changes := append([]messenger.MemberChange{detector.self}, detector.selectChanges(from.VM)...)
		if heartbeat.Sync {
			changes = detector.snapshot()
		}
		detector.send(from.VM, &messenger.HeartbeatAnswer{Sequence: heartbeat.Sequence, Changes: changes})
	case ok && known.change.Member == from && known.change.State != messenger.Alive:
		detector.send(from.VM, &messenger.Heartbeat{Changes: []messenger.MemberChange{detector.self, known.change}})
	}
}

// handleAnswer processes an answer and forwards it to the member for which the
// probe was made, if any.
func (detector *Detector) handleAnswer(now time.Time, from definer.Member, answer *messenger.HeartbeatAnswer) {
	if answer.Target != "" {
		if peer, ok := detector.peers[answer.Target]; ok && detector.provesLife(peer, answer) {
			peer.lastHeard, peer.probedAt = now, time.Time{}
		}
		return
	}
	detector.recordContact(now, from)
	if relay, ok := detector.relays[answer.Sequence]; ok && relay.target == from.VM {
		delete(detector.relays, answer.Sequence)
		detector.send(relay.asker, &messenger.HeartbeatAnswer{Sequence: relay.sequence, Target: from.VM, Changes: answer.Changes[:min(len(answer.Changes), maxPiggybacked)]})
	}
}

// provesLife reports whether a relayed answer is that of the member to its present probe. A member that answers puts
// its own entry first.
func (detector *Detector) provesLife(peer *peer, answer *messenger.HeartbeatAnswer) bool {
	answersProbe := !peer.probedAt.IsZero() && answer.Sequence >= peer.firstProbe && answer.Sequence <= detector.lastSequence
	return answersProbe && len(answer.Changes) > 0 && answer.Changes[0].Member == peer.change.Member
}

// runPeriod sends the heartbeats of one period.
func (detector *Detector) runPeriod(now time.Time) {
	detector.periods++
	detector.immediateRounds = min(detector.immediateRounds+1, maxImmediateRounds)
	detector.removeStale(now)
	for _, vm := range detector.targets() {
		detector.send(vm, &messenger.Heartbeat{Changes: detector.selectChanges(vm)})
	}
	if detector.knowsTooFew() {
		detector.contactUnreachable()
		return
	}
	// The first answer lacks nodes that started at the same time as this one.
	if targets := detector.targets(); detector.periods == resyncPeriod && len(targets) > 0 {
		detector.contact(targets[0], true)
	}
	if detector.periods%reviveEvery == 0 {
		if vm, ok := detector.chooseInTurn(detector.unreachable()); ok {
			detector.contact(vm, false)
		}
	}
	if detector.periods%syncEvery == 0 {
		// A neighbour on the ring is chosen since a connection to it is open.
		if vm, ok := detector.chooseInTurn(detector.targets()); ok {
			detector.send(vm, &messenger.Heartbeat{Answer: true, Sequence: detector.nextSequence(), Changes: detector.nextReconciled()})
		}
	}
}

// unreachable returns the failed members and the proposed members that never
// answered, sorted by name.
func (detector *Detector) unreachable() []definer.VM {
	vms := detector.withState(messenger.Failed)
	for vm := range detector.proposals {
		if _, ok := detector.peers[vm]; !ok {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// withState returns the members in a state, sorted by name.
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

// knowsTooFew reports whether the live members are fewer than half of the proposed
// ones.
func (detector *Detector) knowsTooFew() bool {
	living := 0
	for _, peer := range detector.peers {
		if live(peer.change.State) {
			living++
		}
	}
	return living*2 < len(detector.proposals)
}

// chooseInTurn returns one of the members and moves on every reviveEvery periods,
// in a rotation that begins elsewhere on each node. It reports false if there are
// no members.
func (detector *Detector) chooseInTurn(vms []definer.VM) (definer.VM, bool) {
	if len(vms) == 0 {
		return "", false
	}
	return vms[(detector.offset()+detector.periods/reviveEvery)%uint64(len(vms))], true
}

// offset returns a hash of the node's name, so that nodes begin a rotation at
// different members. It is halved so that adding to it does not overflow.
func (detector *Detector) offset() uint64 {
	return xxhash.Sum64String(string(detector.self.Member.VM)) >> 1
}

// contactUnreachable contacts a few of the unreachable members of this data centre
// and a few of the others.
func (detector *Detector) contactUnreachable() {
	lost := detector.unreachable()
	local, remote := 0, 0
	few := detector.knowsTooFew()
	for step := range lost {
		vm := lost[(detector.offset()+detector.periods+uint64(step))%uint64(len(lost))]
		near := detector.proposals[vm].DataCentre == detector.self.DataCentre
		switch {
		case near && local < firstContacts:
			local++
		case !near && remote < firstContacts:
			remote++
		default:
			continue
		}
		// One full snapshot is enough; if it is lost, the next period asks again.
		detector.contact(vm, few && local+remote == 1)
	}
}

// contact sends a member this node's own entry and what it knows of that member,
// and asks for an answer; sync asks for all members that the other one knows.
func (detector *Detector) contact(vm definer.VM, sync bool) {
	changes := []messenger.MemberChange{detector.self}
	if peer, ok := detector.peers[vm]; ok {
		changes = append(changes, peer.change)
	}
	detector.send(vm, &messenger.Heartbeat{Answer: true, Sync: sync, Sequence: detector.nextSequence(), Changes: changes})
}

// removeStale removes members that are neither live nor proposed after forgetAfter,
// and relays after a period.
func (detector *Detector) removeStale(now time.Time) {
	for vm, peer := range detector.peers {
		_, listed := detector.proposals[vm]
		if !listed && !live(peer.change.State) && now.Sub(peer.stateSince) > detector.settings.forgetAfter {
			delete(detector.peers, vm)
		}
	}
	for sequence, relay := range detector.relays {
		if now.Sub(relay.sentAt) > detector.period() {
			delete(detector.relays, sequence)
		}
	}
}

// nextSequence returns the sequence number for the next heartbeat that asks for an
// answer.
func (detector *Detector) nextSequence() uint64 {
	detector.lastSequence++
	return detector.lastSequence
}

// send adds a message to the output if the member's address is known. For a member
// that is not live, the address on the platform's list goes first.
func (detector *Detector) send(vm definer.VM, message messenger.Message) {
	address := detector.proposals[vm].Address
	if peer, ok := detector.peers[vm]; ok && (live(peer.change.State) || address == "") {
		address = peer.change.Address
	}
	if address != "" {
		detector.output.Messages = append(detector.output.Messages, Outgoing{To: vm, Address: address, Message: message})
	}
}

// flush sends urgent changes at once while immediateRounds allows it, and returns
// and resets the collected output.
func (detector *Detector) flush() Output {
	if detector.urgent && detector.immediateRounds > 0 && !detector.lastTick.IsZero() {
		detector.urgent = false
		if targets := detector.targets(); len(targets) > 0 {
			detector.immediateRounds--
			for _, vm := range targets {
				detector.send(vm, &messenger.Heartbeat{Changes: detector.selectChanges(vm)})
			}
		}
	}
	output := detector.output
	detector.output = Output{}
	return output
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
