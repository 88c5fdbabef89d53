package decider

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// roster keeps the members of the system and who owns which shard.
type roster struct {
	*core
	// listed holds the VMs of the system by name, this node's included.
	listed map[definer.VM]ListedVM
}

func newRoster(core *core) *roster {
	roster := &roster{core: core, listed: make(map[definer.VM]ListedVM)}
	roster.take(core.seeds)
	return roster
}

func (roster *roster) priority() int { return rosterPriority }

func (roster *roster) handle(event Event) {
	if listed, ok := event.(VMsListed); ok {
		roster.take(listed.VMs)
		roster.notify(membersChanged{})
	}
}

func (roster *roster) take(vms []ListedVM) {
	clear(roster.listed)
	roster.listed[roster.self.VM] = ListedVM{Name: string(roster.self.VM), DataCentre: roster.dataCentre, Address: roster.core.address}
	for _, vm := range vms {
		if !vm.Upstream && !vm.Leaving {
			roster.listed[definer.VM(vm.Name)] = vm
		}
	}
}

func (roster *roster) address(vm definer.VM) (string, bool) {
	listed, ok := roster.listed[vm]
	return listed.Address, ok
}

// ranked returns the live members of the shard's data centre, or of all if it
// names none, in the order in which they are to own it, by rendezvous hash.
func (roster *roster) ranked(shard messenger.Shard) []definer.VM {
	var vms []definer.VM
	for name, vm := range roster.listed {
		if shard.DataCentre == "" || vm.DataCentre == shard.DataCentre {
			vms = append(vms, name)
		}
	}
	slices.SortFunc(vms, func(a, b definer.VM) int {
		if order := cmp.Compare(score(b, shard), score(a, shard)); order != 0 {
			return order
		}
		return cmp.Compare(a, b)
	})
	return vms
}

// owner returns the member that owns the shard, if its data centre has any.
func (roster *roster) owner(shard messenger.Shard) (definer.VM, bool) {
	vms := roster.ranked(shard)
	if len(vms) == 0 {
		return "", false
	}
	return vms[0], true
}

func score(vm definer.VM, shard messenger.Shard) uint64 {
	return xxhash.Sum64String(string(vm) + "|" + string(shard.DataCentre) + "|" + string(shard.Pool) + "|" + string(rune(shard.Index)))
}
