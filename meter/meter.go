package meter

import (
	"cmp"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"limpetcleat/acceptor"
	"limpetcleat/announcer"
	"limpetcleat/corroborator"
	"limpetcleat/definer"
	"limpetcleat/follower"
	"limpetcleat/forwarder"
	"limpetcleat/gatekeeper"
	"limpetcleat/monitor"
	"limpetcleat/throttler"
	"limpetcleat/versioner"
)

// The names of the metrics, without the prefix.
const (
	forwardedMetric        = "forwarded_total"
	sendsMetric            = "sends_total"
	storeCallsMetric       = "store_calls_total"
	storeBytesMetric       = "store_bytes_total"
	firstByteMetric        = "first_byte_seconds"
	durationMetric         = "duration_seconds"
	longestGapMetric       = "longest_gap_seconds"
	firstEventRatioMetric  = "first_event_ratio"
	pauseRatioMetric       = "pause_ratio"
	unreadableMetric       = "unreadable_entries"
	versionMetric          = "configuration_version"
	ageMetric              = "configuration_age_seconds"
	readsStoreMetric       = "asks_store"
	heldOffMetric          = "held_off_requests"
	suspectedMetric        = "suspected_requests"
	limitedUpstreamsMetric = "limited_upstreams"
	leavingUpstreamsMetric = "leaving_upstreams"
	rejectionLimitsMetric  = "rejection_limited_services"
	backoffsMetric         = "backoffs_total"
	unconnectedMetric      = "unconnected_total"
	rejectedSendsMetric    = "rejected_sends_total"
	lostPathsMetric        = "lost_paths"
	skippedMetric          = "skipped_answers_total"
	judgedMetric           = "caller_connections_total"
	upstreamConnsMetric    = "upstream_connections"

	relayedConnectionsMetric = "relayed_connections"
	permitsMetric            = "permits_total"
	evacuationsMetric        = "evacuated_data_centres"
	copyAgeMetric            = "copy_age_seconds"
	probationMetric          = "upstreams_on_probation"
	missingMetric            = "upstreams_missing"
	contradictionsMetric     = "copy_contradictions"
	heldBytesMetric          = "held_bytes"
	shortServicesMetric      = "short_services"
	beyondShareMetric        = "beyond_share_total"
	takenUpMetric            = "taken_up_streams_total"
	originsMetric            = "origin_searches_total"
	connectionsMetric        = "caller_connections"
	openStreamsMetric        = "open_streams"
	memoryMetric             = "memory_bytes"
	descriptorsMetric        = "descriptors"
	presumedLostMetric       = "presumed_lost_upstreams"
	lossEvidenceMetric       = "lost_upstream_evidence_total"
)

// The values of the label "met", which records whether a request met its objectives.
const (
	metValue    = "met"
	lateValue   = "late"
	heardValue  = "heard"
	silentValue = "silent"
)

// Meter records the metrics of a node that forwards requests. The labels of requests are services,
// tiers, reasons, statuses and whether the objectives were met; organisations, rules and upstreams
// are never labels because they are too many. A Meter is safe for concurrent use.
type Meter struct {
	scope *Scope
	// lossEvidence is the number of observations of losses that were counted.
	lossEvidence int
	// mutex guards scopes. No other lock of this package is taken while it is held.
	mutex sync.Mutex
	// scopes caches the scopes of requests by their labels.
	scopes map[requestLabels]tally.Scope
}

// requestLabels are the label values of the counters of requests.
type requestLabels struct {
	service definer.PoolName
	tier    int
	reason  forwarder.Reason
	status  int
	met     string
}

// New returns a meter. It calls report for each metric that cannot be registered. The caller closes
// the meter.
func New(report func(error)) *Meter {
	all := []string{"service", "tier", "reason", "status", "met"}
	return &Meter{
		scopes: make(map[requestLabels]tally.Scope),
		scope: NewScope(report,
			Counter{forwardedMetric, all, "Ended requests by how they ended."},
			Counter{sendsMetric, all, "Sends to upstreams of those requests."},
			Counter{unconnectedMetric, []string{"service", "peers"}, "Attempts without a connection to their upstream, by whether a peer had received something from it within a second (heard) or not (silent)."},
			Counter{skippedMetric, []string{"service"}, "Responses to other requests that came where that of a request was due, and were skipped."},
			Counter{rejectedSendsMetric, []string{"service", "send"}, "Sends that an upstream rejected for want of capacity, by whether they were the first send of their request or a repeat."},
			Counter{storeCallsMetric, []string{"feed", "reason", "outcome"}, "Calls to the platform's store by what was asked for, why, and how they ended."},
			Counter{permitsMetric, []string{"outcome"}, "Asks for permits to send a request to an upstream with a limit."},
			Counter{judgedMetric, []string{"closed"}, "New connections of callers, by why they were closed unread (none, busy, crowded, unread)."},
			Counter{backoffsMetric, nil, "Refusals of upstreams that asked not to be sent anything for a time."},
			Counter{beyondShareMetric, []string{"service", "tier"}, "Requests beyond their organisation's share while capacity was short, served or refused."},
			Counter{takenUpMetric, []string{"service", "reason"}, "Streams that callers took up after an earlier attempt had begun them, by how they ended."},
			Counter{originsMetric, []string{"outcome"}, "Searches for the software version that began a stream, by their outcome."},
			Counter{lossEvidenceMetric, nil, "Observations of lost upstreams by this node and its peers that this node has recorded."},
			Counter{storeBytesMetric, nil, "Bytes of its answers, also of those that were given up before their end."},
		),
	}
}

// CountRequest counts one finished request. Only served requests are added to the latency
// histograms.
func (meter *Meter) CountRequest(record forwarder.Record) {
	met := lateValue
	if record.MetObjectives() {
		met = metValue
	}
	scope := meter.requestScope(requestLabels{record.Service, record.Tier, record.Reason, record.Status, met})
	scope.Counter(forwardedMetric).Inc(1)
	scope.Counter(sendsMetric).Inc(int64(record.Sends))
	meter.countUnconnected(&record)
	meter.countRejections(&record)
	if record.Skipped > 0 {
		meter.scope.Tagged(map[string]string{"service": string(record.Service)}).Counter(skippedMetric).Inc(int64(record.Skipped))
	}
	if record.BeyondShare {
		labels := map[string]string{"service": string(record.Service), "tier": strconv.Itoa(record.Tier)}
		meter.scope.Tagged(labels).Counter(beyondShareMetric).Inc(1)
	}
	if record.TakenUp {
		labels := map[string]string{"service": string(record.Service), "reason": string(record.Reason)}
		meter.scope.Tagged(labels).Counter(takenUpMetric).Inc(1)
	}
	if record.Version > 0 {
		meter.scope.Gauge(versionMetric).Update(float64(record.Version))
		meter.scope.Gauge(ageMetric).Update(record.Age.Seconds())
	}
	if record.Reason != forwarder.Served {
		return
	}
	timings := meter.scope.Tagged(map[string]string{"service": string(record.Service), "tier": strconv.Itoa(record.Tier)})
	recordDuration(timings, firstByteMetric, record.First)
	recordDuration(timings, durationMetric, record.Total)
	if record.Gap > 0 {
		recordDuration(timings, longestGapMetric, record.Gap)
	}
	if record.Sends == 1 {
		// The predictions are made for one send; after a resumption they describe another one.
		recordRatio(timings, firstEventRatioMetric, record.FirstSinceSend, record.ExpectedFirst)
		recordRatio(timings, pauseRatioMetric, record.Gap, record.ExpectedGap)
	}
}

// countUnconnected counts the attempts of a request that got no connection.
func (meter *Meter) countUnconnected(record *forwarder.Record) {
	counts := map[string]int{heardValue: record.UnconnectedHere, silentValue: record.Unconnected - record.UnconnectedHere}
	for peers, count := range counts {
		if count > 0 {
			meter.scope.Tagged(map[string]string{"service": string(record.Service), "peers": peers}).Counter(unconnectedMetric).Inc(int64(count))
		}
	}
}

// countRejections counts the sends of a request that upstreams rejected.
func (meter *Meter) countRejections(record *forwarder.Record) {
	if record.RejectedFirst {
		meter.scope.Tagged(map[string]string{"service": string(record.Service), "send": "first"}).Counter(rejectedSendsMetric).Inc(1)
	}
	if record.RejectedRepeats > 0 {
		meter.scope.Tagged(map[string]string{"service": string(record.Service), "send": "repeat"}).Counter(rejectedSendsMetric).Inc(int64(record.RejectedRepeats))
	}
}

// recordRatio adds the actual over the predicted time to the histogram with the name, unless one
// of them is unknown.
func recordRatio(scope tally.Scope, name string, actual, predicted time.Duration) {
	if actual > 0 && predicted > 0 {
		scope.Histogram(name, RatioBuckets()).RecordValue(actual.Seconds() / predicted.Seconds())
	}
}

// recordDuration adds a duration to the histogram with the name.
func recordDuration(scope tally.Scope, name string, duration time.Duration) {
	scope.Histogram(name, DurationBuckets()).RecordDuration(duration)
}

// CountStoreCall counts one call to the platform's store.
func (meter *Meter) CountStoreCall(call follower.Call) {
	meter.scope.Tagged(map[string]string{
		"feed":    call.Feed,
		"reason":  string(call.Reason),
		"outcome": string(call.Outcome),
	}).Counter(storeCallsMetric).Inc(1)
}

// CountStoreBytes counts bytes of responses of the platform's store.
func (meter *Meter) CountStoreBytes(bytes int64) { meter.scope.Counter(storeBytesMetric).Inc(bytes) }

// SetUnreadableEntries sets the number of entries in the platform's store that cannot be read.
func (meter *Meter) SetUnreadableEntries(entries int) {
	meter.scope.Gauge(unreadableMetric).Update(float64(entries))
}

// SetStoreReader sets whether this node reads the platform's store itself instead of relying on the
// reports of other nodes.
func (meter *Meter) SetStoreReader(reads bool) {
	value := 0.0
	if reads {
		value = 1
	}
	meter.scope.Gauge(readsStoreMetric).Update(value)
}

// SetSuspicions sets the number of requests that are held off and the number under which an
// upstream has crashed.
func (meter *Meter) SetSuspicions(held, suspected int) {
	meter.scope.Gauge(heldOffMetric).Update(float64(held))
	meter.scope.Gauge(suspectedMetric).Update(float64(suspected))
}

// SetEvacuations sets the number of data centres that are evacuated.
func (meter *Meter) SetEvacuations(count int) {
	meter.scope.Gauge(evacuationsMetric).Update(float64(count))
}

// SetCopyAge sets for how long it has not been known that the list of upstreams is complete.
func (meter *Meter) SetCopyAge(age time.Duration) {
	meter.scope.Gauge(copyAgeMetric).Update(age.Seconds())
}

// SetProbation sets the number of upstreams that get no requests since their entries were written again.
func (meter *Meter) SetProbation(upstreams int) {
	meter.scope.Gauge(probationMetric).Update(float64(upstreams))
}

// SetMissing sets the number of upstreams whose entries were removed and may be back after an outage of the store.
func (meter *Meter) SetMissing(upstreams int) {
	meter.scope.Gauge(missingMetric).Update(float64(upstreams))
}

// SetContradictions sets how often, since the start, a list or a peer had entries that this node lacked although it claimed
// to have all changes.
func (meter *Meter) SetContradictions(count int) {
	meter.scope.Gauge(contradictionsMetric).Update(float64(count))
}

// SetShortServices sets the number of services whose capacity is short.
func (meter *Meter) SetShortServices(services int) {
	meter.scope.Gauge(shortServicesMetric).Update(float64(services))
}

// SetHeldBytes sets what the process holds in memory of what others have sent.
func (meter *Meter) SetHeldBytes(held monitor.Held) {
	kinds := map[string]int64{"bodies": held.Bodies, "answers": held.Answers, "messages": held.Messages, "store": held.Store, "buffers": held.Buffers}
	for kind, bytes := range kinds {
		meter.scope.Tagged(map[string]string{"kind": kind}).Gauge(heldBytesMetric).Update(float64(bytes))
	}
}

// SetUsage sets what the process uses and holds for callers.
func (meter *Meter) SetUsage(usage monitor.Usage, work monitor.Work) {
	meter.scope.Gauge(connectionsMetric).Update(float64(work.Connections))
	meter.scope.Gauge(openStreamsMetric).Update(float64(work.Streams))
	meter.scope.Gauge(descriptorsMetric).Update(float64(usage.Descriptors))
	for kind, bytes := range map[string]int64{"resident": usage.Memory, "heap": usage.Heap} {
		meter.scope.Tagged(map[string]string{"kind": kind}).Gauge(memoryMetric).Update(float64(bytes))
	}
}

// SetAnnouncements sets the number of upstreams with a limit and of those that announced that they
// leave.
func (meter *Meter) SetAnnouncements(counts announcer.Counts) {
	meter.scope.Gauge(limitedUpstreamsMetric).Update(float64(counts.Limited))
	meter.scope.Gauge(leavingUpstreamsMetric).Update(float64(counts.Leaving))
	meter.scope.Gauge(rejectionLimitsMetric).Update(float64(counts.RejectionLimited))
}

// SetUpstreamConnections sets the number of connections to upstreams that limit it, of the permits for them, and
// of the upstreams that have just reset one.
func (meter *Meter) SetUpstreamConnections(counts gatekeeper.Counts) {
	for kind, number := range map[string]int{"open": counts.Open, "permitted": counts.Permitted, "paused": counts.Paused} {
		meter.scope.Tagged(map[string]string{"kind": kind}).Gauge(upstreamConnsMetric).Update(float64(number))
	}
}

// CountConnection counts a new connection of a caller, with why it was closed unread or an empty reason.
func (meter *Meter) CountConnection(closed acceptor.Reason) {
	meter.scope.Tagged(map[string]string{"closed": cmp.Or(string(closed), "none")}).Counter(judgedMetric).Inc(1)
}

// SetLosses sets the number of upstreams that are presumed lost, and counts the observations of losses
// since the previous call. The calls must not be concurrent.
func (meter *Meter) SetLosses(counts corroborator.Counts) {
	meter.scope.Gauge(presumedLostMetric).Update(float64(counts.Presumed))
	meter.scope.Counter(lossEvidenceMetric).Inc(int64(counts.Evidence - meter.lossEvidence))
	meter.lossEvidence = counts.Evidence
}

// SetRelayed sets the number of connections to upstreams that this node relays for peers.
func (meter *Meter) SetRelayed(open int) { meter.setRelayed("in", open) }

// SetRelays sets the number of connections to upstreams that peers relay for this node.
func (meter *Meter) SetRelays(open int) { meter.setRelayed("out", open) }

func (meter *Meter) setRelayed(direction string, open int) {
	meter.scope.Tagged(map[string]string{"direction": direction}).Gauge(relayedConnectionsMetric).Update(float64(open))
}

// SetLostPaths sets the number of upstreams that this node reaches through peers only.
func (meter *Meter) SetLostPaths(lost int) { meter.scope.Gauge(lostPathsMetric).Update(float64(lost)) }

// CountBackoff counts one response of an upstream that requests a backoff.
func (meter *Meter) CountBackoff() { meter.scope.Counter(backoffsMetric).Inc(1) }

// CountPermitRequest counts one request for a permit by its outcome.
func (meter *Meter) CountPermitRequest(outcome throttler.Outcome) {
	meter.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter(permitsMetric).Inc(1)
}

// CountOriginSearch counts one search for the software version that began a stream.
func (meter *Meter) CountOriginSearch(outcome versioner.Outcome) {
	meter.scope.Tagged(map[string]string{"outcome": string(outcome)}).Counter(originsMetric).Inc(1)
}

// Handler returns a handler that serves the metrics as text.
func (meter *Meter) Handler() http.Handler { return meter.scope.Handler() }

// Close stops the reporting of the meter.
func (meter *Meter) Close() error { return meter.scope.Close() }

// requestScope returns the scope for the labels, which it creates on first use.
func (meter *Meter) requestScope(labels requestLabels) tally.Scope {
	meter.mutex.Lock()
	defer meter.mutex.Unlock()
	scope, ok := meter.scopes[labels]
	if !ok {
		scope = meter.scope.Tagged(map[string]string{
			"service": string(labels.service),
			"tier":    strconv.Itoa(labels.tier),
			"reason":  string(labels.reason),
			"status":  strconv.Itoa(labels.status),
			"met":     labels.met,
		})
		meter.scopes[labels] = scope
	}
	return scope
}
