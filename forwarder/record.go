package forwarder

import (
	"time"

	"limpetcleat/definer"
	"limpetcleat/logger"
)

// Record describes a finished request of a caller.
type Record struct {
	Attempt string
	// Identity is the same for all attempts of one request; empty if its body was not read.
	Identity definer.RequestIdentity
	// Culprit is the identity of what the request was held off for: itself or a part of its prompt.
	Culprit      definer.RequestIdentity
	Rule         string
	Service      definer.PoolName
	Organisation definer.OrganisationName
	Tier         int
	// BeyondShare is set if the request exceeded its organisation's share while capacity was
	// short.
	BeyondShare bool
	// Status is the HTTP status sent to the caller; 0 means that the connection was closed
	// without a complete answer.
	Status int
	Reason Reason
	// MayHaveRun tells that an upstream may have run the request.
	MayHaveRun bool
	// Sends counts the upstreams that the request was sent to.
	Sends int
	// ChoiceAge is the longest time between the choice of an upstream and the first byte that was written to it.
	ChoiceAge time.Duration
	// LastSend is the time from the request's arrival to its last send.
	LastSend time.Duration
	// RejectedFirst is set if an upstream rejected the first send for want of capacity, and
	// RejectedRepeats counts the later sends that were rejected.
	RejectedFirst   bool
	RejectedRepeats int
	// Unrepeated is why a failed send was not followed by another one; empty if the last send did not
	// fail.
	Unrepeated Obstacle
	// Skipped counts the responses to other requests that came on the connections of its sends.
	Skipped int
	// Unconnected counts the attempts that got no connection to their upstream, UnconnectedHere
	// those of them at upstreams from which a peer had just received something.
	Unconnected     int
	UnconnectedHere int
	// TakenUp is set if the caller continued a stream that an earlier attempt had begun.
	TakenUp bool
	// First is the time from the request's arrival to the first byte of the answer, Total to
	// its end.
	First time.Duration
	Total time.Duration
	// Gap is the longest time between two blocks of events.
	Gap time.Duration
	// FirstSinceSend is the time from the latest send to its first event, of a stream only.
	FirstSinceSend time.Duration
	// ExpectedFirst and ExpectedGap are what was predicted for FirstSinceSend and Gap when the
	// upstream was chosen, of a stream only; 0 is no prediction.
	ExpectedFirst time.Duration
	ExpectedGap   time.Duration
	// Objective and GapObjective are the rule's objectives for First and Gap; 0 is none.
	Objective    time.Duration
	GapObjective time.Duration
	// Version is the version of the configuration, and Age the time since it was last
	// confirmed, at the request's arrival.
	Version uint64
	Age     time.Duration
	// Events counts the blocks of events that were written to the caller.
	Events int
	// Bytes counts the bytes of the answer's body.
	Bytes int
}

// MetObjectives reports whether the answer was delivered completely and within its objectives.
func (record *Record) MetObjectives() bool {
	inTime := record.Objective == 0 || record.First <= record.Objective
	steady := record.GapObjective == 0 || record.Gap <= record.GapObjective
	return record.Reason == Served && inTime && steady
}

// finish reports and logs how the request ended.
func (exchange *exchange) finish() {
	record := &exchange.result
	record.Total = time.Since(exchange.arrivedAt)
	exchange.forwarder.record(*record)
	exchange.forwarder.log(logger.EventRequestFinished,
		"request", record.Attempt, "status", record.Status, "reason", record.Reason, "mayHaveRun", record.MayHaveRun,
		"sends", record.Sends, "lastSendMs", record.LastSend.Milliseconds(), "totalMs", record.Total.Milliseconds(),
		"rule", record.Rule, "service", record.Service, "identity", record.Identity, "culprit", record.Culprit,
		"organisation", record.Organisation, "tier", record.Tier, "beyondShare", record.BeyondShare, "unrepeated", record.Unrepeated, "takenUp", record.TakenUp, "unconnected", record.Unconnected, "unconnectedHere", record.UnconnectedHere,
		"choiceAgeMs", record.ChoiceAge.Milliseconds(), "firstMs", record.First.Milliseconds(),
		"gapMs", record.Gap.Milliseconds(), "objectiveMs", record.Objective.Milliseconds(),
		"gapObjectiveMs", record.GapObjective.Milliseconds(), "events", record.Events, "bytes", record.Bytes,
		"version", record.Version, "ageMs", record.Age.Milliseconds(),
	)
}
