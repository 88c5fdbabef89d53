package decider

import (
	"maps"
	"slices"

	"limpetcleat/definer"
)

// peers returns all members of a data centre, this node included, sorted.
func (roster *roster) peers(dataCentre definer.DataCentre) []definer.VM {
	var vms []definer.VM
	for name, vm := range roster.listed {
		if vm.DataCentre == dataCentre {
			vms = append(vms, name)
		}
	}
	slices.Sort(vms)
	return vms
}

// dataCentres returns the data centres that have members, sorted.
func (roster *roster) dataCentres() []definer.DataCentre {
	found := make(map[definer.DataCentre]bool)
	for _, vm := range roster.listed {
		found[vm.DataCentre] = true
	}
	return slices.Sorted(maps.Keys(found))
}
