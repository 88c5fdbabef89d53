package decider

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	// maxDeliveryTime bounds the delivery of a grant or a report: a report may
	// lack a grant that its entry VM has not received yet.
	maxDeliveryTime = 2 * time.Second
	// releasedRetention is how long a released grant is remembered, so that a
	// late report does not restore it.
	releasedRetention = 10 * time.Second
	// grantLease is how long a grant lasts without a report of its entry VM,
	// which may never have received it.
	grantLease = 3 * reportInterval
)

// grantRecord is one grant as the owner of its shard knows it.
type grantRecord struct {
	entry    definer.Member
	request  definer.RequestID
	attempt  int
	upstream definer.UpstreamName
	// since is when the owner granted or adopted it.
	since time.Time
	// renewed is when the entry VM last reported that it holds the grant.
	renewed time.Time
}

// ledger records who holds which grant of a shard. The scheduler counts slots;
// the ledger knows their holders.
type ledger struct {
	// grants holds the grants in use.
	grants map[definer.GrantID]grantRecord
	// released holds the times of recent releases.
	released map[definer.GrantID]time.Time
}

func newLedger() *ledger {
	return &ledger{grants: make(map[definer.GrantID]grantRecord), released: make(map[definer.GrantID]time.Time)}
}

// add records a grant.
func (ledger *ledger) add(grant definer.GrantID, record grantRecord) {
	record.renewed = record.since
	ledger.grants[grant] = record
}

// renew records that an entry VM still holds a grant.
func (ledger *ledger) renew(now time.Time, grant definer.GrantID) {
	if record, ok := ledger.grants[grant]; ok {
		record.renewed = now
		ledger.grants[grant] = record
	}
}

// expired returns the grants whose lease has ended.
func (ledger *ledger) expired(now time.Time) []definer.GrantID {
	var lapsed []definer.GrantID
	for _, grant := range sortedKeys(ledger.grants) {
		if now.Sub(ledger.grants[grant].renewed) > grantLease {
			lapsed = append(lapsed, grant)
		}
	}
	return lapsed
}

// remove records that a grant was released.
func (ledger *ledger) remove(now time.Time, grant definer.GrantID) {
	delete(ledger.grants, grant)
	ledger.released[grant] = now
}

// withdraw records that all grants of a request were released.
func (ledger *ledger) withdraw(now time.Time, request definer.RequestID) {
	for _, grant := range sortedKeys(ledger.grants) {
		if ledger.grants[grant].request == request {
			ledger.remove(now, grant)
		}
	}
}

// adoptable reports whether a reported grant is unknown and was not released
// before.
func (ledger *ledger) adoptable(grant definer.GrantID) bool {
	_, known := ledger.grants[grant]
	_, released := ledger.released[grant]
	return !known && !released
}

// missing returns the grants of an entry VM that its report lacks, except those
// that it may not have received yet.
func (ledger *ledger) missing(now time.Time, entry definer.Member, report *messenger.GrantReport) []definer.GrantID {
	listed := make(map[definer.GrantID]bool, len(report.Grants))
	for _, held := range report.Grants {
		listed[held.Grant] = true
	}
	var missing []definer.GrantID
	for _, grant := range sortedKeys(ledger.grants) {
		record := ledger.grants[grant]
		if record.entry == entry && !listed[grant] && now.Sub(record.since) > maxDeliveryTime {
			missing = append(missing, grant)
		}
	}
	return missing
}

// grantsOf returns the grants of a member.
func (ledger *ledger) grantsOf(member definer.Member) []definer.GrantID {
	var grants []definer.GrantID
	for _, grant := range sortedKeys(ledger.grants) {
		if ledger.grants[grant].entry == member {
			grants = append(grants, grant)
		}
	}
	return grants
}

// running returns the number of grants for an upstream.
func (ledger *ledger) running(upstream definer.UpstreamName) int {
	count := 0
	for _, record := range ledger.grants {
		if record.upstream == upstream {
			count++
		}
	}
	return count
}

// prune drops old releases.
func (ledger *ledger) prune(now time.Time) {
	for grant, at := range ledger.released {
		if now.Sub(at) > releasedRetention {
			delete(ledger.released, grant)
		}
	}
}
