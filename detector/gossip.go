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

// rumour is a change that is still passed on.
type rumour struct {
	change messenger.MemberChange
	// sent counts the heartbeats that carried it.
	sent int
}

// spread makes a change part of the gossip.
func (detector *Detector) spread(change messenger.MemberChange) {
	detector.rumours[change.Member.VM] = &rumour{change: change}
	detector.urgent = true
}

// pick returns the changes for one heartbeat to a member: first what is held
// against it, so that it can refute, then the least sent.
func (detector *Detector) pick(to definer.VM) []messenger.MemberChange {
	var changes []messenger.MemberChange
	if peer, ok := detector.peers[to]; ok && peer.change.State != messenger.Alive {
		changes = append(changes, peer.change)
	}
	vms := slices.Collect(maps.Keys(detector.rumours))
	slices.SortFunc(vms, func(a, b definer.VM) int {
		return cmp.Or(cmp.Compare(detector.rumours[a].sent, detector.rumours[b].sent), cmp.Compare(a, b))
	})
	bound := retransmits * bits.Len(uint(len(detector.peers)+1))
	for _, vm := range vms[:min(len(vms), maxChanges)] {
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

// slice returns the next few beliefs in turn, and this node's own entry.
func (detector *Detector) slice() []messenger.MemberChange {
	vms := sorted(detector.peers)
	changes := []messenger.MemberChange{detector.self}
	for range min(len(vms), syncChanges) {
		detector.cursor = (detector.cursor + 1) % len(vms)
		changes = append(changes, detector.peers[vms[detector.cursor]].change)
	}
	return changes
}

// table returns everything that is believed.
func (detector *Detector) table() []messenger.MemberChange {
	changes := []messenger.MemberChange{detector.self}
	for _, vm := range sorted(detector.peers) {
		if len(changes) < maxTable {
			changes = append(changes, detector.peers[vm].change)
		}
	}
	return changes
}

// take takes in gossip. What came in bulk is known elsewhere and not passed on.
func (detector *Detector) take(now time.Time, changes []messenger.MemberChange) {
	bulk := len(changes) > syncChanges+maxChanges
	for _, change := range changes {
		if change.Member.VM == detector.self.Member.VM {
			detector.refute(change)
			continue
		}
		if detector.apply(now, change) && !bulk {
			detector.spread(change)
		}
	}
}

// refute answers a false belief about this run of the process.
func (detector *Detector) refute(change messenger.MemberChange) {
	mine := &detector.self
	if change.Member != mine.Member || change.Sequence < mine.Sequence || change.State == mine.State || mine.State == messenger.Left {
		return
	}
	mine.Sequence = change.Sequence
	detector.output.Changed = true
	detector.announce()
}

// apply takes in one change about another member and tells whether it was news.
func (detector *Detector) apply(now time.Time, change messenger.MemberChange) bool {
	vm := change.Member.VM
	known, ok := detector.peers[vm]
	if !ok {
		if !live(change.State) {
			return false
		}
		known = &peer{}
		detector.peers[vm] = known
	} else if !newer(change, known.change) {
		return false
	}
	before := known.change
	known.change = change
	known.since = now
	replaced := before.Member != change.Member
	if change.State == messenger.Alive {
		// Only the member itself raises its sequence: this is a word from it.
		known.heard, known.probed = now, time.Time{}
	}
	detector.note(before, change, replaced)
	return true
}

// note tells what a change means for the node.
func (detector *Detector) note(before, after messenger.MemberChange, replaced bool) {
	detector.met = true
	was := live(before.State)
	is := live(after.State)
	if was && (!is || replaced) {
		detector.output.Gone = append(detector.output.Gone, before)
	}
	if is && (!was || replaced) {
		detector.output.Came = append(detector.output.Came, after)
	}
	if was != is || replaced {
		detector.ring = ring{}
	}
	if was != is || replaced || before.Draining != after.Draining || before.Sequence != after.Sequence {
		detector.output.Changed = true
	}
}

// newer tells whether a change replaces what is known of the same VM.
func newer(change, known messenger.MemberChange) bool {
	if change.Member.Incarnation != known.Member.Incarnation {
		return change.Member.Incarnation > known.Member.Incarnation
	}
	if known.State == messenger.Left {
		return false
	}
	if change.Sequence != known.Sequence {
		return change.Sequence > known.Sequence
	}
	return rank(change.State) > rank(known.State)
}

// rank orders the states that two members may hold under one sequence.
func rank(state messenger.MemberState) int {
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
