package forwarder

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
)

// Record tells how a caller's request ended.
type Record struct {
	Attempt string
	// Identity is the same for all attempts of one request; empty when its body was not read.
	Identity     definer.RequestIdentity
	Rule         string
	Service      definer.PoolName
	Organisation definer.OrganisationName
	Tier         int
	// Status is what the caller was answered; 0 means that the connection was
	// closed without a whole answer.
	Status int
	Reason Reason
	// MayHaveRun tells whether an upstream may have run the request.
	MayHaveRun bool
	// Sends counts the upstreams that the request was sent to.
	Sends int
	// First is the time to the first byte of the answer, Total to its end.
	First time.Duration
	Total time.Duration
	// Gap is the longest pause between two blocks of events.
	Gap time.Duration
	// Objective and GapObjective are the rule's, by which First and Gap are judged;
	// 0 is none.
	Objective    time.Duration
	GapObjective time.Duration
	// Version is that of the configuration, Age since when it was confirmed.
	Version uint64
	Age     time.Duration
	// Events counts the blocks of events that were passed on.
	Events int
	// Bytes counts the bytes of the answer's body.
	Bytes int
}

// Met tells whether the answer came whole and in time.
func (record *Record) Met() bool {
	inTime := record.Objective == 0 || record.First <= record.Objective
	steady := record.GapObjective == 0 || record.Gap <= record.GapObjective
	return record.Reason == Served && inTime && steady
}

// finish tells how the request ended.
func (passage *passage) finish() {
	record := &passage.result
	record.Total = time.Since(passage.arrived)
	passage.forwarder.record(*record)
	passage.forwarder.log(logger.EventRequestFinished,
		"request", record.Attempt, "identity", record.Identity, "rule", record.Rule, "service", record.Service,
		"organisation", record.Organisation, "tier", record.Tier,
		"status", record.Status, "reason", record.Reason, "mayHaveRun", record.MayHaveRun,
		"sends", record.Sends, "firstMs", record.First.Milliseconds(), "totalMs", record.Total.Milliseconds(),
		"gapMs", record.Gap.Milliseconds(), "events", record.Events, "bytes", record.Bytes,
		"version", record.Version, "ageMs", record.Age.Milliseconds(),
	)
}
