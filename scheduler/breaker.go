package scheduler

import "time"

const (
	// breakAfter is the number of failures in a row that shut an upstream.
	breakAfter = 3
	// firstPause is how long an upstream is shut at first; each failed trial
	// doubles it up to longestPause.
	firstPause   = 250 * time.Millisecond
	longestPause = 5 * time.Second
)

// breaker keeps unprotected work from an upstream whose attempts fail one after
// the other. Such an upstream would else look idle and draw every request to
// itself. After each pause one trial goes to it; a success ends it. Protected
// work takes such an upstream last, but is never kept waiting by it.
type breaker struct {
	// failures counts those in a row.
	failures int
	// pause is the length of the last pause; 0 before the first.
	pause time.Duration
	until time.Time
	// shut is whether until was still to come when wake was called last.
	shut bool
}

// observe takes in how an attempt ended.
func (breaker *breaker) observe(now time.Time, failed bool) {
	if !failed {
		breaker.failures, breaker.pause, breaker.until, breaker.shut = 0, 0, time.Time{}, false
		return
	}
	breaker.failures++
	if breaker.failures < breakAfter || now.Before(breaker.until) {
		return
	}
	breaker.pause = min(max(2*breaker.pause, firstPause), longestPause)
	breaker.until = now.Add(breaker.pause)
	breaker.shut = true
}

// wake ends a pause whose time is over.
func (breaker *breaker) wake(now time.Time) { breaker.shut = now.Before(breaker.until) }

// admits tells whether the upstream may get unprotected work with so many
// grants active: any number when it is well, one for a trial.
func (breaker *breaker) admits(active int) bool {
	if breaker.failures < breakAfter {
		return true
	}
	return !breaker.shut && active == 0
}
