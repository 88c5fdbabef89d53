package follower

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// lateFeed answers a watch only once a list has been asked for, also if it was cancelled before.
type lateFeed struct{ listed chan struct{} }

func (feed lateFeed) Watch(context.Context, uint64, time.Duration) ([]int, Revisions, error) {
	<-feed.listed
	return []int{1}, Revisions{Changed: true, Newest: 8, Current: 8}, nil
}

func (feed lateFeed) List(context.Context) ([]int, uint64, error) {
	time.Sleep(time.Millisecond)
	close(feed.listed)
	time.Sleep(time.Millisecond)
	return []int{1, 2}, 9, nil
}

// TestAnswersToCancelledCallsAreDropped guards against the answer to a watch that was cancelled being taken for the
// list that is asked for next, which would empty the sink.
func TestAnswersToCancelledCallsAreDropped(t *testing.T) {
	for range 32 { // Go chooses at random between the end of a call and its answer.
		synctest.Test(t, func(t *testing.T) {
			caller := newCaller[int, int](lateFeed{listed: make(chan struct{})})
			defer caller.close()
			caller.start(t.Context(), query{revision: 7})
			caller.cancelAll()
			answer, err := caller.ask(t.Context(), query{list: true, patience: time.Second})
			assert.NilError(t, err)
			assert.DeepEqual(t, answer.entries, []int{1, 2})
		})
	}
}
