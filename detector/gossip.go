package detector

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// rumour is a change that is still gossiped.
type rumour struct {
	change messenger.MemberChange
	// sent counts the heartbeats that carried the change.
	sent int
}

// disseminate gossips a change and marks it as urgent.
func (detector *Detector) disseminate(change messenger.MemberChange) {
	detector.rumours[change.Member.VM] = &rumour{change: change}
	detector.urgent = true
}

// selectChanges returns the changes for one heartbeat to a member: first its own
// state unless that is alive, so that it can refute it, then the changes that were
// sent least often.
func (detector *Detector) selectChanges(to definer.VM) []messenger.MemberChange {
	var changes []messenger.MemberChange
	if peer, ok := detector.peers[to]; ok && peer.change.State != messenger.Alive {
		changes = append(changes, peer.change)
	}
	vms := slices.Collect(maps.Keys(detector.rumours))
	slices.SortFunc(vms, func(a, b definer.VM) int {
		return cmp.Or(cmp.Compare(detector.rumours[a].sent, detector.rumours[b].sent), cmp.Compare(a, b))
	})
	bound := retransmits * bits.Len(uint(len(detector.peers)+1))
	for _, vm := range vms[:min(len(vms), maxPiggybacked)] {
		rumour := detector.rumours[vm]
		rumour.sent++
		if rumour.sent >= bound {
			delete(detector.rumours, vm)
		}
		if vm != to {
			changes = append(changes, rumour.change)
		}
	}
	return changes
}

// nextReconciled returns this node's own entry and the next maxReconciled known
// members in turn.
func (detector *Detector) nextReconciled() []messenger.MemberChange {
	vms := sortedKeys(detector.peers)
	changes := []messenger.MemberChange{detector.self}
	for range min(len(vms), maxReconciled) {
		detector.cursor = (detector.cursor + 1) % len(vms)
		changes = append(changes, detector.peers[vms[detector.cursor]].change)
	}
	return changes
}

// snapshot returns this node's own entry and all known members, up to maxSnapshot
// in all.
func (detector *Detector) snapshot() []messenger.MemberChange {
	changes := []messenger.MemberChange{detector.self}
	for _, vm := range sortedKeys(detector.peers) {
		if len(changes) < maxSnapshot {
			changes = append(changes, detector.peers[vm].change)
		}
	}
	return changes
}

// receiveChanges applies received changes and gossips those that are new. Changes
// from a bulk answer are not gossiped, since other members know them already.
func (detector *Detector) receiveChanges(now time.Time, changes []messenger.MemberChange) {
	bulk := len(changes) > maxReconciled+maxPiggybacked
	for _, change := range changes {
		if change.Member.VM == detector.self.Member.VM {
			detector.refute(change)
			continue
		}
		if detector.apply(now, change) && !bulk {
			detector.disseminate(change)
		}
	}
}

// refute announces this node again, with a higher sequence number, if a change
// holds a wrong state for this incarnation.
func (detector *Detector) refute(change messenger.MemberChange) {
	mine := &detector.self
	if change.Member != mine.Member || change.Sequence < mine.Sequence || change.State == mine.State || mine.State == messenger.Left {
		return
	}
	mine.Sequence = change.Sequence
	detector.output.Changed = true
	detector.announceSelf()
}

// apply applies a change to another member and reports whether it was new.
func (detector *Detector) apply(now time.Time, change messenger.MemberChange) bool {
	vm := change.Member.VM
	known, ok := detector.peers[vm]
	if !ok {
		if !live(change.State) {
			return false
		}
		known = &peer{}
		detector.peers[vm] = known
	} else if !supersedes(change, known.change) {
		return false
	}
	before := known.change
	known.change = change
	known.stateSince = now
	replaced := before.Member != change.Member
	if change.State == messenger.Alive {
		// Only the member itself raises its sequence number, so it was alive.
		known.lastHeard, known.probedAt = now, time.Time{}
	}
	detector.recordTransition(before, change, replaced)
	return true
}

// recordTransition adds the effects of a change to the output and discards the ring
// if the live members changed. replaced says that another incarnation took over.
func (detector *Detector) recordTransition(before, after messenger.MemberChange, replaced bool) {
	detector.foundPeers = true
	was := live(before.State)
	is := live(after.State)
	if was && (!is || replaced) {
		detector.output.Departed = append(detector.output.Departed, before)
	}
	if is && (!was || replaced) {
		detector.output.Joined = append(detector.output.Joined, after)
	}
	if was != is || replaced {
		detector.ring = ring{}
	}
	if was != is || replaced || before.Draining != after.Draining || before.Sequence != after.Sequence {
		detector.output.Changed = true
	}
}

// supersedes reports whether a change is newer than the known state of its VM.
func supersedes(change, known messenger.MemberChange) bool {
	if change.Member.Incarnation != known.Member.Incarnation {
		return change.Member.Incarnation > known.Member.Incarnation
	}
	if known.State == messenger.Left {
		return false
	}
	if change.Sequence != known.Sequence {
		return change.Sequence > known.Sequence
	}
	return precedence(change.State) > precedence(known.State)
}

// precedence orders the states that may be reported under one sequence number; the
// highest wins.
func precedence(state messenger.MemberState) int {
	switch state {
	case messenger.Alive:
		return 0
	case messenger.Suspect:
		return 1
	case messenger.Failed:
		return 2
	default:
		return 3
	}
}
