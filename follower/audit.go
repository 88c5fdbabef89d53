package follower

import "time"

// auditBytesPerSecond bounds what the answers to audits take, in bytes per second: large lists are audited less often.
const auditBytesPerSecond = 2000

// audit is the check of the copy by a list at intervals, which finds a change that was missed for any reason.
type audit struct {
	// interval returns the time between two lists; 0 means that this node does not audit.
	interval func() time.Duration
	// listedAt is when the last list was answered, or an audit failed. bytes is the size of the last list.
	listedAt time.Time
	bytes    int64
}

// due reports whether a list is due.
func (audit *audit) due(now time.Time) bool {
	interval := audit.interval()
	if interval == 0 {
		return false
	}
	return now.Sub(audit.listedAt) >= max(interval, time.Duration(audit.bytes)*time.Second/auditBytesPerSecond)
}

// auditDue reports whether the next call is a list, although watches are answered.
func (follower *Follower[Entry, Change]) auditDue() bool {
	sound := follower.forms == noFailures() && !follower.quickNext && follower.read.settled()
	return sound && follower.audit.due(follower.now())
}
