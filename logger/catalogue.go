package logger

import (
	"slices"

	"limpetcleat/decider"
)

// Entry is what the catalogue says of one event.
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

// Level returns the severity.
func (entry Entry) Level() Level { return entry.level }

// Name returns the name in camel case that stands beside the number.
func (entry Entry) Name() string { return entry.name }

// Meaning returns what the event tells.
func (entry Entry) Meaning() string { return entry.meaning }

// Action returns what an operator does about it.
func (entry Entry) Action() string { return entry.action }

const nothing = "Nothing."

// Catalogue returns the entries of all events, by number.
func Catalogue() []Entry {
	return slices.Concat(coreEntries(), processEntries(), trafficEntries(), operatorEntries(), forwardingEntries(), dutyEntries())
}

// coreEntries are those of the events that the core reports.
func coreEntries() []Entry {
	return []Entry{
		{decider.EventConfigurationApplied, Info, "configurationApplied", "A configuration came into force on this node.", nothing},
		{decider.EventConfigurationRejected, Failure, "configurationRejected", "A configuration failed its checks; the one before stays in force.", "Read the cause and put a corrected configuration. One that was written with `rules put` cannot fail here unless the versions of the nodes differ."},
		{decider.EventConfigurationDiverged, Failure, "configurationDiverged", "The version in force has another content elsewhere; this node keeps its own until a newer version comes.", "Put the wanted configuration again, which makes a newer version; look into who wrote it past the tool."},
		{decider.EventPlatformSetBack, Failure, "platformSetBack", "The platform holds an older version than the one in force, which stays in force.", "Find out what set the platform back, then put the wanted configuration with `rules put -floor`, above the version in force."},
		{decider.EventMemberAlive, Info, "memberAlive", "A node was seen to be up.", nothing},
		{decider.EventMemberGone, Warning, "memberGone", "A node failed, left or was replaced by a later run.", "Nothing after a planned stop. Otherwise look for the VM, and for a partition when several go at once."},
		{decider.EventNodePaused, Warning, "nodePaused", "This process did not run for a while; what it believed of its leases is taken as lapsed.", "Look at the VM's host when it repeats: it is overcommitted or was frozen."},
		{decider.EventShardOwned, Info, "shardOwned", "This node now schedules a shard of a pool.", nothing},
		{decider.EventShardLost, Info, "shardLost", "This node no longer schedules a shard of a pool.", "Nothing; many in a short time mean that nodes come and go."},
		{decider.EventShardOpened, Info, "shardOpened", "This node begins to grant slots of a shard, after it has heard what is still in use.", nothing},
		{decider.EventGrantReclaimed, Warning, "grantReclaimed", "A slot was taken back whose node is gone or no longer claims it.", "Nothing after the loss of a node; otherwise look for a partition."},
		{decider.EventEmergencyGrant, Warning, "emergencyGrant", "This node granted a slot of its small allowance, since the shard's owner is silent.", "Look for the owner; many for longer than a few seconds mean that no other takes its place."},
		{decider.EventUpstreamLeaving, Info, "upstreamLeaving", "An upstream is leaving and gets no new work.", nothing},
		{decider.EventUpstreamLimited, Info, "upstreamLimited", "An upstream says, in an answer to this node or through the node named as source, how many requests a second it takes from all nodes together; none is no limit.", "Nothing for single ones. Look at the upstream's load when a limit lasts."},
		{decider.EventRequestRefused, Info, "requestRefused", "A caller got a refusal; the reason and the outcome stand beside it.", "Nothing for single ones. See the reason in the operations page when a class misses its target."},
		{decider.EventAttemptFailed, Warning, "attemptFailed", "An attempt to run a request gave no whole answer; the request may be tried again.", "Nothing for single ones. Look at the upstream when many name the same one."},
		{decider.EventHeldOff, Warning, "heldOff", "Upstreams ended one after the other with a request of this identity on them; attempts of it are refused from now on. The upstreams, who told of them and how long the refusal lasts at the most stand beside it.", "Mend what ends the upstreams, then lift it: see the operations page."},
		{decider.EventReleased, Info, "released", "A request of this identity may be sent again: it was served or lifted (cleared), another one is known to have ended the upstreams (explained), or the time is over (over).", nothing},
		{decider.EventDrainBegan, Info, "drainBegan", "A planned stop began; no new request is taken.", nothing},
		{decider.EventDrainEnded, Info, "drainEnded", "A planned stop has nothing left to wait for.", nothing},
		{decider.EventClaimGivenUp, Warning, "claimGivenUp", "A claim on a key could not be settled with the platform in time; the call did not run.", "Look for an outage of the platform; the caller may ask again with the same key."},
		{decider.EventClaimNotStored, Warning, "claimNotStored", "What became of a claimed call could not be stored in time; a repeat of the key is told unknown.", "Look for an outage of the platform."},
	}
}

// processEntries are those of the process's own life.
func processEntries() []Entry {
	return []Entry{
		{EventNodeStarted, Info, "nodeStarted", "The process serves on its addresses.", nothing},
		{EventNodeStopped, Info, "nodeStopped", "The process is about to exit.", "Nothing after a planned stop; otherwise read the cause."},
		{EventListenerFailed, Failure, "listenerFailed", "An address could not be served.", "Check that the address is this VM's and that no other process has it."},
		{EventSettingsRejected, Failure, "settingsRejected", "The settings have faults; the process does not start.", "Correct each line that the fault names; `limpetcleat check` tells them without starting."},
		{EventServerComplaint, Warning, "serverComplaint", "The HTTP library reports a connection that went wrong.", "Nothing for single ones."},
	}
}

// trafficEntries are those of callers, peers, the platform and upstreams.
func trafficEntries() []Entry {
	return []Entry{
		{EventRequestEnded, Info, "requestEnded", "A caller's request ended; its class, outcome, reason and durations stand beside it.", nothing},
		{EventRequestRejected, Info, "requestRejected", "A request was turned away before it reached the core: no valid key, too large, too slow or malformed.", "Tell the organisation if it keeps coming."},
		{EventPeerUnreachable, Warning, "peerUnreachable", "Messages to a node are lost.", "Look for the VM, and for a partition when several nodes say so of one data centre."},
		{EventPeerReachable, Info, "peerReachable", "Messages to a node get through again.", nothing},
		{EventPeerRejected, Warning, "peerRejected", "A connection to the inner address was turned away: no valid certificate, or no message of this protocol.", "Check the certificates of the VM it came from; if it is none of the system's, find out who it is."},
		{EventPlatformAway, Warning, "platformAway", "The platform stopped answering; the node goes on with what it has.", "Restore the platform. Until then changes of the configuration wait and keys that need a claim are refused."},
		{EventPlatformBack, Info, "platformBack", "The platform answers again.", nothing},
		{EventWatchBroken, Info, "watchBroken", "The platform no longer keeps the changes since the version that a watch had seen; the watch begins anew with a listing.", "Nothing, unless it repeats every few seconds."},
		{EventHeadUnusable, Failure, "headUnusable", "The configuration that the platform stores cannot be read or lacks a section; the node keeps the one in force.", "Write the configuration again with rules put; look into who wrote it past the tool."},
		{EventInnerPlain, Warning, "innerPlain", "The nodes talk without TLS beyond loopback, since plainAnywhere is set: anyone who reaches the inner address is believed.", "Set the TLS files of [inner] and remove plain and plainAnywhere, unless the network itself is closed."},
		{EventUpstreamMismatch, Failure, "upstreamMismatch", "An upstream answered for another attempt than the one it was asked for; no byte of the other answer was passed on.", "Take the upstream out of its pool and look into it or into what stands before it."},
		{EventCancelFailed, Warning, "cancelFailed", "An upstream could not be told to stop an attempt, since it could not be reached or too many orders to cancel wait; it may go on computing for nobody.", "Nothing for single ones."},
	}
}

// forwardingEntries are those of a node that forwards by its own decisions.
func forwardingEntries() []Entry {
	return []Entry{
		{EventRequestSent, Info, "requestSent", "A request is sent to an upstream; the identity that all attempts of the same request share, the rule, what the choice was made from and the time that is left stand beside it.", nothing},
		{EventSendFailed, Warning, "sendFailed", "One send of a request gave no answer to pass on; it may be sent again. Where the connection broke, presence tells whether the upstream still listens: refused means that it has ended.", "Nothing for single ones. Look at the upstream when many name the same one, and at the request when lines of one identity name one refused upstream after the other."},
		{EventRequestFinished, Info, "requestFinished", "A request ended; its status (0 for a connection that was closed), reason, durations and the version and age of the configuration stand beside it.", "Nothing for single ones. The operations page tells what each reason means."},
		{EventAnswerUndelivered, Info, "answerUndelivered", "A caller left before its answer was written.", nothing},
		{EventRequestHeldOff, Warning, "requestHeldOff", "Upstreams ended one after the other with a request of this identity on them; attempts of it are refused from now on. The upstreams, who told of them and how long the refusal lasts at the most stand beside it.", "Find the request by its identity in the lines before, mend what ends the upstreams, then lift it: see the operations page."},
		{EventRequestReleased, Info, "requestReleased", "A request of this identity may be sent again: it was served or lifted (cleared), another one is known to have ended the upstreams (explained), or the time is over (over).", nothing},
		{EventRequestLifted, Info, "requestLifted", "An operator lets a request be sent again that upstreams ended under; all nodes are told.", nothing},
		{EventTableApplied, Info, "tableApplied", "A configuration from the platform came into force.", nothing},
		{EventTableRejected, Failure, "tableRejected", "A configuration from the platform cannot be used; the one before stays in force.", "Read the cause and write a corrected configuration."},
		{EventUpstreamChanged, Info, "upstreamChanged", "An upstream's entry came, changed or went.", nothing},
		{EventEntryUnreadable, Warning, "entryUnreadable", "An entry of the platform's store cannot be read; it names no upstream or node, and a configuration leaves the one before in force. Told once for each content.", "Look who wrote the entry of that name. Metric limpetcleat_unreadable_entries counts those that there are."},
		{EventUpstreamRestarted, Info, "upstreamRestarted", "An upstream started again under its name; what was believed of it is forgotten and its requests are ended.", nothing},
		{EventUpstreamStated, Info, "upstreamStated", "An upstream says, in its answers or through a peer (source), how it wants to be asked, and that has changed: limit is the requests a second that it takes from all nodes together (none for no limit), leaving whether it is about to end, retryAfterMs how long it wants nothing from this node. The answer's request stands beside it.", "Nothing for single ones. Look at the upstream's load when a limit lasts."},
		{EventStatementUnreadable, Warning, "statementUnreadable", "A header in which an upstream says how it wants to be asked cannot be read and is passed over; what was known before holds. Told when it changes.", "Tell the upstream's operators."},
		{EventPermitsIssued, Info, "permitsIssued", "This node hands out the permits of an upstream with a limit, or its place among those that may has changed: position is how many nodes go before it; each lowers its rate by half. With listKnown=false it has not read the list of nodes and hands out an eighth.", "Nothing, unless a position above 0 lasts: look for the nodes before it, which are listed and do not answer."},
		{EventIssuerSilent, Warning, "issuerSilent", "A node that hands out permits, or should, did not answer an ask; it is passed over for a while. Told once until it answers.", "Look for the VM, and for a partition when several nodes say so of one data centre."},
		{EventStoreAway, Warning, "storeAway", "The platform's store stopped answering, no longer has the changes that the node asked for (failures 0), or has more of them than a list would tell (failures 0). Told again whenever the number of failures in a row has doubled.", "Look at the store and at the way to it. The cause names the call and how much of its answer had arrived: with much of it there, look at the node's link and the size of the configuration. Requests with a key are refused once the configuration was not confirmed for too long."},
		{EventStoreBack, Info, "storeBack", "The platform's store answers again.", nothing},
		{EventReadinessChanged, Info, "readinessChanged", "The node became ready or ceased to be.", "Look at what the lines before tell of the store when a node is not ready for long."},
		{EventStopStep, Info, "stopStep", "A planned stop has reached its next step.", nothing},
		{EventSettingsReloaded, Info, "settingsReloaded", "The settings were read again; a fault leaves those before in force.", "Correct the settings when a cause stands beside it."},
		{EventMetricsFailed, Warning, "metricsFailed", "Metrics cannot be kept or served; requests are served all the same.", "Check the port of the metrics; report a metric that cannot be registered."},
		{EventAggregatorChanged, Info, "aggregatorChanged", "The node reports its load to another node of its group, or became the one that others report to.", "Look at the node that it left when many leave it."},
		{EventConfigurationBehind, Info, "configurationBehind", "A peer has a newer configuration than this node, which asks the store for it.", "Nothing, unless no event 3201 with that version follows within seconds; event 3301 then tells what became of the calls."},
		{EventStoreCalls, Info, "storeCalls", "The calls to the platform's store since the node's start, by feed, reason and outcome; told each 10 s and at a planned stop.", "See the operations page when calls cost more than they should: `retrying` tells of a store that fails, `hurried` of peers that are ahead."},
		{EventStoreAsker, Info, "storeAsker", "This node begins to ask the platform's store by itself (asks=true), as the leader of its data centre or since nobody else's word is fresh, or leaves that to others.", "Nothing for single ones. Many nodes that begin and lead nothing mean that they hear from nobody or that the store fails: see events 3301 and 3307."},
	}
}

// dutyEntries are those of the duties that are one node's at a time.
func dutyEntries() []Entry {
	return []Entry{
		{EventUsageSettled, Info, "usageSettled", "This node has settled what is told of a window of usage, and from what: how many processes run, how many of them told all that they counted (toldAll), how many were lost before they had (lost), how many nodes are listed.", "Nothing when whole=true. Else requests may be missing from the bill: lost processes end with events of theirs, and nodes that are not heard show by event 3307."},
		{EventUsageTold, Info, "usageTold", "The platform has taken the usage of a window, so long after its end.", nothing},
		{EventUsageSkipped, Failure, "usageSkipped", "No node could tell usage for so long that the windows named are left out.", "Find why: event 3404 of the nodes that aggregate, and the store and the platform's address of duties."},
		{EventDutyFailed, Warning, "dutyFailed", "A step of a duty failed and is tried again: claim is the write to the store, tell and order the calls to the platform. Kinds: conflict and resting are another node's claim, outdated a newer one that the platform has seen, unanswered a call that may still be carried out, unreadable a claim that another program or version wrote.", "Nothing for single ones. For unreadable, look who wrote the store's object of the duty and remove it."},
		{EventEnginesOrdered, Info, "enginesOrdered", "This node has ordered so many engines of a service in a data centre; need is how many the most work of late wants in all, with headroom, busy how many the work takes now. A cause tells why the platform did not take the order: it is placed again.", "Nothing. When orders of spot engines are refused for long, none are to be had: see the operations page on orders of engines."},
	}
}

// operatorEntries are those of operators' calls and of faults in the program.
func operatorEntries() []Entry {
	return []Entry{
		{EventOperatorRejected, Warning, "operatorRejected", "A call of the operators' address had no valid token.", "Find out who it is if it is none of the operators."},
		{EventDrainAsked, Info, "drainAsked", "A planned stop was asked for, by a signal or by an operator.", nothing},
		{EventHandlerCrashed, Failure, "handlerCrashed", "The handler of one request panicked; the caller got an error and the process goes on.", "Report it with the stack that stands beside it."},
		{EventQueueFull, Warning, "queueFull", "Work was dropped since a queue between two parts was full.", "Add VMs, or take load off this one."},
	}
}
