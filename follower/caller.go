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
)

const (
	// patience is how long nothing may come of an answer, beyond what a watch is to
	// wait, until the store is asked again. It answers in some 4 ms and up to 60 times
	// slower at bad times. The call goes on beside the next: one that would have been
	// answered later, or whose answer is large and the link thin, is not begun anew.
	// When it was given up instead, 1 MB never came over 10 Mbit/s (0.84 s against
	// 0.62 s) and no answer of a store that takes longer than this.
	patience = 600 * time.Millisecond
	// maxCalls bounds the calls under way: the one asked first, for a store that is
	// slow, and three more, of which one finds out that it answers again.
	maxCalls = 4
	// longestAnswer is how long the call asked first may go without its answer's
	// beginning: the store's history, behind which nothing can be watched any more.
	longestAnswer = 20 * time.Second
	// hurryAfter is how long a watch may wait before it is ended in a hurry.
	hurryAfter = time.Second
)

// errHurried says that a watch was ended by Hurry.
var errHurried = errors.New("the watch was ended in a hurry")

// question is what is asked of the store: a list, or a watch from the revision on.
type question struct {
	list     bool
	revision uint64
	// stale allows an answer that is seconds old.
	stale bool
	// wait is how long a watch is to wait for a change.
	wait time.Duration
	// reason is why it is asked.
	reason Reason
}

// String names the question for the log.
func (question question) String() string {
	if question.list {
		return "list"
	}
	return fmt.Sprintf("watch from revision %d for %v", question.revision, question.wait)
}

// answer is what came of a question that was asked at the time.
type answer[Entry, Change any] struct {
	question question
	asked    time.Time
	entries  []Entry
	changes  []Change
	revision uint64
}

// call is one question under way.
type call struct {
	question question
	asked    time.Time
	cancel   context.CancelFunc
	// begun is set once any byte of the answer has come, received once all have; bytes
	// counts them.
	begun    atomic.Bool
	received atomic.Bool
	bytes    atomic.Int64
	// arrived gets the call when bytes have come.
	arrived chan<- *call
	// hurried is closed by Hurry, once.
	hurried chan struct{}
}

// Arrived notes that so many bytes of the answer have come.
func (call *call) Arrived(bytes int) {
	if bytes == 0 {
		return
	}
	call.begun.Store(true)
	call.bytes.Add(int64(bytes))
	select {
	case call.arrived <- call:
	default: // Another is noted; the next bytes will be.
	}
}

// Received notes that all of the answer has come.
func (call *call) Received() { call.received.Store(true) }

// ended is a call whose answer has come or which failed.
type ended[Entry, Change any] struct {
	call   *call
	answer answer[Entry, Change]
	err    error
}

// decides tells whether the store has answered, so that no other call can tell more.
func (ended *ended[Entry, Change]) decides() bool {
	return ended.err == nil || isKind(ended.err, Gone) || isKind(ended.err, TooLarge)
}

// caller asks a feed, and asks again while earlier calls are still without an answer.
// Only hurry may be called by others than its owner.
type caller[Entry, Change any] struct {
	feed Feed[Entry, Change]
	now  func() time.Time
	// open holds the calls under way, the one asked first in front.
	open []*call
	// ended is sent each call that ended by itself.
	ended chan ended[Entry, Change]
	// arrived holds a call of whose answer bytes have come.
	arrived chan *call
	group   conc.WaitGroup
	// mutex guards newest; no other lock is taken under it.
	mutex sync.Mutex
	// newest is the call that was asked last; nil between calls.
	newest *call
}

func newCaller[Entry, Change any](feed Feed[Entry, Change]) *caller[Entry, Change] {
	return &caller[Entry, Change]{
		feed:    feed,
		now:     time.Now,
		ended:   make(chan ended[Entry, Change]),
		arrived: make(chan *call, 1),
	}
}

// ask asks a question and returns the first answer to it or to one asked before. The
// error is errHurried, that of the call, or of kind Lost when nothing comes; the call
// then goes on beside the next one.
func (caller *caller[Entry, Change]) ask(ctx context.Context, question question) (answer[Entry, Change], error) {
	call := caller.begin(ctx, question)
	defer caller.setNewest(nil)
	silence := time.NewTimer(question.wait + patience)
	defer silence.Stop()
	for {
		select {
		case <-ctx.Done():
			return answer[Entry, Change]{}, ctx.Err()
		case <-call.hurried:
			caller.end(call)
			return answer[Entry, Change]{}, errHurried
		case begun := <-caller.arrived:
			if caller.keepOnly(begun) {
				silence.Reset(patience)
			}
		case ended := <-caller.ended:
			caller.end(ended.call)
			if ended.decides() {
				caller.endAll()
			}
			if ended.decides() || ended.call == call || len(caller.open) == 0 {
				return ended.answer, ended.err
			}
		case <-silence.C:
			if caller.reading() {
				// A slow processor is no reason to ask for the same again.
				silence.Reset(patience)
				continue
			}
			return answer[Entry, Change]{}, Fail("ask", Lost, "%v: %d bytes of the answer have come, the last over %v ago", question, call.bytes.Load(), patience)
		}
	}
}

// begin puts a question to the feed in the background.
func (caller *caller[Entry, Change]) begin(ctx context.Context, question question) *call {
	caller.makeRoom()
	ctx, cancel := context.WithCancel(ctx)
	call := &call{question: question, asked: caller.now(), cancel: cancel, arrived: caller.arrived, hurried: make(chan struct{})}
	ctx = WithReason(withArrivals(ctx, call), question.reason)
	if question.stale {
		ctx = WithStale(ctx)
	}
	caller.open = append(caller.open, call)
	caller.setNewest(call)
	caller.group.Go(func() {
		ended := caller.put(ctx, call)
		select {
		case caller.ended <- ended:
		case <-ctx.Done(): // Nobody waits for it any more.
		}
	})
	return call
}

// put puts the question to the feed.
func (caller *caller[Entry, Change]) put(ctx context.Context, call *call) ended[Entry, Change] {
	ended := ended[Entry, Change]{call: call, answer: answer[Entry, Change]{question: call.question, asked: call.asked}}
	if call.question.list {
		ended.answer.entries, ended.answer.revision, ended.err = caller.feed.List(ctx)
	} else {
		ended.answer.changes, ended.answer.revision, ended.err = caller.feed.Watch(ctx, call.question.revision, call.question.wait)
	}
	return ended
}

// keepOnly ends all calls but one whose answer comes in: on a thin link each would take
// its share of the bytes of the others. False says that the call has ended.
func (caller *caller[Entry, Change]) keepOnly(begun *call) bool {
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

// reading tells whether an answer has come whole and is being read.
func (caller *caller[Entry, Change]) reading() bool {
	return slices.ContainsFunc(caller.open, func(call *call) bool { return call.received.Load() })
}

// makeRoom ends calls so that one more may be made. The one asked first is kept: it is
// the one that a slow store answers first.
func (caller *caller[Entry, Change]) makeRoom() {
	if len(caller.open) > 0 && caller.tooOld(caller.open[0]) {
		caller.end(caller.open[0])
	}
	if len(caller.open) >= maxCalls {
		caller.end(caller.open[1])
	}
}

// tooOld tells whether an answer is no longer waited for.
func (caller *caller[Entry, Change]) tooOld(call *call) bool {
	return !call.begun.Load() && caller.now().Sub(call.asked) > call.question.wait+longestAnswer
}

// end ends a call, if it is under way.
func (caller *caller[Entry, Change]) end(call *call) {
	call.cancel()
	caller.open = without(caller.open, call)
}

// without returns the calls but for one.
func without(calls []*call, one *call) []*call {
	return slices.DeleteFunc(calls, func(call *call) bool { return call == one })
}

// endAll ends all calls.
func (caller *caller[Entry, Change]) endAll() {
	for _, call := range caller.open {
		call.cancel()
	}
	caller.open = nil
}

// close ends all calls and waits for them.
func (caller *caller[Entry, Change]) close() {
	caller.endAll()
	caller.group.Wait()
}

func (caller *caller[Entry, Change]) setNewest(call *call) {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	caller.newest = call
}

// hurry ends a watch that has been waiting for hurryAfter. It leaves alone a call that
// is to be answered at once, and one of whose answer something has come: there is no
// sooner way to what is new.
func (caller *caller[Entry, Change]) hurry() {
	caller.mutex.Lock()
	defer caller.mutex.Unlock()
	call := caller.newest
	if call == nil || call.question.wait <= quickWait || call.begun.Load() {
		return
	}
	if caller.now().Sub(call.asked) < hurryAfter {
		return
	}
	close(call.hurried)
	caller.newest = nil
}
