package logger

import (
	"slices"

	"limpetcleat/decider"
)

// Entry describes one event of the catalogue.
type Entry struct {
	// number is unique in the catalogue.
	number  int
	level   Level
	name    string
	meaning string
	action  string
}

// Number returns the number of the event.
func (entry Entry) Number() int { return entry.number }

// Level returns the severity of the event.
func (entry Entry) Level() Level { return entry.level }

// Name returns the name of the event in camel case, which is logged with the number.
func (entry Entry) Name() string { return entry.name }

// Meaning returns a description of what has happened.
func (entry Entry) Meaning() string { return entry.meaning }

// Action returns what an operator does about the event.
func (entry Entry) Action() string { return entry.action }

const noAction = "Nothing."

// Catalogue returns the entries of all events, ordered by number.
func Catalogue() []Entry {
	return slices.Concat(coreEntries(), processEntries(), trafficEntries(), operatorEntries(), forwardingEntries(), nodeEntries(), dutyEntries())
}

// coreEntries returns the entries of the events that the core logs.
func coreEntries() []Entry {
	return []Entry{
		{decider.EventConfigurationApplied, Info, "configurationApplied", "A configuration came into force on this node.", noAction},
		{decider.EventConfigurationRejected, Failure, "configurationRejected", "A configuration failed its checks; the previous one stays in force.", "Read the cause and write a corrected configuration. A configuration written with `rules put` fails here only if the nodes run different versions of the program."},
		{decider.EventConfigurationDiverged, Failure, "configurationDiverged", "Another node has different content under the version in force; this node keeps its own until a newer version arrives.", "Write the wanted configuration again, which creates a newer version; find out who changed it without the tool."},
		{decider.EventPlatformSetBack, Failure, "platformSetBack", "The platform holds an older version than the one in force; the version in force stays.", "Find out what reset the platform to the older version, then write the wanted configuration with `rules put -floor`, above the version in force."},
		{decider.EventMemberAlive, Info, "memberAlive", "A node was detected as up.", noAction},
		{decider.EventMemberGone, Warning, "memberGone", "A node failed, left or was replaced by a later run.", "Nothing after a planned stop. Otherwise check the VM, and check for a network partition if several nodes go at once."},
		{decider.EventNodePaused, Warning, "nodePaused", "This process did not run for a while; it treats its leases as expired.", "If it repeats, check the VM's host: the host is overcommitted or was frozen."},
		{decider.EventShardOwned, Info, "shardOwned", "This node now schedules a shard of a pool.", noAction},
		{decider.EventShardLost, Info, "shardLost", "This node no longer schedules a shard of a pool.", "Nothing for single events; many in a short time mean that nodes join and leave frequently."},
		{decider.EventShardOpened, Info, "shardOpened", "This node starts to grant slots of a shard after it has received the reports of the slots still in use.", noAction},
		{decider.EventGrantReclaimed, Warning, "grantReclaimed", "A slot was reclaimed because its node is gone or no longer reports the slot as in use.", "Nothing after the loss of a node; otherwise check for a network partition."},
		{decider.EventEmergencyGrant, Warning, "emergencyGrant", "This node granted a slot from its small emergency allowance because the shard's owner does not respond.", "Check the owner. Many of these events over more than a few seconds mean that no other node takes over the shard."},
		{decider.EventUpstreamLeaving, Info, "upstreamLeaving", "An upstream is leaving and receives no new work.", noAction},
		{decider.EventUpstreamLimited, Info, "upstreamLimited", "An upstream announced, in a response to this node or through the node given as source, how many requests per second it accepts from all nodes together; none means no limit.", "Nothing for single events. Check the upstream's load if a limit persists."},
		{decider.EventRequestRefused, Info, "requestRefused", "A caller's request was refused; the event gives the reason and the outcome.", "Nothing for single events. If a class misses its target, look up the reason in the operations page."},
		{decider.EventAttemptFailed, Warning, "attemptFailed", "An attempt to run a request ended without a complete response; the request may be retried. firstMs is the time to the first byte of the response (0: none came), totalMs the time that the attempt took.", "Nothing for single events. Check the upstream if many events name the same one."},
		{decider.EventHeldOff, Warning, "heldOff", "Upstreams crashed one after the other while they ran a request with this identity; its attempts are refused from now on. The event gives the upstreams, the nodes that reported the crashes and the longest time that the refusal lasts.", "Fix the cause of the crashes, then lift the refusal: see the operations page."},
		{decider.EventReleased, Info, "released", "A request with this identity may be sent again: it was served or an operator lifted the refusal (cleared), the crashes are attributed to another request (explained), or the refusal has expired (over).", noAction},
		{decider.EventDrainBegan, Info, "drainBegan", "A planned stop began; the node accepts no new requests.", noAction},
		{decider.EventDrainEnded, Info, "drainEnded", "A planned stop has no requests or other work left to wait for.", noAction},
		{decider.EventClaimGivenUp, Warning, "claimGivenUp", "A claim on an idempotency key was not settled with the platform in time; the call was not run.", "Check for an outage of the platform; the caller may retry with the same key."},
		{decider.EventClaimNotStored, Warning, "claimNotStored", "The outcome of a claimed call could not be stored in time; a repeat with the same key receives the outcome unknown.", "Check for an outage of the platform."},
	}
}

// processEntries returns the entries of the events of starting and stopping the process.
func processEntries() []Entry {
	return []Entry{
		{EventNodeStarted, Info, "nodeStarted", "The process accepts requests on its addresses.", noAction},
		{EventNodeStopped, Info, "nodeStopped", "The process is about to exit.", "Nothing after a planned stop; otherwise read the cause."},
		{EventListenerFailed, Failure, "listenerFailed", "The process could not serve on an address.", "Check that the address belongs to this VM and that no other process uses it."},
		{EventSettingsRejected, Failure, "settingsRejected", "The settings have faults; the process does not start.", "Correct each line named in the cause; `limpetcleat check` reports the faults without starting the process."},
		{EventServerComplaint, Warning, "serverComplaint", "The HTTP library reported a failed connection.", "Nothing for single events."},
	}
}

// trafficEntries returns the entries of the events of connections and calls to and from callers,
// peers, the platform and upstreams.
func trafficEntries() []Entry {
	return []Entry{
		{EventRequestEnded, Info, "requestEnded", "A caller's request ended; the event gives its class, outcome, reason and durations.", noAction},
		{EventRequestRejected, Info, "requestRejected", "A request was rejected before it reached the core: it had no valid key, was too large, arrived too slowly or was malformed.", "Inform the organisation if it persists."},
		{EventPeerUnreachable, Warning, "peerUnreachable", "Messages to a node are lost.", "Check the VM, and check for a network partition if several nodes report it for one data centre."},
		{EventPeerReachable, Info, "peerReachable", "Messages to a node are delivered again.", noAction},
		{EventPeerRejected, Warning, "peerRejected", "A connection to the inner address was rejected: it had no valid certificate, or sent no message of the nodes' protocol.", "Check the certificates of the VM that opened the connection; if the VM is not part of the system, find out who runs it."},
		{EventPlatformAway, Warning, "platformAway", "The platform stopped answering; the node continues with the data it has.", "Restore the platform. Until then, configuration changes are delayed and requests whose key needs a claim are refused."},
		{EventPlatformBack, Info, "platformBack", "The platform answers again.", noAction},
		{EventWatchBroken, Info, "watchBroken", "The platform no longer keeps the changes since the last version that a watch received; the watch restarts with a listing.", "Nothing, unless it repeats every few seconds."},
		{EventHeadUnusable, Failure, "headUnusable", "The configuration stored on the platform cannot be read or lacks a section; the node keeps the configuration in force.", "Write the configuration again with `rules put`; find out who changed it without the tool."},
		{EventInnerPlain, Warning, "innerPlain", "The nodes communicate without TLS beyond loopback because plainAnywhere is set: anyone who reaches the inner address is trusted.", "Set the TLS files of [inner] and remove plain and plainAnywhere, unless the network itself is closed."},
		{EventUpstreamMismatch, Failure, "upstreamMismatch", "An upstream returned the response to a different attempt; no byte of that response was passed on.", "Remove the upstream from its pool, then examine it and any proxy in front of it."},
		{EventCancelFailed, Warning, "cancelFailed", "An attempt could not be cancelled on an upstream because the upstream was unreachable or too many cancellations were waiting; the upstream may continue to compute a response that is discarded.", "Nothing for single events."},
	}
}

// forwardingEntries returns the entries of the events of a node that forwards requests by its own
// decisions.
func forwardingEntries() []Entry {
	return []Entry{
		{EventRequestSent, Info, "requestSent", "A request is sent to an upstream; the event gives the identity that all attempts of the same request share, the rule, the basis of the choice and the time left. lastEvent is set if the send continues a stream after that event, resumes if the caller does so: it names the request that brought the first event. entry is listed, missing if the upstream's entry was removed and may be back after an outage of the store, or rewritten if it was written again after its removal. revision is that of the upstream's entry, copyAgeMs for how long the store has not confirmed the list of upstreams to this node, itself or through peers. heardMs is how long ago this node last received something from the upstream, peersHeardMs how long ago a peer did (-1: not known): with others in flight there (basis), a request that is sent after a long silence may lie unread.", noAction},
		{EventSendFailed, Warning, "sendFailed", "One send of a request returned no response to pass on; the request may be sent again. outcome is notSent if no byte was written to the upstream, notRun if the upstream stated that it did not run the request, else unknown. connection is the number of the connection and, after the point, how many exchanges it had begun, this one included (0.0 if there was none). If the connection broke, presence reports whether the upstream still listens: refused means that it has ended; parts are then the parts of the prompt that other requests may share. entry and copyAgeMs are as in 3101, now. opened is set if a connection was opened for the send or had carried no exchange before it, choiceAgeMs is how long after the choice of the upstream the first byte was written, or how long ago it was chosen if none was. heardMs is how long ago this node last received something from the upstream, peersHeardMs how long ago a peer did (-1: not known). Reason full means that the upstream rejected the send for want of capacity: send is its number among the sends of the request, believedInFlight how many requests of all nodes were believed to be in flight there when it was chosen.", "Nothing for single events. Check the upstream if many events name the same one, and the request if events with one identity name several upstreams in turn as refused, or the part that events of several such upstreams have in common. If many upstreams are named with a low peersHeardMs, check this node's network path to them."},
		{EventRequestFinished, Info, "requestFinished", "A request ended; the event gives its status (0 for a connection that was closed), reason, why a failed send was not repeated (unrepeated: attempts, retryBudget, upstream or heldOff), the longest time between the choice of an upstream and the first byte written to it (choiceAgeMs), durations, of which lastSendMs is that from the arrival to the last send, the objectives of its rule for the first event and for a pause (0 for none), and the version and age of the configuration.", "Nothing for single events. The operations page explains each reason."},
		{EventAnswerUndelivered, Info, "answerUndelivered", "A caller disconnected before its response was written.", noAction},
		{EventRequestHeldOff, Warning, "requestHeldOff", "Upstreams crashed one after the other while they ran a request with this identity, or prompts with this part if part is true; such requests are refused from now on. The event gives the upstreams, the nodes that reported the crashes and the longest time that the refusal lasts.", "Find the request by its identity in the preceding events, fix the cause of the crashes, then lift the refusal: see the operations page."},
		{EventRequestReleased, Info, "requestReleased", "A request with this identity may be sent again: it was served or an operator lifted the refusal (cleared), the crashes are attributed to another request (explained), or the refusal has expired (over).", noAction},
		{EventRequestLifted, Info, "requestLifted", "An operator allowed a request that was refused because upstreams crashed to be sent again; all nodes are notified.", noAction},
		{EventStreamTakenUp, Info, "streamTakenUp", "A caller takes up a stream that an earlier attempt has begun. The outcome is recorded if the software version that began it is known, onlyVersion if the service has had one version only, else unknown, and the stream is refused. The event gives the nodes that were asked and that answered, the number of versions that the node knows of the service, for how long it has listed them (listedMs), which is without meaning if firstStart is set, and how old its list of upstreams is (listAgeMs).", "Nothing for single events. If many are unknown while all nodes run, check the connections between nodes."},
		{EventSilenceEndured, Info, "silenceEndured", "An upstream has sent nothing for so long that the request would be sent to another one, but it goes on there: no other upstream may be sent the request now (unrepeated=upstream), the one that was sent it has rejected it or failed (rejected), the retry budget is used up (retryBudget), the request is held off (heldOff), no send may begin any more because of the time limit or a planned stop (ending), or this node noticed it only lateMs after it was due, since it did not run meanwhile (late). began is set if the answer has begun. unheardMs is how long the kernel of the upstream, or of the peer that relays the connection, has acknowledged nothing. heardMs is how long ago this node last received something from the upstream, peersHeardMs how long ago a peer did (-1: not known). Logged once for each send.", "Nothing for single events. If many upstreams are named at a time and peersHeardMs is low, check this node's network path and processor time; otherwise check the upstreams."},
		{EventAnswerSkipped, Warning, "answerSkipped", "A response to another request came where that of a request was due, and was skipped. connection is as in 3102, status that of the response, notRun whether it states that its request did not run, of the request that it names (empty if none), afterMs how long after the begin of the send it came. Logged for the first three of a request; the metric limpetcleat_skipped_answers_total counts all.", "Nothing for single events; if many name one upstream, inform its operators."},
		{EventNodeBusy, Warning, "nodeBusy", "All wake-ups of this node are late by delayMs or more, over allowedMs, which follows from the latency objectives: it is short of processor time. Until busy=false it accepts acceptedPerSecond new connections from callers and closes the others unread; their callers connect to other nodes. closed is the number of connections closed since the shortage began, unread that of the connections on which no request has begun.", "Compare the connections of the nodes (`limpetcleat_caller_connections_total`): if one has most of them, the balancer sends them there; if all are busy, add VMs."},
		{EventConnectionsClosed, Warning, "connectionsClosed", "New connections of callers were closed unread since the last such event, a second ago at least: crowded because as many (room) waited as this node can work off in time, at one in spacingMs; unread because they were the oldest of too many on which no request had been received. exceeded connections were closed for want of memory: as many were open as the memory limit allows (open), so that idle ones gave way or new ones were closed, or many callers sent long headers.", "Nothing for single events; compare `limpetcleat_caller_connections_total` of the nodes. If unread repeats, find out who opens connections without sending a request."},
		{EventTableApplied, Info, "tableApplied", "A configuration from the platform came into force.", noAction},
		{EventTableRejected, Failure, "tableRejected", "A configuration from the platform cannot be used; the previous one stays in force.", "Read the cause and write a corrected configuration."},
		{EventUpstreamChanged, Info, "upstreamChanged", "An upstream's entry was added, changed or removed; coldMs is how much longer the upstream warms up, during which the requests of all nodes together are limited. createdAt is the revision of the entry's creation: if it is later than an earlier event's revision, the entry was removed in between. sequence is the number of the heartbeat that wrote the entry, by the upstream's own count: if it is not higher than an earlier event's of the same start, the write was executed late. stopping is set if this start of the upstream has said that it stops, which no later entry takes back; rewritten if the entry was written again after its removal, perhaps by a late write: the upstream then gets no requests for six seconds, three of its heartbeats and the bound on leaving, unless its service has no other. from is the node that sent the change, store if this node read it itself.", noAction},
		{EventEntryUnreadable, Warning, "entryUnreadable", "An entry in the platform's store cannot be read. An unreadable upstream or node entry is ignored; with an unreadable configuration the previous one stays in force. Logged once for each content.", "Find out who wrote the entry with that name. The metric limpetcleat_unreadable_entries counts the entries that cannot be read at present."},
		{EventUpstreamRestarted, Info, "upstreamRestarted", "An upstream restarted under the same name; the state kept for it is discarded and its requests are ended.", noAction},
		{EventUpstreamAnnounced, Info, "upstreamStated", "An upstream announced a change in how it is to be called, in its responses or through a peer (source): limit is the number of requests per second that it accepts from all nodes together (none for no limit), rejectionLimit how many rejections per second it tolerates before it crashes (none for no limit), leaving whether it is about to end, retryAfterMs the time for which this node must send it nothing. The event gives the request of that response.", "Nothing for single events. Check the upstream's load if a limit persists."},
		{EventAnnouncementUnreadable, Warning, "statementUnreadable", "A header in which an upstream announces how it is to be called cannot be read and is ignored; the previous values stay in effect. Logged when the unreadable headers change.", "Inform the upstream's operators."},
		{EventPermitsIssued, Info, "permitsIssued", "This node issues the permits of an upstream with a limit, or its position among the nodes that may issue them changed: position is the number of nodes that precede it, each of which divides the rate at which this node issues permits by three. limit is the limit that the upstream announced, and coldLimit the one while it warms up, for another coldMs. With listKnown=false this node has not read the list of nodes and issues permits at an eighth of the rate.", "Nothing, unless a position above 0 persists: check the preceding nodes, which are listed but do not answer."},
		{EventIssuerSilent, Warning, "issuerSilent", "A node that issues permits, or should issue them, did not answer a request; it is skipped for a while. Logged once until it answers.", "Check the VM, and check for a network partition if several nodes report it for one data centre."},
		{EventEvacuationChanged, Warning, "evacuationChanged", "An operator ordered that nothing be sent to the upstreams of a data centre (evacuated=true), or withdrew the order, after which these upstreams count as cold. With known=false, the deployment has no data centre of that name and the order has no effect. remaining is the number of data centres of the deployment that are not evacuated.", "If remaining is 0, callers are refused as confined: withdraw an order. Correct the name of an unknown data centre."},
		{EventUpstreamPresumedLost, Warning, "upstreamPresumedLost", "Two nodes (witness, secondWitness) found within a second that an upstream is lost: its address refused a connection, the connection was reset, or another incarnation answered (kind, secondKind). It gets no requests while another upstream may serve them, except probes, for which the nodes take turns.", "Nothing if event 3203 or 3213 for the upstream follows within seconds; otherwise check the upstream. `limpetcleat lost` lists the evidence."},
		{EventUpstreamReadmitted, Info, "upstreamReadmitted", "An upstream that was presumed lost gets requests again: something was received from it (signOfLife), or the evidence was not repeated (expired). lostMs is how long it was presumed lost.", noAction},
		{EventEvidenceRejected, Warning, "evidenceRejected", "Evidence of lost upstreams in the reports of a node was dropped because no node can have observed it; count is the number of items since the last such event.", "Check the version of the node that sent it."},
		{EventEnginePaceChanged, Info, "enginePaceChanged", "By the first events that all nodes observed, an engine takes more than twice as long as usual compared with the other engines of its service (factor above 2), or less than 1.5 times as long again. expectedMs and actualMs sum up when its recent first events were expected and when they came. Logged at most once a second for each engine.", "Nothing for single events; requests go to other engines meanwhile. If an engine stays slow, check its VM; `limpetcleat predicted` shows its present factor."},
		{EventRoomShort, Warning, "roomShort", "The capacity of a service became short (short=true): its requests need more than 0.85 of the time of its live engines. While it is short, requests that exceed their organisation's share wait behind all others and are refused first. With short=false, they need less than 0.75 again. utilisation is the fraction needed, engines the number of live engines, nodes the number of listed nodes and reported the number whose requests are counted; the sums are extrapolated to all listed nodes.", "List the organisations with `limpetcleat shares`. If it persists, add engines; if engines are lost, restore them. If reported is far below nodes on one node only, check that node's connection to its peers."},
		{EventShareExceeded, Info, "shareExceeded", "The requests of an organisation need more engine time per second (work) than its share while capacity is short; the excess waits behind all other requests and is refused first. Logged once for each organisation in a shortage.", "Inform the organisation if it persists; see the operations page on refusals of one organisation."},
		{EventShareRejected, Warning, "shareRejected", "A node sent work of organisations that no node can have: a negative or too large value, a name of more than 256 bytes, or too many entries. The entries are dropped. Logged at most once a minute for each node.", "Check the version of the program on that node."},
		{EventLoadRejected, Warning, "loadRejected", "Loads or amounts of work in reports of peers were impossible (negative, too large, or with too long a name) and were dropped; the rest of the reports was applied. rejected is their number since the previous event, node the sender of the latest. Logged at most once a second.", "Check the version of the program on that node."},
		{EventPathLost, Warning, "pathLost", "This node cannot connect to an upstream, and a peer can: until event 3221, new connections to the address go through peers. With silent=true nothing answered the attempt, so that open connections may be lost as well.", "Nothing if event 3221 follows within seconds; otherwise check the network path from this VM to the address. `limpetcleat_lost_paths` counts the upstreams that are reached so."},
		{EventPathRestored, Info, "pathRestored", "This node connects to an upstream itself again. lostMs is how long it used peers.", noAction},
		{EventRejectionLimitChanged, Warning, "rejectionLimitChanged", "The upstreams of a service announced, in their responses or through a peer (source), how many rejections per second each tolerates before it crashes (limit; none for no limit any more). While there is a limit, requests are sent to them only with a permit for a place. forMs is how long there has been a limit.", "Reduce the load of the service, or add upstreams, if requests are refused as limited meanwhile. `limpetcleat places` shows the places in use."},
		{EventRejectedWithPermit, Warning, "rejectedWithPermit", "An upstream that tolerates few rejections rejected a request of a node (peer) although it had a permit of this node. othersInUse is the number of other permits in use, room the number that will be issued from now on (0 until the rejections are a second old), rejected how many requests it has rejected within the last second.", "Nothing for single events: the room is adapted. Check the upstream's memory if events name it again and again, and for requests that are too large for it."},
		{EventConnectionReset, Warning, "connectionReset", "An upstream reset a new connection before it sent anything, most likely because it accepts no more: this node opens no other one there for pausedMs. open is the number of this node's connections, withPermit how many of them need a permit, accepted the number that the upstream accepts from all nodes together by the configuration.", "Nothing for single events: an upstream accepts fewer while many requests wait there. If events repeat, compare the sum of open over all nodes with accepted."},
		{EventUpstreamMissing, Info, "upstreamMissing", "The entry of an upstream was removed soon after an outage of the platform's store, as this node (from=store) or a peer read. copyAgeMs is how long ago the store had last answered for all that this node follows, answeredMs how long ago it last answered any call of any node, as far as this node knows. The upstream stays in use for forMs, unless its entry is back by then.", noAction},
		{EventVersionWritten, Info, "versionWritten", "This node wrote the entry of a software version of a service to the platform's store (operation=create or replace), or removed it: such entries tell nodes that start later which versions may have begun a stream. goneMs is for how long no upstream of the version has been listed. cause is set if the store did not answer with success; the write is repeated, by this node or another one, if it is still due.", "Nothing for single events. With a cause for longer than a few seconds, no streams begin at a version that is new: check the platform's store."},
		{EventHealthAsked, Info, "healthAsked", "A request wanted an upstream whose entry was written again after its removal, while its service has no other, and the upstream was asked whether it is healthy: healthy is set if its response stated that under its own name, status is that of the response (0 if none came because of the cause), afterMs the time that it took. With healthy=false it is sent no request; those that no other upstream can serve are refused as noUpstream. At most 32 questions are asked in half a second.", "Nothing for single events. If a healthy upstream does not state it, check that its service has the right health path."},
	}
}

// nodeEntries returns the entries of the events of such a node itself: its calls to the platform's store, its stop and
// its process.
func nodeEntries() []Entry {
	return []Entry{
		{EventStoreAway, Warning, "storeAway", "The platform's store stopped answering, no longer keeps the changes that the node requested (failures 0), or has more of them than a full list would contain (failures 0). With watchesOnly=true, watches fail and lists are answered or have not been tried: the node polls by lists until watches are answered again. Logged again each time the number of consecutive failures has doubled.", "Check the store and the network path to it. The cause names the call and how much of its response had arrived: if much had arrived, check the node's link and the size of the configuration. Requests with a key are refused once the configuration has been unconfirmed for too long."},
		{EventStoreBack, Info, "storeBack", "The platform's store answers again.", noAction},
		{EventReadinessChanged, Info, "readinessChanged", "The node became ready or is no longer ready.", "If a node is not ready for long, check the preceding events about the store."},
		{EventStopStep, Info, "stopStep", "A planned stop reached its next step. With step=cut, the grace period is over, and the node closes the given numbers of connections of callers and begun streams; their events 3103 have reason=cut.", noAction},
		{EventSettingsReloaded, Info, "settingsReloaded", "The settings were read again; if they have a fault, the previous settings stay in force.", "Correct the settings if the event has a cause."},
		{EventMetricsFailed, Warning, "metricsFailed", "Metrics cannot be recorded or served; requests are still served.", "Check the port of the metrics; report a metric that cannot be registered."},
		{EventAggregatorChanged, Info, "aggregatorChanged", "The node now reports its load to a different node of its group, or became the node that the others report to.", "If many nodes stop reporting to the same node, check that node."},
		{EventConfigurationBehind, Info, "configurationBehind", "A peer has a newer configuration than this node, which requests it from the store.", "Nothing if event 3201 with that version follows within seconds; otherwise event 3301 gives the result of the calls."},
		{EventStoreCalls, Info, "storeCalls", "The number of calls to the platform's store since the node started, by outcome, and by feed, reason and outcome; logged every 10 s and at a planned stop.", "If the calls cost more than expected, see the operations page: `retrying` (watches) and `relisting` (lists) indicate a failing store, `hurried` peers with a newer configuration."},
		{EventStoreReader, Info, "storeAsker", "This node starts to read the platform's store itself (asks=true), as the leader of its data centre or because no confirmation from another node is recent, or leaves reading the store to others.", "Nothing for single events. If many nodes that are not leaders start to read the store, they receive no reports from other nodes or the store fails: see events 3301 and 3307."},
		{EventProcessLimits, Info, "processLimits", "The limits of this process at its start, 0 for unknown or none: memory in bytes at which it is killed, heapLimit in bytes from which the Go runtime collects garbage more often, descriptors that it may open, and the bandwidth of its link. pid is its process ID.", "Nothing. If the log has no event 2002 before this one, the previous process did not end by a planned stop: see the operations page."},
		{EventResourceHigh, Warning, "resourceHigh", "The resident memory or the open file descriptors (resource) of this process reached 0.8 of their limit (high=true), or are below 0.7 again. The event gives what is used, the heap in it, the connections of callers, the streams that have begun, and the bytes held of callers' requests (bodies), upstreams' answers, peers' messages, answers of the store, and in receive buffers of the kernel. Without a descriptor left, no connection is opened or accepted; at its memory limit, the process is killed without another line.", "See the operations page on streams that are cut off at one node."},
		{EventUsageUnreadable, Warning, "usageUnreadable", "The kernel does not tell what this process uses, so that event 3312 is never logged. Logged once until it can be read again.", "Check that /proc is mounted."},
		{EventPartCrashed, Failure, "partCrashed", "A part of the node panicked; the event gives the cause and the stack. The node begins a planned stop, so that the requests that have begun are answered, and ends with exit code 1.", "Report the stack. The supervisor starts the process again."},
		{EventBuffersUnbounded, Warning, "buffersUnbounded", "The receive buffers of the connections of a listener cannot be sized, so that the memory that they take is not bounded.", "Report the cause."},
		{EventProcessPaused, Warning, "processPaused", "The process did not run for pausedMs: its VM was frozen or suspended, or it got no processor time. What other nodes and the store sent meanwhile is read now.", "Nothing for single events; otherwise check the VM and its host."},
		{EventStoreSilent, Info, "storeSilent", "The platform's store has answered again, this node (from=store) or a peer, after it had answered no node for silentMs, as far as this node knows. The time includes the wait of a watch that was open when the silence began. proven is set if an answer was owed to this node for so long that entries of living upstreams may have lapsed.", "Nothing for single events; otherwise check the store."},
	}
}

// dutyEntries returns the entries of the events of duties, each performed by one node at a time.
func dutyEntries() []Entry {
	return []Entry{
		{EventUsageSettled, Info, "usageSettled", "This node has settled the usage that is reported for a window. The event gives the basis: the number of running processes, the number that reported all that they counted (toldAll), the number lost before they did so (lost) and the number of nodes listed.", "Nothing if whole=true. Otherwise requests may be missing from the bill: look for the last events of the lost processes, and for event 3307 if the reports of a node do not arrive."},
		{EventUsageReported, Info, "usageTold", "The platform accepted the usage of a window; the event gives the time since the window's end.", noAction},
		{EventUsageSkipped, Failure, "usageSkipped", "No node was able to report usage for so long that the given windows are omitted.", "Find the cause: check event 3404 of the aggregating nodes, the store and the platform's address for duties."},
		{EventDutyFailed, Warning, "dutyFailed", "A step of a duty failed and is retried: claim is the write to the store, tell and order are the calls to the platform. Kinds: conflict and resting mean another node's claim, outdated a newer claim that the platform has seen, unanswered a call that may still be carried out, unreadable a claim written by another program or version.", "Nothing for single events. For unreadable, find out who wrote the duty's object in the store and remove the object."},
		{EventEnginesOrdered, Info, "enginesOrdered", "This node ordered engines of a service in a data centre: count is the number ordered, need the total that the recent peak load requires with headroom, busy the number that the load occupies now. A cause gives the reason why the platform did not accept the order; the order is placed again.", "Nothing. If orders of spot engines are refused for long, none are available: see the operations page on orders of engines."},
	}
}

// operatorEntries returns the entries of the events of operators' calls and of faults in the
// program.
func operatorEntries() []Entry {
	return []Entry{
		{EventOperatorRejected, Warning, "operatorRejected", "A call to the operators' address had no valid token.", "Find out who made the call if it was none of the operators."},
		{EventDrainRequested, Info, "drainAsked", "A planned stop was requested by a signal or by an operator.", noAction},
		{EventHandlerCrashed, Failure, "handlerCrashed", "The handler of a request panicked; the caller received an error and the process continues.", "Report it with the stack trace in the event."},
		{EventQueueFull, Warning, "queueFull", "Work was dropped because an internal queue was full.", "Add VMs, or reduce the load on this one."},
	}
}
