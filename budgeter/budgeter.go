// Package budgeter implements a retry budget: over a sliding window it bounds the retries of
// each service by a share of its first sends plus a fixed allowance, so that retries cannot
// multiply the load of an overloaded service. The allowance is divided among all nodes.
package budgeter

import (
	"sync"
	"time"

	"limpetcleat/definer"
)

// bucketCount is the number of buckets that the window is divided into.
const bucketCount = 10

// Policy sets the size of the budget.
type Policy struct {
	// Share is the number of retries allowed per first send.
	Share float64
	// Slack is the number of retries per window allowed to all nodes together in addition to
	// Share.
	Slack float64
	// Nodes returns the number of nodes that Slack is divided among; it is at least 1.
	Nodes func() int
	// Window is the length of the sliding window.
	Window time.Duration
}

// Budgeter counts first sends and retries by service over a sliding window. It is safe for
// concurrent use.
type Budgeter struct {
	policy Policy
	// start is the origin of the bucket numbers; with a monotonic clock reading, wall clock
	// changes have no effect on them.
	start time.Time
	// mutex guards windows; no other lock is taken while it is held.
	mutex   sync.Mutex
	windows map[definer.PoolName]*window
}

// New returns a Budgeter with an unspent budget. Bucket numbers count from start.
func New(policy Policy, start time.Time) *Budgeter {
	return &Budgeter{policy: policy, start: start, windows: make(map[definer.PoolName]*window)}
}

// RecordFirstSend counts the first send of a request.
func (budgeter *Budgeter) RecordFirstSend(service definer.PoolName, now time.Time) {
	budgeter.mutex.Lock()
	defer budgeter.mutex.Unlock()
	budgeter.bucket(service, now).firstSends++
}

// AllowRetry reports whether a retry is allowed, and counts it if so.
func (budgeter *Budgeter) AllowRetry(service definer.PoolName, now time.Time) bool {
	budgeter.mutex.Lock()
	defer budgeter.mutex.Unlock()
	bucket := budgeter.bucket(service, now)
	allowed := budgeter.hasRoom(service)
	if allowed {
		bucket.retries++
	}
	return allowed
}

// HasRoom reports whether a retry would be allowed.
func (budgeter *Budgeter) HasRoom(service definer.PoolName, now time.Time) bool {
	budgeter.mutex.Lock()
	defer budgeter.mutex.Unlock()
	budgeter.bucket(service, now)
	return budgeter.hasRoom(service)
}

// hasRoom reports whether the window of a service has room for a retry. The mutex is held.
func (budgeter *Budgeter) hasRoom(service definer.PoolName) bool {
	firstSends, retries := budgeter.windows[service].totals()
	return float64(retries)+1 <= budgeter.policy.Slack/float64(budgeter.policy.Nodes())+budgeter.policy.Share*float64(firstSends)
}

// bucket returns the service's bucket for the time; mutex is held.
func (budgeter *Budgeter) bucket(service definer.PoolName, now time.Time) *bucket {
	current, ok := budgeter.windows[service]
	if !ok {
		current = &window{}
		budgeter.windows[service] = current
	}
	return current.bucket(int64(now.Sub(budgeter.start) / (budgeter.policy.Window / bucketCount)))
}

// window is a ring of buckets.
type window struct {
	buckets [bucketCount]bucket
	// newest is the number of the newest bucket; numbers count from the Budgeter's start.
	newest int64
}

type bucket struct {
	firstSends int
	retries    int
}

// bucket clears the buckets that have expired and returns the one with the number. If the
// number is below the newest, because the clock was set back, it returns the newest.
func (window *window) bucket(number int64) *bucket {
	if number-window.newest >= bucketCount {
		window.buckets = [bucketCount]bucket{}
		window.newest = number
	}
	for window.newest < number {
		window.newest++
		window.buckets[window.newest%bucketCount] = bucket{}
	}
	return &window.buckets[window.newest%bucketCount]
}

func (window *window) totals() (firstSends, retries int) {
	for _, bucket := range window.buckets {
		firstSends += bucket.firstSends
		retries += bucket.retries
	}
	return firstSends, retries
}
