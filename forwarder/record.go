package forwarder

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
)

// Record tells how a caller's request ended.
type Record struct {
	Attempt      string
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
	// Objective is the rule's, by which First is judged.
	Objective time.Duration
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
	return record.Reason == Served && (record.Objective == 0 || record.First <= record.Objective)
}

// finish tells how the request ended.
func (passage *passage) finish() {
	record := &passage.result
	record.Total = time.Since(passage.arrived)
	passage.forwarder.record(*record)
	passage.forwarder.log(logger.EventRequestFinished,
		"request", record.Attempt, "rule", record.Rule, "service", record.Service,
		"organisation", record.Organisation, "tier", record.Tier,
		"status", record.Status, "reason", record.Reason, "mayHaveRun", record.MayHaveRun,
		"sends", record.Sends, "firstMs", record.First.Milliseconds(), "totalMs", record.Total.Milliseconds(),
		"events", record.Events, "bytes", record.Bytes,
		"version", record.Version, "ageMs", record.Age.Milliseconds(),
	)
}
