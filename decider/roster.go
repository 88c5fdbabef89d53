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
	rosterPart = "member"
	rosterTick = "tick"
)

// roster keeps the members of the system and who owns which shard.
type roster struct {
	*core
	detector *detector.Detector
	// members holds the live members by name, this node's included.
	members map[definer.VM]messenger.MemberChange
	// listed holds the platform's list of the system's VMs by name; it only
	// proposes members and addresses.
	listed map[definer.VM]ListedVM
	// rankings holds the results of ranked since members changed last.
	rankings map[messenger.Shard][]definer.VM
	// leavers are the upstream VMs that the platform lists as leaving.
	leavers []ListedVM
	// pauses counts how often this process found that it was not running for
	// a while.
	pauses int
}

func newRoster(core *core) *roster {
	roster := &roster{core: core, listed: make(map[definer.VM]ListedVM)}
	roster.detector = detector.New(core.self, core.dataCentre, core.address)
	// A node without a configuration owns nothing yet.
	roster.detector.Draining(time.Time{}, true)
	roster.refresh()
	return roster
}

func (roster *roster) priority() int { return rosterPriority }

func (roster *roster) handle(event Event) {
	roster.carry(roster.detector.Check(roster.now))
	switch event := event.(type) {
	case started:
		roster.carry(roster.detector.Start(roster.now))
		roster.take(roster.core.seeds)
		roster.after(rosterPart, rosterTick, roster.detector.Interval())
	case configurationChanged, drainBegan:
		draining := roster.core.draining || roster.configuration == nil
		roster.carry(roster.detector.Draining(roster.now, draining))
	case drainEnded:
		roster.carry(roster.detector.Leave(roster.now))
	case VMsListed:
		roster.take(event.VMs)
		roster.notify(membersChanged{})
	case MessageReceived:
		if event.From.VM != roster.self.VM {
			roster.carry(roster.detector.Receive(roster.now, event.From, event.Message))
		}
	case TimerFired:
		if event.Key.Part == rosterPart {
			roster.carry(roster.detector.Tick(roster.now))
			roster.after(rosterPart, rosterTick, roster.detector.Interval())
		}
	}
}

// take takes in the platform's list.
func (roster *roster) take(vms []ListedVM) {
	clear(roster.listed)
	roster.leavers = nil
	var proposals []detector.Proposal
	for _, vm := range vms {
		switch {
		case vm.Upstream && vm.Leaving:
			roster.leavers = append(roster.leavers, vm)
		case !vm.Upstream:
			roster.listed[definer.VM(vm.Name)] = vm
		}
		if !vm.Upstream && !vm.Leaving {
			proposals = append(proposals, detector.Proposal{VM: definer.VM(vm.Name), DataCentre: vm.DataCentre, Address: vm.Address})
		}
	}
	roster.carry(roster.detector.Propose(roster.now, proposals))
}

// carry carries out what the detector asks for and tells.
func (roster *roster) carry(output detector.Output) {
	for _, outgoing := range output.Messages {
		roster.act(SendMessage{To: outgoing.To, Address: outgoing.Address, Message: roster.stamp(outgoing.Message)})
	}
	for _, change := range output.Came {
		roster.log(EventMemberAlive, "vm", change.Member.VM, "incarnation", change.Member.Incarnation)
	}
	var gone []definer.Member
	for _, change := range output.Gone {
		gone = append(gone, change.Member)
		roster.log(EventMemberGone, "vm", change.Member.VM, "incarnation", change.Member.Incarnation)
	}
	if output.Paused {
		roster.pauses++
		roster.log(EventNodePaused)
	}
	if output.Changed {
		roster.refresh()
		roster.notify(membersChanged{gone: gone})
	}
}

// stamp adds the version of the configuration in force to a heartbeat.
func (roster *roster) stamp(message messenger.Message) messenger.Message {
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

// address returns where a member takes the inner protocol. One that is not
// known to live is looked up in the platform's list.
func (roster *roster) address(vm definer.VM) (string, bool) {
	if member, ok := roster.members[vm]; ok {
		return member.Address, true
	}
	listed, ok := roster.listed[vm]
	return listed.Address, ok
}

// alive tells whether that very run of a process lives.
func (roster *roster) alive(member definer.Member) bool {
	return roster.members[member.VM].Member == member
}

// ranked returns the live members of the shard's data centre, or of all if it
// names none, in the order in which they are to own it, by rendezvous hash.
// Members that are stopping count only while there are no others. The caller
// must not change the result.
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

// unheard returns how many VMs of the shard's data centre the platform lists,
// and ranked does not have yet, would come before this node.
func (roster *roster) unheard(shard messenger.Shard) int {
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

// tenure names one time of ownership: another run of a process, or the same one
// after it was out of touch, begins a new one.
type tenure struct {
	member   definer.Member
	sequence uint64
}

// tenure returns the present one of a shard; it is zero when there is no owner.
func (roster *roster) tenure(shard messenger.Shard) tenure {
	vm, ok := roster.owner(shard)
	if !ok {
		return tenure{}
	}
	member := roster.members[vm]
	return tenure{member: member.Member, sequence: member.Sequence}
}

// alone tells whether no other member was ever heard of, so that no one else
// can have owned anything.
func (roster *roster) alone() bool { return !roster.detector.Met() }

// expecting tells whether the platform names others that may yet answer.
func (roster *roster) expecting() bool {
	_, self := roster.listed[roster.self.VM]
	return len(roster.listed) > 1 || len(roster.listed) == 1 && !self
}

func score(vm definer.VM, shard messenger.Shard) uint64 {
	return xxhash.Sum64String(string(vm) + "|" + string(shard.DataCentre) + "|" + string(shard.Pool) + "|" + strconv.Itoa(shard.Index))
}
