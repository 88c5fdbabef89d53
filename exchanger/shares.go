package exchanger

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// minShareWork is the work up to which an organisation is left out of reports; a request takes
// several milliseconds of engine time.
const minShareWork = 100 * time.Microsecond

// Shares counts the work of organisations on all nodes. Its methods may be called while the lock
// of the Exchanger is held.
type Shares interface {
	// Report returns the work of this node's own requests.
	Report(now time.Time) []messenger.OrganisationWork
	// Replace replaces what a peer reported before with its report on the number of nodes, and
	// returns the valid entries.
	Replace(now time.Time, from definer.VM, nodes int, works []messenger.OrganisationWork) []messenger.OrganisationWork
	// Remove removes what a peer reported.
	Remove(from definer.VM)
	// SetNodes sets the number of listed nodes, this one included.
	SetNodes(count int)
}

// noShares is the default Shares; it counts nothing and passes nothing on.
type noShares struct{}

// Report returns no work.
func (noShares) Report(time.Time) []messenger.OrganisationWork { return nil }

// Replace returns no entries.
func (noShares) Replace(time.Time, definer.VM, int, []messenger.OrganisationWork) []messenger.OrganisationWork {
	return nil
}

// Remove does nothing.
func (noShares) Remove(definer.VM) {}

// SetNodes does nothing.
func (noShares) SetNodes(int) {}

// shareKey identifies the organisations that share the capacity of a service on equal terms.
type shareKey struct {
	service definer.PoolName
	tier    int
}

// shareSum holds the work of organisations, by service and tier.
type shareSum map[shareKey]map[definer.OrganisationName]time.Duration

func (shareSum shareSum) add(works []messenger.OrganisationWork) {
	for _, work := range works {
		key := shareKey{work.Service, work.Tier}
		if shareSum[key] == nil {
			shareSum[key] = make(map[definer.OrganisationName]time.Duration)
		}
		shareSum[key][work.Organisation] += work.Work
	}
}

// worksWithout returns the sums less the taken ones. Of each service and tier it lists the
// heaviest organisations; the others are added up under an empty name, so that the size of a
// report does not grow with the number of organisations.
func (shareSum shareSum) worksWithout(taken shareSum) []messenger.OrganisationWork {
	var report []messenger.OrganisationWork
	for key, sums := range shareSum {
		var works []messenger.OrganisationWork
		rest := sums[""] - taken[key][""]
		for organisation, work := range sums {
			if work -= taken[key][organisation]; organisation != "" && work > minShareWork {
				works = append(works, messenger.OrganisationWork{Service: key.service, Tier: key.tier, Organisation: organisation, Work: work})
			}
		}
		slices.SortFunc(works, func(left, right messenger.OrganisationWork) int {
			return cmp.Or(cmp.Compare(right.Work, left.Work), cmp.Compare(left.Organisation, right.Organisation))
		})
		for _, light := range works[min(len(works), messenger.MaxListedShares):] {
			rest += light.Work
		}
		works = works[:min(len(works), messenger.MaxListedShares)]
		slices.SortFunc(works, func(left, right messenger.OrganisationWork) int {
			return cmp.Compare(left.Organisation, right.Organisation)
		})
		if rest > minShareWork {
			works = append(works, messenger.OrganisationWork{Service: key.service, Tier: key.tier, Work: rest})
		}
		report = append(report, works...)
	}
	return report
}
