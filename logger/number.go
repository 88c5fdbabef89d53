package logger

// The numbers of the events of the processes around the core, whose own are
// in package decider; docs/EVENTS.md tells what each means.
const (
	// EventNodeStarted says that the process serves.
	EventNodeStarted = 2001
	// EventNodeStopped says that the process is about to exit.
	EventNodeStopped = 2002
	// EventListenerFailed says that an address could not be served.
	EventListenerFailed = 2003
	// EventSettingsRejected says that the settings have faults.
	EventSettingsRejected = 2004
	// EventServerComplaint passes on a line of the HTTP library.
	EventServerComplaint = 2005
	// EventRequestEnded says how a caller's request ended.
	EventRequestEnded = 2101
	// EventRequestRejected says that a request never reached the core.
	EventRequestRejected = 2102
	// EventPeerUnreachable says that messages to a peer are lost.
	EventPeerUnreachable = 2201
	// EventPeerReachable says that messages to a peer get through again.
	EventPeerReachable = 2202
	// EventPeerRejected says that an inner connection was turned away.
	EventPeerRejected = 2203
	// EventPlatformAway says that the platform stopped answering.
	EventPlatformAway = 2301
	// EventPlatformBack says that the platform answers again.
	EventPlatformBack = 2302
	// EventWatchBroken says that a watch has to begin anew with a listing.
	EventWatchBroken = 2303
	// EventHeadUnusable says that the stored configuration cannot be read.
	EventHeadUnusable = 2304
	// EventInnerPlain says that the inner protocol goes without TLS.
	EventInnerPlain = 2401
	// EventUpstreamMismatch says that an upstream answered another attempt.
	EventUpstreamMismatch = 2502
	// EventCancelFailed says that an upstream could not be told to stop.
	EventCancelFailed = 2503
	// EventOperatorRejected says that an operator's call had no valid token.
	EventOperatorRejected = 2602
	// EventDrainAsked says that a planned stop was asked for.
	EventDrainAsked = 2603
	// EventRequestSent says which upstream a request is sent to, and why there.
	EventRequestSent = 3101
	// EventSendFailed says that one send of a request gave no answer to pass on.
	EventSendFailed = 3102
	// EventRequestFinished says how a request that was forwarded ended.
	EventRequestFinished = 3103
	// EventAnswerUndelivered says that a caller left before its answer was written.
	EventAnswerUndelivered = 3104
	// EventRequestHeldOff says that a request makes upstreams end and is sent to none.
	EventRequestHeldOff = 3105
	// EventRequestReleased says that such a request may be sent again.
	EventRequestReleased = 3106
	// EventRequestLifted says that an operator lets such a request be sent again.
	EventRequestLifted = 3107
	// EventTableApplied says that a configuration from the platform is in force.
	EventTableApplied = 3201
	// EventTableRejected says that a configuration from the platform is unusable.
	EventTableRejected = 3202
	// EventUpstreamChanged says that an upstream's entry came, changed or went.
	EventUpstreamChanged = 3203
	// EventEntryUnreadable says that an entry of the platform's store cannot be read.
	EventEntryUnreadable = 3204
	// EventUpstreamRestarted says that an upstream started again under its name.
	EventUpstreamRestarted = 3205
	// EventUpstreamStated says what an upstream says of how it wants to be asked.
	EventUpstreamStated = 3206
	// EventStatementUnreadable says that an upstream says so in a form that cannot be read.
	EventStatementUnreadable = 3207
	// EventPermitsIssued says that this node hands out the permits of an upstream with a limit.
	EventPermitsIssued = 3208
	// EventIssuerSilent says that a node which hands out permits does not answer.
	EventIssuerSilent = 3209
	// EventStoreAway says that the platform's store stopped answering.
	EventStoreAway = 3301
	// EventStoreBack says that the platform's store answers again.
	EventStoreBack = 3302
	// EventReadinessChanged says that the node became ready or ceased to be.
	EventReadinessChanged = 3303
	// EventStopStep says how far a planned stop is.
	EventStopStep = 3304
	// EventSettingsReloaded says that the settings were read again.
	EventSettingsReloaded = 3305
	// EventMetricsFailed says that metrics cannot be kept or served.
	EventMetricsFailed = 3306
	// EventAggregatorChanged says whom this node reports its load to.
	EventAggregatorChanged = 3307
	// EventConfigurationBehind says that a peer has a newer configuration.
	EventConfigurationBehind = 3308
	// EventStoreCalls tells the sums of the calls to the platform's store.
	EventStoreCalls = 3309
	// EventStoreAsker says that this node begins or ceases to ask the store.
	EventStoreAsker = 3310
	// EventUsageSettled says what is going to be told of a window of usage.
	EventUsageSettled = 3401
	// EventUsageTold says that the platform has taken the usage of a window.
	EventUsageTold = 3402
	// EventUsageSkipped says that windows are too long past to be told.
	EventUsageSkipped = 3403
	// EventDutyFailed says that a step of a duty failed, and which.
	EventDutyFailed = 3404
	// EventEnginesOrdered says how many engines were ordered, and from what.
	EventEnginesOrdered = 3405
	// EventHandlerCrashed says that a handler's panic was recovered.
	EventHandlerCrashed = 2901
	// EventQueueFull says that work was dropped since a queue was full.
	EventQueueFull = 2903
)
