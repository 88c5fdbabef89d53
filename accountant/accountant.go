// Package accountant counts the calls to the platform's store by the feed that they
// read, their reason and their outcome, and logs the sums. Each call is billed, and the
// sums show whether a store in trouble is spared.
package accountant

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/timer"
)

// sumInterval is the time between two log lines with sums. It is as long as a watch on
// upstreams waits, so that on a quiet node few calls end between two lines. With 390
// nodes, 39 lines a second are logged in all.
const sumInterval = 10 * time.Second

// Accountant counts calls to the store. It is safe for concurrent use.
type Accountant struct {
	log   func(number int, pairs ...any)
	count func(call follower.Call)
	// done is closed when Run ends.
	done chan struct{}
	// mutex guards sums; no other lock is taken under it.
	mutex sync.Mutex
	// sums counts the calls since the start of the process. It has at most one entry
	// for each combination of feed, reason and outcome, about 150.
	sums map[follower.Call]int
}

// New returns an Accountant that logs the sums with log and passes each call to count.
// Neither function may block.
func New(log func(number int, pairs ...any), count func(call follower.Call)) *Accountant {
	return &Accountant{log: log, count: count, done: make(chan struct{}), sums: make(map[follower.Call]int)}
}

// Count adds a finished call to its sum and passes it on.
func (accountant *Accountant) Count(call follower.Call) {
	accountant.count(call)
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	accountant.sums[call]++
}

// Done returns a channel that is closed when Run has ended.
func (accountant *Accountant) Done() <-chan struct{} { return accountant.done }

// Run logs the sums at each sumInterval until the context ends, and then once more.
func (accountant *Accountant) Run(ctx context.Context) {
	defer close(accountant.done)
	for {
		ended := timer.Sleep(ctx, sumInterval) != nil
		accountant.LogSums()
		if ended {
			return
		}
	}
}

// LogSums logs the sums since the start of the process, the largest first.
func (accountant *Accountant) LogSums() {
	total, pairs := accountant.logPairs()
	accountant.log(logger.EventStoreCalls, append([]any{"total", total}, pairs...)...)
}

// logPairs returns the number of all calls, how many of them ended with each outcome, in
// the order of their names, and the key and value of each sum, the largest first.
func (accountant *Accountant) logPairs() (total int, pairs []any) {
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	var calls []follower.Call
	outcomes := make(map[follower.Outcome]int)
	for call, sum := range accountant.sums {
		calls = append(calls, call)
		outcomes[call.Outcome] += sum
		total += sum
	}
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		pairs = append(pairs, string(outcome), outcomes[outcome])
	}
	slices.SortFunc(calls, func(left, right follower.Call) int {
		return cmp.Or(cmp.Compare(accountant.sums[right], accountant.sums[left]), cmp.Compare(logKey(left), logKey(right)))
	})
	for _, call := range calls {
		pairs = append(pairs, logKey(call), accountant.sums[call])
	}
	return total, pairs
}

// logKey returns the key of the sum of a call in the log line.
func logKey(call follower.Call) string {
	return call.Feed + "." + string(call.Reason) + "." + string(call.Outcome)
}
