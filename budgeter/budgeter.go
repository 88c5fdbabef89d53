// Package budgeter bounds how many requests are sent more than once.
package budgeter

import (
	"sync"
	"time"

	"limpetcleat/definer"
)

// bucketCount is the number of parts that the window is counted in.
const bucketCount = 10

// Policy is what the budget allows.
type Policy struct {
	// Share is how many repeats a first send earns.
	Share float64
	// Slack is how many repeats a window allows all nodes together beside that.
	Slack float64
	// Nodes returns how many nodes share the slack; it is at least 1.
	Nodes func() int
	// Window is the span that is counted.
	Window time.Duration
}

// Budgeter counts first sends and repeats by service over a sliding window. It
// is safe for concurrent use.
type Budgeter struct {
	policy Policy
	// start is what spans are counted from, so that steps of the wall clock do
	// not count.
	start time.Time
	// mutex guards windows; no other lock is taken under it.
	mutex   sync.Mutex
	windows map[definer.PoolName]*window
}

// New returns a budget in which nothing was spent.
func New(policy Policy, start time.Time) *Budgeter {
	return &Budgeter{policy: policy, start: start, windows: make(map[definer.PoolName]*window)}
}

// First counts the first send of a request.
func (budgeter *Budgeter) First(service definer.PoolName, now time.Time) {
	budgeter.mutex.Lock()
	defer budgeter.mutex.Unlock()
	budgeter.at(service, now).firsts++
}

// Take counts a repeat and tells whether it is allowed; one that is not allowed
// is not counted.
func (budgeter *Budgeter) Take(service definer.PoolName, now time.Time) bool {
	budgeter.mutex.Lock()
	defer budgeter.mutex.Unlock()
	bucket := budgeter.at(service, now)
	firsts, repeats := budgeter.windows[service].sum()
	if float64(repeats)+1 > budgeter.policy.Slack/float64(budgeter.policy.Nodes())+budgeter.policy.Share*float64(firsts) {
		return false
	}
	bucket.repeats++
	return true
}

// at returns the bucket of the time; mutex is held.
func (budgeter *Budgeter) at(service definer.PoolName, now time.Time) *bucket {
	current, ok := budgeter.windows[service]
	if !ok {
		current = &window{}
		budgeter.windows[service] = current
	}
	return current.at(int64(now.Sub(budgeter.start) / (budgeter.policy.Window / bucketCount)))
}

// window is a ring of buckets.
type window struct {
	buckets [bucketCount]bucket
	// newest is the number of the newest bucket, counted from the start.
	newest int64
}

type bucket struct {
	firsts  int
	repeats int
}

// at clears the buckets that time has passed and returns that of the number. A
// number before the newest, from a clock set back, counts as the newest.
func (window *window) at(number int64) *bucket {
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

func (window *window) sum() (firsts, repeats int) {
	for _, bucket := range window.buckets {
		firsts += bucket.firsts
		repeats += bucket.repeats
	}
	return firsts, repeats
}
