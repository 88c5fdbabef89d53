package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// kindKey identifies the requests that one rule sent to one service.
type kindKey struct {
	service definer.PoolName
	rule    string
}

// sum accumulates reports.
type sum struct {
	nodes int
	loads map[definer.UpstreamStart]messenger.UpstreamLoad
	kinds map[kindKey]messenger.KindWork
	// shares is nil if the sum is reported without shares.
	shares shareSum
}

func newSum(withShares bool) *sum {
	sum := &sum{
		loads: make(map[definer.UpstreamStart]messenger.UpstreamLoad),
		kinds: make(map[kindKey]messenger.KindWork),
	}
	if withShares {
		sum.shares = make(shareSum)
	}
	return sum
}

// add adds a report of the given age. The amounts of work in it are not corrected for the
// age, which is small compared with the seconds over which they decay.
func (sum *sum) add(report *messenger.LoadReport, age time.Duration) {
	sum.nodes += report.Nodes
	for _, load := range report.Loads {
		load.Heard += age
		sum.loads[load.Start()] = load.Plus(sum.loads[load.Start()])
	}
	for _, kind := range report.Kinds {
		key := kindKey{kind.Service, kind.Rule}
		sum.kinds[key] = kind.Plus(sum.kinds[key])
	}
	if sum.shares != nil {
		sum.shares.add(report.Shares)
	}
}

// reportWithout returns the sum as a report, with the loads of one of the added reports
// subtracted; nil subtracts none. The times at which upstreams were last heard from are
// not reduced, since the sender of the subtracted report knows its own.
func (sum *sum) reportWithout(scope messenger.LoadScope, without *messenger.LoadReport, reads []messenger.PartsRead) *messenger.LoadReport {
	if without == nil {
		without = &messenger.LoadReport{}
	}
	taken := newSum(sum.shares != nil)
	taken.add(without, 0)
	report := &messenger.LoadReport{Scope: scope, Nodes: sum.nodes - taken.nodes, Reads: reads}
	for start, load := range sum.loads {
		load = load.Minus(taken.loads[start])
		if load.InFlight > 0 || load.ExpectedMs > 0 || load.HasHeard && load.Heard < maxHeardAge {
			report.Loads = append(report.Loads, load)
		}
	}
	for key, kind := range sum.kinds {
		kind = kind.Minus(taken.kinds[key])
		kind.PromptTokens = max(kind.PromptTokens, 0) // The difference may be off by rounding.
		if kind.Requests > minRequests {
			report.Kinds = append(report.Kinds, kind)
		}
	}
	report.Shares, report.HasShares = sum.shares.worksWithout(taken.shares), sum.shares != nil
	return report
}
