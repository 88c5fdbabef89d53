// Package accountant keeps account of the calls to the platform's store by what they
// asked for, why and how they ended: each is billed, and an ailing store is asked least.
package accountant

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/timer"
)

// sumInterval is the time between two sums in the log: as long as the watch on upstreams
// waits, so that each sum of a quiet node holds at most a few calls. At 390 nodes it
// makes 39 lines a second in all.
const sumInterval = 10 * time.Second

// Accountant counts calls. It is safe for concurrent use.
type Accountant struct {
	log   func(number int, pairs ...any)
	count func(call follower.Call)
	// done is closed by Run.
	done chan struct{}
	// mutex guards sums; no other lock is taken under it.
	mutex sync.Mutex
	// sums counts the calls since the start of the process; at most one entry for each
	// feed, reason and outcome, some 150.
	sums map[follower.Call]int
}

// New returns an Accountant that logs sums as numbered events and passes each call on;
// neither may block.
func New(log func(number int, pairs ...any), count func(call follower.Call)) *Accountant {
	return &Accountant{log: log, count: count, done: make(chan struct{}), sums: make(map[follower.Call]int)}
}

// Count takes in a call that is over.
func (accountant *Accountant) Count(call follower.Call) {
	accountant.count(call)
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	accountant.sums[call]++
}

// Done is closed once Run has ended.
func (accountant *Accountant) Done() <-chan struct{} { return accountant.done }

// Run logs the sums at each interval until the context ends, and then once more.
func (accountant *Accountant) Run(ctx context.Context) {
	defer close(accountant.done)
	for {
		ended := timer.Sleep(ctx, sumInterval) != nil
		accountant.Tell()
		if ended {
			return
		}
	}
}

// Tell logs the sums since the start of the process, the largest first.
func (accountant *Accountant) Tell() {
	total, pairs := accountant.pairs()
	accountant.log(logger.EventStoreCalls, append([]any{"total", total}, pairs...)...)
}

func (accountant *Accountant) pairs() (total int, pairs []any) {
	accountant.mutex.Lock()
	defer accountant.mutex.Unlock()
	var calls []follower.Call
	for call, sum := range accountant.sums {
		calls = append(calls, call)
		total += sum
	}
	slices.SortFunc(calls, func(left, right follower.Call) int {
		return cmp.Or(cmp.Compare(accountant.sums[right], accountant.sums[left]), cmp.Compare(name(left), name(right)))
	})
	for _, call := range calls {
		pairs = append(pairs, name(call), accountant.sums[call])
	}
	return total, pairs
}

// name returns the name of a sum in the log.
func name(call follower.Call) string {
	return call.Feed + "." + string(call.Reason) + "." + string(call.Outcome)
}
