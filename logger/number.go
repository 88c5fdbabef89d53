package logger

// The numbers of the events that are logged outside the core. The numbers of the core's events are
// in package decider; docs/EVENTS.md describes all of them.
const (
	// EventNodeStarted reports that the process accepts requests.
	EventNodeStarted = 2001
	// EventNodeStopped reports that the process is about to exit.
	EventNodeStopped = 2002
	// EventListenerFailed reports that the process could not serve on an address.
	EventListenerFailed = 2003
	// EventSettingsRejected reports that the settings have faults.
	EventSettingsRejected = 2004
	// EventServerComplaint reports a line that the HTTP library logs about a connection.
	EventServerComplaint = 2005
	// EventRequestEnded reports how a caller's request ended.
	EventRequestEnded = 2101
	// EventRequestRejected reports that a request was rejected before it reached the core.
	EventRequestRejected = 2102
	// EventPeerUnreachable reports that messages to a peer are lost.
	EventPeerUnreachable = 2201
	// EventPeerReachable reports that messages to a peer are delivered again.
	EventPeerReachable = 2202
	// EventPeerRejected reports that a connection to the inner address was rejected.
	EventPeerRejected = 2203
	// EventPlatformAway reports that the platform stopped answering.
	EventPlatformAway = 2301
	// EventPlatformBack reports that the platform answers again.
	EventPlatformBack = 2302
	// EventWatchBroken reports that a watch restarts with a listing.
	EventWatchBroken = 2303
	// EventHeadUnusable reports that the stored configuration cannot be read.
	EventHeadUnusable = 2304
	// EventInnerPlain reports that the inner protocol runs without TLS.
	EventInnerPlain = 2401
	// EventUpstreamMismatch reports that an upstream returned the response to a different attempt.
	EventUpstreamMismatch = 2502
	// EventCancelFailed reports that an attempt could not be cancelled on an upstream.
	EventCancelFailed = 2503
	// EventOperatorRejected reports that an operator's call had no valid token.
	EventOperatorRejected = 2602
	// EventDrainRequested reports that a planned stop was requested.
	EventDrainRequested = 2603
	// EventRequestSent reports to which upstream a request is sent, and the basis of the choice.
	EventRequestSent = 3101
	// EventSendFailed reports that one send of a request returned no response to pass on.
	EventSendFailed = 3102
	// EventRequestFinished reports how a forwarded request ended.
	EventRequestFinished = 3103
	// EventAnswerUndelivered reports that a caller disconnected before its response was written.
	EventAnswerUndelivered = 3104
	// EventRequestHeldOff reports that a request is refused because upstreams crashed on it.
	EventRequestHeldOff = 3105
	// EventRequestReleased reports that a refused request may be sent again.
	EventRequestReleased = 3106
	// EventRequestLifted reports that an operator allowed a refused request to be sent again.
	EventRequestLifted = 3107
	// EventStreamTakenUp reports at which software version a stream that its caller takes up goes on.
	EventStreamTakenUp = 3108
	// EventSilenceEndured reports that a request goes on at a silent upstream.
	EventSilenceEndured = 3109
	// EventAnswerSkipped reports that a response to another request came where that of a request was due.
	EventAnswerSkipped = 3110
	// EventNodeBusy reports that a node became short of processor time, or is no longer.
	EventNodeBusy = 3120
	// EventConnectionsClosed reports new connections of callers that were closed unread.
	EventConnectionsClosed = 3121
	// EventTableApplied reports that a configuration from the platform is in force.
	EventTableApplied = 3201
	// EventTableRejected reports that a configuration from the platform cannot be used.
	EventTableRejected = 3202
	// EventUpstreamChanged reports that an upstream's entry was added, changed or removed.
	EventUpstreamChanged = 3203
	// EventEntryUnreadable reports that an entry in the platform's store cannot be read.
	EventEntryUnreadable = 3204
	// EventUpstreamRestarted reports that an upstream restarted under the same name.
	EventUpstreamRestarted = 3205
	// EventUpstreamAnnounced reports how an upstream announced that it is to be called.
	EventUpstreamAnnounced = 3206
	// EventAnnouncementUnreadable reports that such an announcement cannot be read.
	EventAnnouncementUnreadable = 3207
	// EventPermitsIssued reports that this node issues the permits of an upstream with a limit.
	EventPermitsIssued = 3208
	// EventIssuerSilent reports that a node which issues permits does not answer.
	EventIssuerSilent = 3209
	// EventEvacuationChanged reports that the evacuation of a data centre began or ended.
	EventEvacuationChanged = 3210
	// EventUpstreamPresumedLost reports that an upstream gets no requests on the evidence of two nodes.
	EventUpstreamPresumedLost = 3212
	// EventUpstreamReadmitted reports that such an upstream gets requests again.
	EventUpstreamReadmitted = 3213
	// EventEvidenceRejected reports that evidence in the reports of a peer was dropped.
	EventEvidenceRejected = 3214
	// EventEnginePaceChanged reports that an engine became slow or is no longer slow.
	EventEnginePaceChanged = 3215
	// EventRoomShort reports that the capacity of a service became short or suffices again.
	EventRoomShort = 3216
	// EventShareExceeded reports that an organisation exceeds its share of a service.
	EventShareExceeded = 3217
	// EventShareRejected reports that a peer sent invalid values about organisations' work.
	EventShareRejected = 3218
	// EventLoadRejected reports that invalid loads in the reports of peers were dropped.
	EventLoadRejected = 3219
	// EventPathLost reports that this node reaches an upstream through a peer only.
	EventPathLost = 3220
	// EventPathRestored reports that this node reaches such an upstream itself again.
	EventPathRestored = 3221
	// EventRejectionLimitChanged reports that a service has got a limit of rejections, or a different
	// one, or has none any more.
	EventRejectionLimitChanged = 3222
	// EventRejectedWithPermit reports that an upstream with a limit of rejections rejected a request.
	EventRejectedWithPermit = 3223
	// EventConnectionReset reports that an upstream reset a new connection at once.
	EventConnectionReset = 3224
	// EventUpstreamMissing reports that an upstream's entry was missing soon after an outage.
	EventUpstreamMissing = 3225
	// EventVersionWritten reports that this node wrote which software version a service has or had.
	EventVersionWritten = 3226
	// EventHealthAsked reports what an upstream on probation answered when it was asked whether it is healthy.
	EventHealthAsked = 3227
	// EventStoreAway reports that the platform's store stopped answering.
	EventStoreAway = 3301
	// EventStoreBack reports that the platform's store answers again.
	EventStoreBack = 3302
	// EventReadinessChanged reports that the node became ready or is no longer ready.
	EventReadinessChanged = 3303
	// EventStopStep reports which step a planned stop has reached.
	EventStopStep = 3304
	// EventSettingsReloaded reports that the settings were read again.
	EventSettingsReloaded = 3305
	// EventMetricsFailed reports that metrics cannot be recorded or served.
	EventMetricsFailed = 3306
	// EventAggregatorChanged reports to which node this node reports its load.
	EventAggregatorChanged = 3307
	// EventConfigurationBehind reports that a peer has a newer configuration.
	EventConfigurationBehind = 3308
	// EventStoreCalls reports the numbers of calls to the platform's store.
	EventStoreCalls = 3309
	// EventStoreReader reports that this node starts or stops reading the store itself.
	EventStoreReader = 3310
	// EventProcessLimits reports the limits of the process at its start.
	EventProcessLimits = 3311
	// EventResourceHigh reports that the process uses much of its memory or descriptors, or no longer.
	EventResourceHigh = 3312
	// EventUsageUnreadable reports that what the process uses cannot be read.
	EventUsageUnreadable = 3313
	// EventPartCrashed reports that a part of the node has panicked.
	EventPartCrashed = 3314
	// EventBuffersUnbounded reports that receive buffers cannot be sized.
	EventBuffersUnbounded = 3315
	// EventProcessPaused reports that the process did not run for a while.
	EventProcessPaused = 3316
	// EventStoreSilent reports that the platform's store has answered no node for long.
	EventStoreSilent = 3317
	// EventChangesWatched reports the changes that a watch on the platform's store returned.
	EventChangesWatched = 3318
	// EventListContradicts reports that a list shows changes that the node's copy claimed to have.
	EventListContradicts = 3319
	// EventCopiesDisagree reports that a peer holds other entries than this node at the same revision.
	EventCopiesDisagree = 3320
	// EventConfigurationAsked reports that a configuration was requested from a peer.
	EventConfigurationAsked = 3321
	// EventUsageSettled reports the usage that is to be reported for a window, and its basis.
	EventUsageSettled = 3401
	// EventUsageReported reports that the platform accepted the usage of a window.
	EventUsageReported = 3402
	// EventUsageSkipped reports that the usage of windows is too old to be reported.
	EventUsageSkipped = 3403
	// EventDutyFailed reports that a step of a duty failed, and which.
	EventDutyFailed = 3404
	// EventEnginesOrdered reports how many engines were ordered, and the basis.
	EventEnginesOrdered = 3405
	// EventHandlerCrashed reports that a handler's panic was recovered.
	EventHandlerCrashed = 2901
	// EventQueueFull reports that work was dropped because a queue was full.
	EventQueueFull = 2903
)
