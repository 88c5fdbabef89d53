package decider

// The numbers of the core's log events; docs/EVENTS.md explains each.
const (
	// EventConfigurationApplied says that a configuration came into force.
	EventConfigurationApplied = 1001
	// EventConfigurationRejected says that a configuration failed its checks.
	EventConfigurationRejected = 1002
	// EventConfigurationDiverged says that the version in force has a different
	// content elsewhere.
	EventConfigurationDiverged = 1003
	// EventPlatformSetBack says that the platform holds an older version than
	// the one in force.
	EventPlatformSetBack = 1004
	// EventMemberAlive says that a member came up.
	EventMemberAlive = 1101
	// EventMemberGone says that a member failed, left or was replaced.
	EventMemberGone = 1102
	// EventNodePaused says that this process was not running for a while.
	EventNodePaused = 1103
	// EventShardOwned says that this node now owns a shard.
	EventShardOwned = 1201
	// EventShardLost says that this node no longer owns a shard.
	EventShardLost = 1202
	// EventShardOpened says that a shard's owner begins to grant.
	EventShardOpened = 1203
	// EventGrantReclaimed says that a grant was taken back because its entry VM
	// is gone or no longer reports it.
	EventGrantReclaimed = 1204
	// EventEmergencyGrant says that this node granted in place of an owner that
	// does not answer.
	EventEmergencyGrant = 1205
	// EventUpstreamLeaving says that an upstream gets no new work.
	EventUpstreamLeaving = 1206
	// EventUpstreamLimited says how many requests a second an upstream accepts.
	EventUpstreamLimited = 1207
	// EventRequestRefused says that a caller got no whole answer.
	EventRequestRefused = 1301
	// EventAttemptFailed says that an attempt gave no whole answer.
	EventAttemptFailed = 1302
	// EventHeldOff says that a request is sent to no upstream because upstreams
	// ended while they ran it.
	EventHeldOff = 1303
	// EventReleased says that a request that was held off may be sent again.
	EventReleased = 1304
	// EventClaimGivenUp says that a claim could not be confirmed in time.
	EventClaimGivenUp = 1501
	// EventClaimNotStored says that the end of a claimed request could not be
	// stored; the outcome of its key becomes unknown.
	EventClaimNotStored = 1502
	// EventDrainBegan says that a planned stop began.
	EventDrainBegan = 1401
	// EventDrainEnded says that the stopping node has nothing left to wait for.
	EventDrainEnded = 1402
)
