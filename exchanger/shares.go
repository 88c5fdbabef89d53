package exchanger

import (
	"cmp"
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/selector"
)

const (
	// minShareWork is the work up to which an organisation is left out of reports; a request takes
	// several milliseconds of engine time.
	minShareWork = 100 * time.Microsecond
	// sharesInterval is the time between two reports with shares; the sums decay with a time constant
	// of a second. In every report, 24 organisations in two tiers would take 14 KB/s on each
	// connection and 1.4% of a core at an aggregator of 986 nodes (BenchmarkSharesAtScale). Every
	// 400 ms, a surge at 12 times the usual rate has up to 2.1 in 100 requests of the others refused
	// in the model of package apportioner; every 200 ms, 0.13.
	sharesInterval = 2 * interval
)

// sharesDue reports whether the reports of the interval that now lies in include shares. The
// intervals are aligned to the clock, so that shares pass all hops within one of them.
func sharesDue(now time.Time) bool {
	return now.UnixNano()/int64(interval)%int64(sharesInterval/interval) == 0
}

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

// receiveShares applies the shares in a report that counts. A report without shares keeps those
// of the sender's previous report, unless they have expired. The mutex is held.
func (exchanger *Exchanger) receiveShares(now time.Time, from definer.VM, arrived *receivedReport) {
	if report := arrived.report; report.HasShares {
		report.Shares = exchanger.shares.Replace(now, from, report.Nodes, report.Shares)
		arrived.sharesAt = now
		return
	}
	arrived.report.Shares = nil
	for _, previous := range []receivedReport{exchanger.memberReports[from], exchanger.groupReports[from], exchanger.fleetReport} {
		if previous.report != nil && previous.report.Scope == arrived.report.Scope && now.Sub(previous.sharesAt) <= selector.ReportLifetime {
			arrived.report.Shares, arrived.sharesAt = previous.report.Shares, previous.sharesAt
		}
	}
}

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
