package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// deliveryTime bounds how long a grant and a report may be under way, so
	// that a report may lack a grant that its entry VM is about to get.
	deliveryTime = 2 * time.Second
	// releasedFor is how long a released grant is remembered, so that a late
	// report does not bring it back.
	releasedFor = 10 * time.Second
	// leaseFor is how long a grant lasts that its entry VM does not report: it
	// may never have learned of it.
	leaseFor = 3 * reportEvery
)

// issue is one grant as the owner of its shard knows it.
type issue struct {
	entry    definer.Member
	request  definer.RequestID
	attempt  int
	upstream definer.UpstreamName
	// since is when the owner granted or adopted it.
	since time.Time
	// renewed is the last word of the entry VM that it holds the grant.
	renewed time.Time
}

// ledger keeps who holds which grant of a shard. The scheduler counts slots;
// the ledger knows whose they are.
type ledger struct {
	// issues holds each grant in use once.
	issues map[definer.GrantID]issue
	// released holds the time of each release of late.
	released map[definer.GrantID]time.Time
}

func newLedger() *ledger {
	return &ledger{issues: make(map[definer.GrantID]issue), released: make(map[definer.GrantID]time.Time)}
}

// add notes a grant.
func (ledger *ledger) add(grant definer.GrantID, issue issue) {
	issue.renewed = issue.since
	ledger.issues[grant] = issue
}

// renew notes that an entry VM still holds a grant.
func (ledger *ledger) renew(now time.Time, grant definer.GrantID) {
	if issue, ok := ledger.issues[grant]; ok {
		issue.renewed = now
		ledger.issues[grant] = issue
	}
}

// lapsed returns the grants that were not reported for too long.
func (ledger *ledger) lapsed(now time.Time) []definer.GrantID {
	var lapsed []definer.GrantID
	for _, grant := range sortedKeys(ledger.issues) {
		if now.Sub(ledger.issues[grant].renewed) > leaseFor {
			lapsed = append(lapsed, grant)
		}
	}
	return lapsed
}

// remove notes that a grant was given back.
func (ledger *ledger) remove(now time.Time, grant definer.GrantID) {
	delete(ledger.issues, grant)
	ledger.released[grant] = now
}

// withdraw notes that all grants of a request were given back.
func (ledger *ledger) withdraw(now time.Time, request definer.RequestID) {
	for _, grant := range sortedKeys(ledger.issues) {
		if ledger.issues[grant].request == request {
			ledger.remove(now, grant)
		}
	}
}

// adoptable tells whether a reported grant is new and was not given back.
func (ledger *ledger) adoptable(grant definer.GrantID) bool {
	_, known := ledger.issues[grant]
	_, released := ledger.released[grant]
	return !known && !released
}

// missing returns the grants of an entry VM that its report lacks, other than
// those that it may not have got yet.
func (ledger *ledger) missing(now time.Time, entry definer.Member, report *messenger.GrantReport) []definer.GrantID {
	listed := make(map[definer.GrantID]bool, len(report.Grants))
	for _, held := range report.Grants {
		listed[held.Grant] = true
	}
	var missing []definer.GrantID
	for _, grant := range sortedKeys(ledger.issues) {
		issue := ledger.issues[grant]
		if issue.entry == entry && !listed[grant] && now.Sub(issue.since) > deliveryTime {
			missing = append(missing, grant)
		}
	}
	return missing
}

// of returns the grants of a member.
func (ledger *ledger) of(member definer.Member) []definer.GrantID {
	var grants []definer.GrantID
	for _, grant := range sortedKeys(ledger.issues) {
		if ledger.issues[grant].entry == member {
			grants = append(grants, grant)
		}
	}
	return grants
}

// running returns the number of grants of an upstream.
func (ledger *ledger) running(upstream definer.UpstreamName) int {
	count := 0
	for _, issue := range ledger.issues {
		if issue.upstream == upstream {
			count++
		}
	}
	return count
}

// prune forgets old releases.
func (ledger *ledger) prune(now time.Time) {
	for grant, at := range ledger.released {
		if now.Sub(at) > releasedFor {
			delete(ledger.released, grant)
		}
	}
}
