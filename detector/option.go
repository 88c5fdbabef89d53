package detector

import "time"

// settings holds the times and bounds of a Detector that options may change.
type settings struct {
	// period is the time between two heartbeats in a system of up to
	// stretchThreshold members; above 0.
	period time.Duration
	// watchers is the number of members that watch each member; at least 1.
	watchers int
	// forgetAfter is how long a failed or departed member that the platform
	// does not list is kept.
	forgetAfter time.Duration
}

const (
	defaultPeriod      = 500 * time.Millisecond
	defaultWatchers    = 3
	defaultForgetAfter = time.Minute
	// localWatchers is how many of a member's watchers are in its data centre.
	localWatchers = 2
	// ticksPerPeriod is the number of calls of Tick in a period.
	ticksPerPeriod = 4
	// stretchThreshold is the number of members above which the period grows in
	// proportion to that number.
	stretchThreshold = 200
	// maxStretch is the largest factor by which the period grows.
	maxStretch = 2.0
	// Timeouts are counted in eighths of a period: a member is probed after 12
	// eighths without a message, suspected 4 later and failed 10 after that.
	eighthsPerPeriod    = 8
	probeAfterEighths   = 12
	suspectAfterEighths = 4
	failAfterEighths    = 10
	// maxIndirectProbes is how many members are asked to probe a silent one.
	maxIndirectProbes = 2
	// maxPiggybacked is the largest number of gossiped changes on one heartbeat.
	maxPiggybacked = 6
	// maxReconciled is the largest number of known members that a reconciling
	// heartbeat carries.
	maxReconciled = 16
	// maxSnapshot is the largest number of members in the answer to a heartbeat
	// with Sync.
	maxSnapshot = 512
	// retransmits times the binary logarithm of the number of members is how
	// often a member passes a change on.
	retransmits = 1
	// reviveEvery is the number of periods between two attempts to contact an
	// unreachable member, syncEvery that between two reconciling heartbeats.
	reviveEvery = 2
	syncEvery   = 8
	// resyncPeriod is the period, counted from the start of the node, in which it
	// asks a neighbour a second time for all members that it knows.
	resyncPeriod = 4
	// maxImmediateRounds bounds the rounds of heartbeats that are sent between two
	// periods; each period allows one more.
	maxImmediateRounds = 8
	// firstContacts is how many unreachable members of each kind, local and
	// remote, are contacted at once.
	firstContacts = 3
)

// Option changes one setting of a Detector. Pass it to New.
type Option func(*settings)

// WithForgetAfter sets how long a failed or departed member that the platform does
// not list is kept; the default is one minute.
func WithForgetAfter(wait time.Duration) Option {
	return func(settings *settings) { settings.forgetAfter = wait }
}
