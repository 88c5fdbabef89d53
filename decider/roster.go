package decider

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/detector"
	"limpetcleat/messenger"
)

const (
	rosterComponent = "member"
	rosterTick      = "tick"
)

// roster keeps the members of the system and ranks them for the ownership of
// shards.
type roster struct {
	*core
	detector *detector.Detector
	// members holds the live members by name, this node's included.
	members map[definer.VM]messenger.MemberChange
	// listed holds the platform's list of this system's VMs by name. The list
	// only proposes members and addresses; the detector decides who is alive.
	listed map[definer.VM]ListedVM
	// rankings caches the results of ranked until the members change.
	rankings map[messenger.Shard][]definer.VM
	// leavingVMs are the upstream VMs that the platform lists as leaving.
	leavingVMs []ListedVM
	// pauses counts how often this process detected that it had not been
	// running for a while.
	pauses int
}

func newRoster(core *core) *roster {
	roster := &roster{core: core, listed: make(map[definer.VM]ListedVM)}
	roster.detector = detector.New(core.self, core.dataCentre, core.address)
	// A node without a configuration must not own shards yet.
	roster.detector.SetDraining(time.Time{}, true)
	roster.refresh()
	return roster
}

func (roster *roster) priority() int { return rosterPriority }

func (roster *roster) handle(event Event) {
	roster.apply(roster.detector.Check(roster.now))
	switch event := event.(type) {
	case started:
		roster.apply(roster.detector.Start(roster.now))
		roster.setListed(roster.core.bootstrapVMs)
		roster.setTimer(rosterComponent, rosterTick, roster.detector.Interval())
	case configurationChanged, drainBegan:
		draining := roster.core.draining || roster.configuration == nil
		roster.apply(roster.detector.SetDraining(roster.now, draining))
	case drainEnded:
		roster.apply(roster.detector.Leave(roster.now))
	case VMsListed:
		roster.setListed(event.VMs)
		roster.enqueue(membersChanged{})
	case MessageReceived:
		if event.From.VM != roster.self.VM {
			roster.apply(roster.detector.Receive(roster.now, event.From, event.Message))
		}
	case TimerFired:
		if event.Key.Component == rosterComponent {
			roster.apply(roster.detector.Tick(roster.now))
			roster.setTimer(rosterComponent, rosterTick, roster.detector.Interval())
		}
	}
}

// setListed replaces the platform's list.
func (roster *roster) setListed(vms []ListedVM) {
	clear(roster.listed)
	roster.leavingVMs = nil
	var proposals []detector.Proposal
	for _, vm := range vms {
		switch {
		case vm.Upstream && vm.Leaving:
			roster.leavingVMs = append(roster.leavingVMs, vm)
		case !vm.Upstream:
			roster.listed[definer.VM(vm.Name)] = vm
		}
		if !vm.Upstream && !vm.Leaving {
			proposals = append(proposals, detector.Proposal{VM: definer.VM(vm.Name), DataCentre: vm.DataCentre, Address: vm.Address})
		}
	}
	roster.apply(roster.detector.Propose(roster.now, proposals))
}

// apply carries out the output of the detector.
func (roster *roster) apply(output detector.Output) {
	for _, outgoing := range output.Messages {
		roster.emit(SendMessage{To: outgoing.To, Address: outgoing.Address, Message: roster.addVersion(outgoing.Message)})
	}
	for _, change := range output.Joined {
		roster.log(EventMemberAlive, "vm", change.Member.VM, "incarnation", change.Member.Incarnation)
	}
	var gone []definer.Member
	for _, change := range output.Departed {
		gone = append(gone, change.Member)
		roster.log(EventMemberGone, "vm", change.Member.VM, "incarnation", change.Member.Incarnation)
	}
	if output.Paused {
		roster.pauses++
		roster.log(EventNodePaused)
	}
	if output.Changed {
		roster.refresh()
		roster.enqueue(membersChanged{gone: gone})
	}
}

// addVersion adds the version of the configuration in force to a heartbeat.
func (roster *roster) addVersion(message messenger.Message) messenger.Message {
	if roster.configuration == nil {
		return message
	}
	switch message := message.(type) {
	case *messenger.Heartbeat:
		message.Configuration = roster.configuration.Version()
	case *messenger.HeartbeatAnswer:
		message.Configuration = roster.configuration.Version()
	}
	return message
}

func (roster *roster) refresh() {
	roster.members = make(map[definer.VM]messenger.MemberChange)
	roster.rankings = make(map[messenger.Shard][]definer.VM)
	for _, change := range roster.detector.Members() {
		roster.members[change.Member.VM] = change
	}
}

// address returns the address at which a member accepts messages of peers. For
// a member that is not known to be alive, it is that of the platform's list.
func (roster *roster) address(vm definer.VM) (string, bool) {
	if member, ok := roster.members[vm]; ok {
		return member.Address, true
	}
	listed, ok := roster.listed[vm]
	return listed.Address, ok
}

// alive reports whether that incarnation of a member is alive.
func (roster *roster) alive(member definer.Member) bool {
	return roster.members[member.VM].Member == member
}

// ranked returns the live members of the shard's data centre, or of all data
// centres if it names none, in their order of precedence as its owner, by
// rendezvous hashing. Draining members count only if there are no others. The
// caller must not change the result.
func (roster *roster) ranked(shard messenger.Shard) []definer.VM {
	if vms, ok := roster.rankings[shard]; ok {
		return vms
	}
	var ready, draining []candidate
	for vm, member := range roster.members {
		switch {
		case shard.DataCentre != "" && member.DataCentre != shard.DataCentre || member.State == messenger.Left:
		case member.Draining:
			draining = append(draining, candidate{vm: vm, score: score(vm, shard)})
		default:
			ready = append(ready, candidate{vm: vm, score: score(vm, shard)})
		}
	}
	if len(ready) == 0 {
		ready = draining
	}
	vms := rank(ready)
	roster.rankings[shard] = vms
	return vms
}

// candidate is a member that may own a shard.
type candidate struct {
	vm    definer.VM
	score uint64
}

// rank returns the names of the candidates, the highest score first.
func rank(candidates []candidate) []definer.VM {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.vm, b.vm))
	})
	vms := make([]definer.VM, len(candidates))
	for index, candidate := range candidates {
		vms[index] = candidate.vm
	}
	return vms
}

// unseenAhead returns how many VMs of the shard's data centre would rank before
// this node that the platform lists and ranked does not contain yet.
func (roster *roster) unseenAhead(shard messenger.Shard) int {
	own := score(roster.self.VM, shard)
	ranked := roster.ranked(shard)
	before := 0
	for vm, listed := range roster.listed {
		if listed.DataCentre == shard.DataCentre && score(vm, shard) > own && !slices.Contains(ranked, vm) {
			before++
		}
	}
	return before
}

// owner returns the member that owns the shard, if its data centre has any.
func (roster *roster) owner(shard messenger.Shard) (definer.VM, bool) {
	vms := roster.ranked(shard)
	if len(vms) == 0 {
		return "", false
	}
	return vms[0], true
}

// tenure identifies one period of ownership, like a term or an epoch. A new one
// begins when another process owns the shard, and when the same process does so
// again after it was unreachable.
type tenure struct {
	member   definer.Member
	sequence uint64
}

// tenure returns the present tenure of a shard; it is zero when there is no
// owner.
func (roster *roster) tenure(shard messenger.Shard) tenure {
	vm, ok := roster.owner(shard)
	if !ok {
		return tenure{}
	}
	member := roster.members[vm]
	return tenure{member: member.Member, sequence: member.Sequence}
}

// neverMetOthers reports whether no other member was ever heard of, so that no
// other can have owned anything.
func (roster *roster) neverMetOthers() bool { return !roster.detector.FoundPeers() }

// expectsOthers reports whether the platform lists other VMs that may yet
// answer.
func (roster *roster) expectsOthers() bool {
	_, self := roster.listed[roster.self.VM]
	return len(roster.listed) > 1 || len(roster.listed) == 1 && !self
}

func score(vm definer.VM, shard messenger.Shard) uint64 {
	return xxhash.Sum64String(string(vm) + "|" + string(shard.DataCentre) + "|" + string(shard.Pool) + "|" + strconv.Itoa(shard.Index))
}
