package follower

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"
)

const (
	// silenceTimeout is how long no byte of an answer may arrive, beyond the wait of a
	// watch, before the store is asked again. The store usually answers in about 4 ms,
	// and up to 60 times slower at bad times. The earlier call stays open beside the
	// next one, so that a late answer, or a large answer over a slow link, is not
	// requested from the start again. Cancelling it instead meant that 1 MB never
	// arrived over 10 Mbit/s (0.84 s against a timeout of 0.62 s), nor did any answer of
	// a store slower than the timeout.
	silenceTimeout = 600 * time.Millisecond
	// maxCalls bounds the open calls: the oldest, which a slow store answers first, and
	// three more, one of which detects that the store answers again.
	maxCalls = 4
	// firstByteTimeout is how long the oldest call may stay open without a byte of its
	// answer, beyond the wait of a watch. It equals the length of the store's history:
	// changes from before it cannot be watched any more.
	firstByteTimeout = 20 * time.Second
)

// errInterrupted reports that interruptWatch ended a watch early.
var errInterrupted = errors.New("the watch was ended early to check the store")

// query is what the store is asked for: a list, or a watch from a revision on.
type query struct {
	list     bool
	revision uint64
	// stale allows an answer that is seconds old.
	stale bool
	// wait is how long a watch waits for a change.
	wait time.Duration
	// patience is how long no byte of the answer may arrive, beyond the wait of a watch, before the
	// store is asked again.
	patience time.Duration
	// reason is why the call is made.
	reason Reason
}

// String describes the query for error messages.
func (query query) String() string {
	if query.list {
		return "list"
	}
	return fmt.Sprintf("watch from revision %d for %v", query.revision, query.wait)
}

// answer is the store's answer to a query that was sent at the time asked.
type answer[Entry, Change any] struct {
	query   query
	asked   time.Time
	entries []Entry
	changes []Change
	// revision is that of a list, revisions are those of a watch.
	revision  uint64
	revisions Revisions
	// bytes is the size of the answer, as far as the feed has reported it.
	bytes int64
}

// call is one open query.
type call struct {
	query  query
	asked  time.Time
	cancel context.CancelFunc
	// begun is set once any byte of the answer has been received, received once the
	// whole answer has; bytes counts the bytes.
	begun    atomic.Bool
	received atomic.Bool
	bytes    atomic.Int64
	// progressed is sent the call when bytes have been received, lastArrival is set to the time.
	progressed  chan<- *call
	lastArrival *atomic.Pointer[time.Time]
	now         func() time.Time
	// interrupted is closed by interruptWatch, at most once.
	interrupted chan struct{}
}

// Arrived records that the given number of further bytes has been received.
func (call *call) Arrived(bytes int) {
	if bytes == 0 {
		return
	}
	now := call.now()
	call.lastArrival.Store(&now)
	call.begun.Store(true)
	call.bytes.Add(int64(bytes))
	select {
	case call.progressed <- call:
	default: // The channel is full; the next bytes report this call.
	}
}

// Received records that the whole answer has been received.
func (call *call) Received() { call.received.Store(true) }

// result is the outcome of a call that was answered or failed.
type result[Entry, Change any] struct {
	call   *call
	answer answer[Entry, Change]
	err    error
	// catcher holds the panic of the call, if any.
	catcher *panics.Catcher
}

// conclusive reports whether the store has answered, so that the other open calls cannot
// add anything.
func (result *result[Entry, Change]) conclusive() bool {
	return result.err == nil || isKind(result.err, Gone) || isKind(result.err, TooLarge)
}

// caller sends queries to a feed, and sends another while earlier calls are still
// unanswered. It is used by one goroutine, except for interruptWatch, which is safe for
// concurrent use.
type caller[Entry, Change any] struct {
	feed Feed[Entry, Change]
	now  func() time.Time
	// open holds the open calls, oldest first.
	open []*call
	// results receives each call that ended without being cancelled.
	results chan result[Entry, Change]
	// progressed holds a call of whose answer bytes have been received.
	progressed chan *call
	// lastArrival is when bytes of an answer were last received; nil before the first.
	lastArrival atomic.Pointer[time.Time]
	group       conc.WaitGroup
	// mutex guards newest; no other lock is acquired while it is held.
	mutex sync.Mutex
	// newest is the call that was started last, or the one whose answer is coming in;
	// nil between calls of ask.
	newest *call
}

func newCaller[Entry, Change any](feed Feed[Entry, Change]) *caller[Entry, Change] {
	return &caller[Entry, Change]{
		feed:       feed,
		now:        time.Now,
		results:    make(chan result[Entry, Change]),
		progressed: make(chan *call, 1),
	}
}

// ask sends a query and returns the first answer to it or to an earlier open query, never one to a cancelled call. The
// error is errInterrupted, the error of a call, that of the context, or of kind Lost
// when no byte arrives for the query's patience, or for silenceTimeout once one has; in
// the last case the call stays open beside the next one.
func (caller *caller[Entry, Change]) ask(ctx context.Context, query query) (answer[Entry, Change], error) {
	call := caller.start(ctx, query)
	defer caller.setNewest(nil)
	silence := time.NewTimer(query.wait + query.patience)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return answer[Entry, Change]{}, ctx.Err()
		case <-call.interrupted:
			caller.cancelCall(call)
			return answer[Entry, Change]{}, errInterrupted
		case begun := <-caller.progressed:
			if caller.cancelOthers(begun) {
				silence.Reset(silenceTimeout)
			}
		case result := <-caller.results:
			result.catcher.Repanic() // The goroutine of the call is not waited for before the end.
			if !slices.Contains(caller.open, result.call) {
				continue // The call was cancelled while it ended.
			}
			caller.cancelCall(result.call)
			result.answer.bytes = result.call.bytes.Load()
			if result.conclusive() {
				caller.cancelAll()
			}
			if result.conclusive() || result.call == call || len(caller.open) == 0 {
				return result.answer, result.err
			}
		case <-silence.C:
			if caller.reading() {
				// Decoding on a slow processor is no reason to send the query again.
				silence.Reset(silenceTimeout)
				continue
			}
			return answer[Entry, Change]{}, Fail("ask", Lost, "%v: received %d bytes of the answer, and none for %v", query, call.bytes.Load(), query.patience)
		}
	}
}

// start sends a query to the feed in a goroutine.
func (caller *caller[Entry, Change]) start(ctx context.Context, query query) *call {
	caller.makeRoom()
	ctx, cancel := context.WithCancel(ctx)
	call := &call{query: query, asked: caller.now(), cancel: cancel, progressed: caller.progressed, lastArrival: &caller.lastArrival, now: caller.now, interrupted: make(chan struct{})}
	ctx = WithReason(withArrivals(ctx, call), query.reason)
	if query.stale {
		ctx = WithStale(ctx)
	}
	caller.open = append(caller.open, call)
	caller.setNewest(call)
	caller.group.Go(func() {
		result := caller.execute(ctx, call)
		select {
		case caller.results <- result:
		case <-ctx.Done(): // The call was cancelled; its result is not read.
		}
	})
	return call
}

// execute runs the call on the feed and returns its result, also if it panics.
func (caller *caller[Entry, Change]) execute(ctx context.Context, call *call) result[Entry, Change] {
	result := result[Entry, Change]{call: call, catcher: new(panics.Catcher), answer: answer[Entry, Change]{query: call.query, asked: call.asked}}
	result.catcher.Try(func() {
		if call.query.list {
			result.answer.entries, result.answer.revision, result.err = caller.feed.List(ctx)
		} else {
			result.answer.changes, result.answer.revisions, result.err = caller.feed.Watch(ctx, call.query.revision, call.query.wait)
		}
	})
	return result
}

// cancelOthers cancels all calls but the one whose answer is coming in, since their
// answers would share the bandwidth of a slow link. It returns false if that call is no
// longer open.
func (caller *caller[Entry, Change]) cancelOthers(begun *call) bool {
	if !slices.Contains(caller.open, begun) {
		return false
	}
	for _, call := range caller.open {
		if call != begun {
			call.cancel()
		}
	}
	caller.open = []*call{begun}
	caller.setNewest(begun)
	return true
}

// reading reports whether a whole answer has been received and is being decoded.
func (caller *caller[Entry, Change]) reading() bool {
	return slices.ContainsFunc(caller.open, func(call *call) bool { return call.received.Load() })
}

// makeRoom cancels calls so that one more may be started. It keeps the oldest call until
// that expires, since a slow store answers it first.
func (caller *caller[Entry, Change]) makeRoom() {
	if len(caller.open) > 0 && caller.expired(caller.open[0]) {
		caller.cancelCall(caller.open[0])
	}
	if len(caller.open) >= maxCalls {
		caller.cancelCall(caller.open[1])
	}
}

// expired reports whether no byte of the answer came within the wait and
// firstByteTimeout.
func (caller *caller[Entry, Change]) expired(call *call) bool {
	return !call.begun.Load() && caller.now().Sub(call.asked) > call.query.wait+firstByteTimeout
}

// cancelCall cancels a call and removes it from the open calls.
func (caller *caller[Entry, Change]) cancelCall(call *call) {
	call.cancel()
	caller.open = without(caller.open, call)
}

// without returns the calls other than one.
func without(calls []*call, one *call) []*call {
	return slices.DeleteFunc(calls, func(call *call) bool { return call == one })
}

// cancelAll cancels all open calls.
func (caller *caller[Entry, Change]) cancelAll() {
	for _, call := range caller.open {
		call.cancel()
	}
	caller.open = nil
}

// close cancels all calls and waits for their goroutines.
func (caller *caller[Entry, Change]) close() {
	caller.cancelAll()
	caller.group.Wait()
}

func (caller *caller[Entry, Change]) setNewest(call *call) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.newest = call
}

// interruptWatch ends a watch that has been waiting for minAge or longer. It leaves a call with a
// short wait alone, and a call whose answer has begun to arrive: starting again would not be faster.
func (caller *caller[Entry, Change]) interruptWatch(minAge time.Duration) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	call := caller.newest
	if call == nil || call.query.wait <= quickWait || call.begun.Load() {
		return
	}
	if caller.now().Sub(call.asked) < minAge {
		return
	}
	close(call.interrupted)
	caller.newest = nil
}
