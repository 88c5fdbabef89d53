package selector

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/predictor"
)

// ReportLifetime is how long a peer's report counts. Reports are sent ten times a second; a longer
// gap means that the peer has stopped or is disconnected.
const ReportLifetime = 1500 * time.Millisecond

// minReportedShare is the part of all peers whose load must be known for the load of an
// upstream to count as complete; it is below 1 because a listed peer may be down.
const minReportedShare = 0.75

// minReportedPace is the least sum of expected times for which first events are reported.
const minReportedPace = 20 * time.Millisecond

const (
	// maxPeerRequests and maxPeerTokens bound the load of peers on one upstream, so that times
	// computed from it do not overflow.
	maxPeerRequests = 1_000_000
	maxPeerTokens   = 1_000_000_000
)

// peerReports holds what peers report of their requests.
type peerReports struct {
	// reports holds the latest report of each peer that reports to this node.
	reports map[definer.VM]peerReport
	// loads is the sum of the reported loads, kept up to date so that a choice need not add
	// them up.
	loads map[definer.UpstreamStart]messenger.UpstreamLoad
	// nodes counts the peers that the reports cover, and peers counts all there are; those not
	// covered are assumed to have the mean load of the others.
	nodes int
	peers int
	// latest is when the latest report came.
	latest time.Time
}

type peerReport struct {
	receivedAt time.Time
	report     *messenger.LoadReport
}

func newPeerReports() peerReports {
	return peerReports{
		reports: make(map[definer.VM]peerReport),
		loads:   make(map[definer.UpstreamStart]messenger.UpstreamLoad),
	}
}

// incomplete reports whether the load of too many peers is unknown.
func (peerReports *peerReports) incomplete() bool {
	return float64(peerReports.nodes) < minReportedShare*float64(peerReports.peers)
}

// scale returns the factor that extrapolates the reported sums to all peers.
func (peerReports *peerReports) scale() float64 {
	if peerReports.nodes == 0 || peerReports.peers <= peerReports.nodes {
		return 1
	}
	return float64(peerReports.peers) / float64(peerReports.nodes)
}

// none reports whether no peer reports, so that there is nothing to extrapolate from.
func (peerReports *peerReports) none() bool { return peerReports.nodes == 0 }

// replace stores a peer's report in place of its previous one.
func (peerReports *peerReports) replace(now time.Time, from definer.VM, report *messenger.LoadReport) {
	peerReports.remove(from)
	peerReports.reports[from] = peerReport{receivedAt: now, report: report}
	peerReports.nodes += report.Nodes
	peerReports.latest = now
	for _, load := range report.Loads {
		peerReports.loads[load.Start()] = peerReports.loads[load.Start()].Plus(load)
	}
}

// remove removes a peer's report.
func (peerReports *peerReports) remove(from definer.VM) {
	known, ok := peerReports.reports[from]
	if !ok {
		return
	}
	delete(peerReports.reports, from)
	peerReports.nodes -= known.report.Nodes
	for _, load := range known.report.Loads {
		left := peerReports.loads[load.Start()].Minus(load)
		if left.Idle() {
			delete(peerReports.loads, load.Start())
			continue
		}
		peerReports.loads[load.Start()] = left
	}
}

// expire removes the reports older than ReportLifetime.
func (peerReports *peerReports) expire(now time.Time) {
	for vm, report := range peerReports.reports {
		if now.Sub(report.receivedAt) > ReportLifetime {
			peerReports.remove(vm)
		}
	}
}

// load returns the total load of peers on a start of an upstream, and the sum of their first events
// there.
func (peerReports *peerReports) load(start definer.UpstreamStart) (messenger.UpstreamLoad, predictor.Pace) {
	total, known := peerReports.loads[start]
	if !known {
		return total, predictor.Pace{}
	}
	pace, _ := predictor.NewPace(peerReports.latest, time.Duration(total.ExpectedMs)*time.Millisecond, time.Duration(total.ActualMs)*time.Millisecond)
	scale := peerReports.scale()
	scaled := func(count, most int) int { return int(min(scale*float64(count), float64(most))) }
	total.InFlight = scaled(total.InFlight, maxPeerRequests)
	total.Tokens = scaled(total.Tokens, maxPeerTokens)
	total.Unread = scaled(total.Unread, maxPeerTokens)
	total.Deferred = scaled(total.Deferred, maxPeerTokens)
	total.Beyond = scaled(total.Beyond, maxPeerRequests)
	total.Streams = scaled(total.Streams, maxPeerRequests)
	return total, pace
}

// addTo adds the work of a service's requests at peers, decayed to now, to the sums by rule.
func (peerReports *peerReports) addTo(kinds map[string]messenger.KindWork, now time.Time, service definer.PoolName) {
	scale := peerReports.scale()
	for _, report := range peerReports.reports {
		left := decay(1, now.Sub(report.receivedAt), workDecay)
		for _, work := range report.report.Kinds {
			if work.Service != service {
				continue
			}
			work.Work = time.Duration(scale * (float64(work.Work) * left))
			work.Reading = time.Duration(scale * (float64(work.Reading) * left))
			work.PromptTokens *= scale
			work.Requests *= scale
			kinds[work.Rule] = work.Plus(kinds[work.Rule])
		}
	}
}

// totalWork returns the sums of this node's own work at a service and that of its peers, by rule.
// They are valid until the next call; mutex is held.
func (selector *Selector) totalWork(now time.Time, name definer.PoolName) map[string]messenger.KindWork {
	kinds := selector.scratch.kinds
	clear(kinds)
	selector.service(name).partition.addTo(kinds, now)
	selector.peerReports.addTo(kinds, now, name)
	return kinds
}

// Report returns the load and the work of this node's own requests, and the reads since the
// previous report.
func (selector *Selector) Report(now time.Time) *messenger.LoadReport {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	report := &messenger.LoadReport{Nodes: 1}
	for id, state := range selector.states {
		if state.inFlight > 0 || state.paceReported(now) {
			report.Loads = append(report.Loads, state.load(now, id))
		}
	}
	report.Reads, selector.reads = selector.reads, nil
	for name, service := range selector.services {
		report.Kinds = append(report.Kinds, service.partition.report(now, name)...)
	}
	return report
}

// load returns the load of this node's requests on the upstream.
func (state *state) load(now time.Time, id definer.UpstreamName) messenger.UpstreamLoad {
	load := messenger.UpstreamLoad{Upstream: id, Incarnation: state.incarnation, InFlight: state.inFlight, Tokens: state.tokens, Unread: state.unread, Deferred: state.deferred, Streams: state.streams, Beyond: state.beyondShare}
	expected, actual := state.pace.Sums(now)
	load.ExpectedMs, load.ActualMs = int(expected.Milliseconds()), int(actual.Milliseconds())
	if latest := state.lastActivity(); !latest.IsZero() {
		// The latest byte may have come after now while this waited for the mutex.
		load.Heard, load.HasHeard = max(now.Sub(latest), 0), true
	}
	return load
}

// paceReported reports whether first events there are recent enough to be reported.
func (state *state) paceReported(now time.Time) bool {
	expected, _ := state.pace.Sums(now)
	return expected >= minReportedPace
}

// ApplyReport applies a report from a peer; peers is the number of all peers.
func (selector *Selector) ApplyReport(now time.Time, from definer.VM, report *messenger.LoadReport, peers int) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.peerReports.peers = peers
	selector.peerReports.replace(now, from, report)
	for _, load := range report.Loads {
		if known := selector.stateOf(load.Start(), now); load.HasHeard && known.incarnation == load.Incarnation {
			known.recordPeerActivity(now.Add(-load.Heard))
		}
	}
	for _, read := range report.Reads {
		known := selector.stateOf(read.Start(), now)
		if known.incarnation != read.Incarnation {
			continue // The upstream has restarted since and its cache is empty.
		}
		for _, part := range read.Parts {
			known.recordPeerPart(part, now)
		}
	}
}

// BusyEngines returns how many engines of a service are occupied by the work of this node and its
// peers, including the work that waits.
func (selector *Selector) BusyEngines(now time.Time, name definer.PoolName) float64 {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.peerReports.expire(now)
	busy := 0.0
	for _, kind := range selector.totalWork(now, name) {
		busy += kind.Work.Seconds() / workDecay.Seconds()
	}
	return busy
}

// RemoveReport removes the report of a peer.
func (selector *Selector) RemoveReport(from definer.VM) {
	selector.mutex.Lock()
	defer selector.mutex.Unlock()
	selector.peerReports.remove(from)
}
