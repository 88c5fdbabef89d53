package apportioner

import (
	"slices"
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
	"limpetcleat/messenger"
)

const (
	// maxReportedWork bounds the work in one report: a hundred times what 10,000 engines do in a
	// second. The sums of the reports of thousands of nodes stay within a time.Duration.
	maxReportedWork = 1_000_000 * time.Second
	// maxReportedNodes bounds the number of nodes that one report covers.
	maxReportedNodes = 1 << 16
	// maxNameBytes bounds the names of services and organisations.
	maxNameBytes = 256
	// maxTier is the lowest priority that is accepted from peers.
	maxTier = 255
	// maxEntries bounds the entries that are taken from one report.
	maxEntries = maxTables * (messenger.MaxListedShares + 1)
	// rejectionLogInterval is the least time between two log lines about one peer, and
	// maxRejections the number of peers for which that is remembered.
	rejectionLogInterval = time.Minute
	maxRejections        = 1024
)

// peerWork holds what peers report.
type peerWork struct {
	reports map[definer.VM]peerReport
	// sums holds the sum of the reports by organisation. It is kept up to date so that judging a
	// request does not add up the reports.
	sums map[tableKey]map[definer.OrganisationName]*peerSum
	// nodes is the number of nodes that the reports cover.
	nodes int
}

// peerSum is the work of one organisation in all reports.
type peerSum struct {
	key          tableKey
	organisation definer.OrganisationName
	work         time.Duration
	// entries is the number of entries of reports that the sum includes.
	entries int
}

// peerReport is the latest report of one peer.
type peerReport struct {
	receivedAt time.Time
	// nodes is the number of nodes that the report covers.
	nodes   int
	entries []peerEntry
}

// peerEntry is one entry of a report and the sum that includes it.
type peerEntry struct {
	sum  *peerSum
	work time.Duration
}

func newPeerWork() peerWork {
	return peerWork{reports: make(map[definer.VM]peerReport), sums: make(map[tableKey]map[definer.OrganisationName]*peerSum)}
}

// sumOf returns the sum that an entry belongs to. An aggregator receives some 800 reports per
// second at 986 nodes, so the sum of the entry at the same index in the previous report is used
// without a lookup if it is the right one.
func (peerWork *peerWork) sumOf(work *messenger.OrganisationWork, previous []peerEntry, index int) *peerSum {
	key := tableKey{work.Service, work.Tier}
	if index < len(previous) && previous[index].sum.organisation == work.Organisation && previous[index].sum.key == key {
		return previous[index].sum
	}
	sums, ok := peerWork.sums[key]
	if !ok {
		sums = make(map[definer.OrganisationName]*peerSum)
		peerWork.sums[key] = sums
	}
	sum, ok := sums[work.Organisation]
	if !ok {
		sum = &peerSum{key: key, organisation: work.Organisation}
		sums[work.Organisation] = sum
	}
	return sum
}

// replace replaces a peer's previous report.
func (peerWork *peerWork) replace(now time.Time, from definer.VM, nodes int, works []messenger.OrganisationWork) {
	previous := peerWork.reports[from].entries
	entries := make([]peerEntry, len(works))
	for index := range works {
		sum := peerWork.sumOf(&works[index], previous, index)
		sum.work += works[index].Work
		sum.entries++
		entries[index] = peerEntry{sum, works[index].Work}
	}
	peerWork.remove(from) // Last, so that the sums which both reports have are kept.
	peerWork.reports[from] = peerReport{receivedAt: now, nodes: nodes, entries: entries}
	peerWork.nodes += nodes
}

// remove removes a peer's report from the sums.
func (peerWork *peerWork) remove(from definer.VM) {
	known, ok := peerWork.reports[from]
	if !ok {
		return
	}
	delete(peerWork.reports, from)
	peerWork.nodes -= known.nodes
	for _, entry := range known.entries {
		sum := entry.sum
		sum.work -= entry.work
		if sum.entries--; sum.entries > 0 {
			continue
		}
		delete(peerWork.sums[sum.key], sum.organisation)
		if len(peerWork.sums[sum.key]) == 0 {
			delete(peerWork.sums, sum.key)
		}
	}
}

// workOf returns the work of an organisation in seconds.
func (peerWork *peerWork) workOf(key tableKey, organisation definer.OrganisationName) float64 {
	if sum, ok := peerWork.sums[key][organisation]; ok {
		return sum.work.Seconds()
	}
	return 0
}

// expire removes the reports older than reportLifetime.
func (peerWork *peerWork) expire(now time.Time) {
	for from, report := range peerWork.reports {
		if now.Sub(report.receivedAt) > reportLifetime {
			peerWork.remove(from)
		}
	}
}

// Replace replaces what a peer reported before with its report on the given number of nodes. It
// returns the valid entries, which may be passed on to other nodes; the others are dropped. The
// sums are not reduced for the age of the report: its entries stand for the present rates until
// the next report arrives.
func (apportioner *Apportioner) Replace(now time.Time, from definer.VM, nodes int, works []messenger.OrganisationWork) []messenger.OrganisationWork {
	valid := validWorks(works)
	validNodes := min(max(nodes, 0), maxReportedNodes)
	apportioner.mutex.Lock()
	defer apportioner.mutex.Unlock()
	if len(valid) != len(works) || validNodes != nodes {
		apportioner.logRejection(now, from, len(works)-len(valid), nodes)
	}
	apportioner.peers.replace(now, from, validNodes, valid)
	return valid
}

// Remove removes what a peer reported.
func (apportioner *Apportioner) Remove(from definer.VM) {
	apportioner.mutex.Lock()
	defer apportioner.mutex.Unlock()
	apportioner.peers.remove(from)
}

// logRejection logs that a peer sent invalid values. The mutex is held.
func (apportioner *Apportioner) logRejection(now time.Time, from definer.VM, entries, nodes int) {
	if last, ok := apportioner.rejections[from]; ok && now.Sub(last) < rejectionLogInterval {
		return
	}
	if len(apportioner.rejections) >= maxRejections {
		clear(apportioner.rejections) // At worst, a rejection is logged once more.
	}
	apportioner.rejections[from] = now
	apportioner.log(logger.EventShareRejected, "from", from, "entries", entries, "nodes", nodes)
}

// validWorks returns the entries that a node may have sent, at most maxEntries with at most
// maxReportedWork together. It returns the slice itself if all are valid.
func validWorks(works []messenger.OrganisationWork) []messenger.OrganisationWork {
	left, count := maxReportedWork, 0
	accept := func(work messenger.OrganisationWork) bool {
		if count >= maxEntries || !isValid(&work) || work.Work > left {
			return false
		}
		left -= work.Work
		count++
		return true
	}
	if rejected := slices.IndexFunc(works, func(work messenger.OrganisationWork) bool { return !accept(work) }); rejected >= 0 {
		valid := slices.Clone(works[:rejected])
		for _, work := range works[rejected+1:] {
			if accept(work) {
				valid = append(valid, work)
			}
		}
		return valid
	}
	return works
}

// isValid reports whether a node may have sent the entry.
func isValid(work *messenger.OrganisationWork) bool {
	named := work.Service != "" && len(work.Service) <= maxNameBytes && len(work.Organisation) <= maxNameBytes
	return named && work.Tier >= 0 && work.Tier <= maxTier && work.Work >= 0
}
