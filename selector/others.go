package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// reportLife is how long a peer's report counts. Reports come four times a second;
// one that stays out for longer means a peer that is gone or cut off.
const reportLife = 1500 * time.Millisecond

// others is what peers report of their requests.
type others struct {
	// reports holds the latest of each peer.
	reports map[definer.VM]peerReport
	// peers is how many there are; those that sent no report count as the mean of
	// those that did.
	peers int
}

type peerReport struct {
	at     time.Time
	loads  map[definer.UpstreamName]messenger.UpstreamLoad
	report *messenger.LoadReport
}

func newOthers() others { return others{reports: make(map[definer.VM]peerReport)} }

// partial tells whether there are peers that sent no report lately.
func (others *others) partial() bool { return others.peers > len(others.reports) }

// scale returns by how much the sums of the reports are to be multiplied.
func (others *others) scale() float64 {
	if len(others.reports) == 0 || others.peers <= len(others.reports) {
		return 1
	}
	return float64(others.peers) / float64(len(others.reports))
}

// expire drops the reports that no longer count.
func (others *others) expire(now time.Time) {
	for vm, report := range others.reports {
		if now.Sub(report.at) > reportLife {
			delete(others.reports, vm)
		}
	}
}

// load returns what peers put on an upstream in all.
func (others *others) load(now time.Time, upstream definer.UpstreamName) messenger.UpstreamLoad {
	var total messenger.UpstreamLoad
	for _, report := range others.reports {
		if now.Sub(report.at) > reportLife {
			continue
		}
		load := report.loads[upstream]
		total.InFlight += load.InFlight
		total.Unread += load.Unread
		total.Tokens += load.Tokens
	}
	scale := others.scale()
	total.InFlight = int(scale * float64(total.InFlight))
	total.Tokens = int(scale * float64(total.Tokens))
	total.Unread = int(scale * float64(total.Unread))
	return total
}

// works returns what the requests of a service took at peers, aged to now.
func (others *others) works(now time.Time, service definer.PoolName) []messenger.KindWork {
	scale := others.scale()
	var works []messenger.KindWork
	for _, report := range others.reports {
		age := now.Sub(report.at)
		if age > reportLife {
			continue
		}
		for _, work := range report.report.Kinds {
			if work.Service != service {
				continue
			}
			work.Work = time.Duration(scale * fade(float64(work.Work), age, divisionMemory))
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
	report := &messenger.LoadReport{}
	for id, state := range selector.states {
		if state.inFlight > 0 {
			report.Loads = append(report.Loads, state.load(now, id))
		}
	}
	report.Reads, selector.reads = selector.reads, nil
	for service, division := range selector.divisions {
		report.Kinds = append(report.Kinds, division.report(now, service)...)
	}
	return report
}

// load returns what this node's requests put on the upstream.
func (state *state) load(now time.Time, id definer.UpstreamName) messenger.UpstreamLoad {
	load := messenger.UpstreamLoad{Upstream: id, InFlight: state.inFlight, Tokens: state.tokens, Unread: state.unread}
	if !state.lastByte.IsZero() {
		load.Heard, load.HasHeard = now.Sub(state.lastByte), true
	}
	return load
}

// Learn takes in a peer's report; peers is how many there are in all.
func (selector *Selector) Learn(now time.Time, from definer.VM, report *messenger.LoadReport, peers int) {
	loads := make(map[definer.UpstreamName]messenger.UpstreamLoad, len(report.Loads))
	for _, load := range report.Loads {
		loads[load.Upstream] = load
	}
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.others.expire(now)
	selector.others.peers = peers
	for _, load := range report.Loads {
		if load.HasHeard {
			selector.of(load.Upstream, now).heard(now.Add(-load.Heard))
		}
	}
	for _, read := range report.Reads {
		known := selector.of(read.Upstream, now)
		for _, part := range read.Parts {
			known.parts[part] = now
		}
	}
	selector.others.reports[from] = peerReport{at: now, loads: loads, report: report}
}
