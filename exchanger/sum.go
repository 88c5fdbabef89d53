package exchanger

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// kindKey names the requests of one rule at one service.
type kindKey struct {
	service definer.PoolName
	rule    string
}

// sum adds reports up.
type sum struct {
	nodes int
	loads map[definer.UpstreamStart]messenger.UpstreamLoad
	kinds map[kindKey]messenger.KindWork
}

func newSum() *sum {
	return &sum{
		loads: make(map[definer.UpstreamStart]messenger.UpstreamLoad),
		kinds: make(map[kindKey]messenger.KindWork),
	}
}

// add adds a report of that age. The work in it is as old, which is little
// against the seconds in which it fades.
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
}

// report returns the sum without one of the reports in it, or nil for none. What
// that one had heard of upstreams stays: it knows.
func (sum *sum) report(scope messenger.LoadScope, without *messenger.LoadReport, reads []messenger.PartsRead) *messenger.LoadReport {
	if without == nil {
		without = &messenger.LoadReport{}
	}
	taken := newSum()
	taken.add(without, 0)
	report := &messenger.LoadReport{Scope: scope, Nodes: sum.nodes - taken.nodes, Reads: reads}
	for start, load := range sum.loads {
		load = load.Minus(taken.loads[start])
		if load.InFlight > 0 || load.HasHeard && load.Heard < heardLife {
			report.Loads = append(report.Loads, load)
		}
	}
	for key, kind := range sum.kinds {
		kind = kind.Minus(taken.kinds[key])
		if kind.Requests > noRequests {
			report.Kinds = append(report.Kinds, kind)
		}
	}
	return report
}
