package detector

import "time"

// settings are the times and bounds of a Detector.
type settings struct {
	// period is the time between two heartbeats in a small system; above 0.
	period time.Duration
	// watchers is the number of members that watch each member; at least 1.
	watchers int
	// forgetAfter is how long a member that is gone and not listed is kept.
	forgetAfter time.Duration
}

const (
	defaultPeriod      = 500 * time.Millisecond
	defaultWatchers    = 3
	defaultForgetAfter = time.Minute
	// localWatchers is how many of the watchers are of the own data centre.
	localWatchers = 2
	// ticksPerPeriod is how often in a period the detector looks around.
	ticksPerPeriod = 4
	// stretchFrom is the size from which the period grows with the system.
	stretchFrom = 200
	// maxStretch bounds that growth.
	maxStretch = 2.0
	// Silence and answers are bounded in eighths of a period: 12 eighths
	// without a word start a probe, 4 more a suspicion, 10 more a failure.
	eighths      = 8
	silentFor    = 12
	probedFor    = 4
	suspectedFor = 10
	// helpers is how many members are asked to probe a silent one.
	helpers = 2
	// maxChanges bounds the gossip on one heartbeat.
	maxChanges = 6
	// syncChanges is how many beliefs a reconciling heartbeat carries.
	syncChanges = 16
	// maxTable bounds the beliefs on an answer to a Sync.
	maxTable = 512
	// retransmits times the logarithm of the size is how often a member
	// passes a change on.
	retransmits = 1
	// reviveEvery and syncEvery are counted in periods.
	reviveEvery = 2
	syncEvery   = 8
	// settleBeats is how many periods after its start a node asks once more for
	// all that a neighbour believes.
	settleBeats = 4
	// maxPushes bounds the heartbeats sent out of turn; one is earned a period.
	maxPushes = 8
	// firstContacts is how many proposed members of each kind, local and
	// remote, are greeted at once.
	firstContacts = 3
)

// Option changes one setting of a Detector.
type Option func(*settings)

// WithForgetAfter sets how long a member that is gone and not listed is kept.
func WithForgetAfter(wait time.Duration) Option {
	return func(settings *settings) { settings.forgetAfter = wait }
}
