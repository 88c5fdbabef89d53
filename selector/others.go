package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// ReportLife is how long a peer's report counts. Reports come ten times a second;
// one that stays out for longer means a peer that is gone or cut off.
const ReportLife = 1500 * time.Millisecond

// heardFrom is the part of all peers whose load must be known for the picture to
// count as whole; a listed one may be down.
const heardFrom = 0.75

// others is what peers report of their requests.
type others struct {
	// reports holds the latest of each peer that reports to this node.
	reports map[definer.VM]peerReport
	// loads sums up their loads, so that a choice need not.
	loads map[definer.UpstreamStart]messenger.UpstreamLoad
	// nodes counts the peers that the reports sum up, and peers how many there are;
	// those not heard from count as the mean of the others.
	nodes int
	peers int
}

type peerReport struct {
	at     time.Time
	report *messenger.LoadReport
}

func newOthers() others {
	return others{
		reports: make(map[definer.VM]peerReport),
		loads:   make(map[definer.UpstreamStart]messenger.UpstreamLoad),
	}
}

// partial tells whether the load of many peers is unknown.
func (others *others) partial() bool { return float64(others.nodes) < heardFrom*float64(others.peers) }

// scale returns by how much the sums of the reports are to be multiplied.
func (others *others) scale() float64 {
	if others.nodes == 0 || others.peers <= others.nodes {
		return 1
	}
	return float64(others.peers) / float64(others.nodes)
}

// learn puts a peer's report in the place of the one before.
func (others *others) learn(now time.Time, from definer.VM, report *messenger.LoadReport) {
	others.forget(from)
	others.reports[from] = peerReport{at: now, report: report}
	others.nodes += report.Nodes
	for _, load := range report.Loads {
		others.loads[load.Start()] = others.loads[load.Start()].Plus(load)
	}
}

// forget drops a peer's report.
func (others *others) forget(from definer.VM) {
	known, ok := others.reports[from]
	if !ok {
		return
	}
	delete(others.reports, from)
	others.nodes -= known.report.Nodes
	for _, load := range known.report.Loads {
		left := others.loads[load.Start()].Minus(load)
		if left.InFlight <= 0 {
			delete(others.loads, load.Start())
			continue
		}
		others.loads[load.Start()] = left
	}
}

// expire drops the reports that no longer count.
func (others *others) expire(now time.Time) {
	for vm, report := range others.reports {
		if now.Sub(report.at) > ReportLife {
			others.forget(vm)
		}
	}
}

// load returns what peers put on a start of an upstream in all.
func (others *others) load(start definer.UpstreamStart) messenger.UpstreamLoad {
	total := others.loads[start]
	scale := others.scale()
	total.InFlight = int(scale * float64(total.InFlight))
	total.Tokens = int(scale * float64(total.Tokens))
	total.Unread = int(scale * float64(total.Unread))
	total.Deferred = int(scale * float64(total.Deferred))
	return total
}

// works returns what the requests of a service took at peers, aged to now.
func (others *others) works(now time.Time, service definer.PoolName) []messenger.KindWork {
	scale := others.scale()
	var works []messenger.KindWork
	for _, report := range others.reports {
		for _, work := range report.report.Kinds {
			if work.Service != service {
				continue
			}
			work.Work = time.Duration(scale * fade(float64(work.Work), now.Sub(report.at), divisionMemory))
			work.Reading = time.Duration(scale * fade(float64(work.Reading), now.Sub(report.at), divisionMemory))
			work.PromptTokens *= scale
			work.Requests *= scale
			works = append(works, work)
		}
	}
	return works
}

// Report returns what this node's own requests do to the upstreams, and what was
// read since the report before.
func (selector *Selector) Report(now time.Time) *messenger.LoadReport {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	report := &messenger.LoadReport{Nodes: 1}
	for id, state := range selector.states {
		if state.inFlight > 0 {
			report.Loads = append(report.Loads, state.load(now, id))
		}
	}
	report.Reads, selector.reads = selector.reads, nil
	for name, service := range selector.services {
		report.Kinds = append(report.Kinds, service.division.report(now, name)...)
	}
	return report
}

// load returns what this node's requests put on the upstream.
func (state *state) load(now time.Time, id definer.UpstreamName) messenger.UpstreamLoad {
	load := messenger.UpstreamLoad{Upstream: id, Incarnation: state.incarnation, InFlight: state.inFlight, Tokens: state.tokens, Unread: state.unread, Deferred: state.deferred}
	if !state.lastByte.IsZero() {
		load.Heard, load.HasHeard = now.Sub(state.lastByte), true
	}
	return load
}

// Learn takes in a peer's report; peers is how many there are in all.
func (selector *Selector) Learn(now time.Time, from definer.VM, report *messenger.LoadReport, peers int) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.others.peers = peers
	selector.others.learn(now, from, report)
	for _, load := range report.Loads {
		if known := selector.of(load.Start(), now); load.HasHeard && known.incarnation == load.Incarnation {
			known.heard(now.Add(-load.Heard))
		}
	}
	for _, read := range report.Reads {
		known := selector.of(read.Start(), now)
		if known.incarnation != read.Incarnation {
			continue // It has started again since, and knows nothing of it.
		}
		for _, part := range read.Parts {
			known.learnt(part, now)
		}
	}
}

// Busy returns how many engines of a service the work of this node and its peers takes,
// that which waits with it.
func (selector *Selector) Busy(now time.Time, name definer.PoolName) float64 {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.others.expire(now)
	busy := 0.0
	for _, kind := range selector.service(name).division.sum(now, selector.others.works(now, name)) {
		busy += kind.Work.Seconds() / divisionMemory.Seconds()
	}
	return busy
}

// Forget drops a peer's report.
func (selector *Selector) Forget(from definer.VM) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.others.forget(from)
}
