package decider

import (
	"maps"
	"slices"

	"limpetcleat/definer"
)

// peers returns all live members of a data centre, sorted, including this node
// and members that are draining.
func (roster *roster) peers(dataCentre definer.DataCentre) []definer.VM {
	var vms []definer.VM
	for vm, member := range roster.members {
		if member.DataCentre == dataCentre {
			vms = append(vms, vm)
		}
	}
	slices.Sort(vms)
	return vms
}

// dataCentres returns the data centres that have live members, sorted.
func (roster *roster) dataCentres() []definer.DataCentre {
	found := make(map[definer.DataCentre]bool)
	for _, member := range roster.members {
		found[member.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(found))
}
