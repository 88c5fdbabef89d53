package limpetcleat

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/logger"
)

// slowLogger takes a second to write an event and records the times that it is given.
type slowLogger struct{ times []time.Time }

// Event drops an event without a time of its own.
func (*slowLogger) Event(int, ...any) {}

// EventAt records the time of an event.
func (slowLogger *slowLogger) EventAt(at time.Time, _ int, _ ...any) {
	time.Sleep(time.Second)
	slowLogger.times = append(slowLogger.times, at)
}

// TestEventsKeepTheirTimes logs events faster than they can be written.
//
// It guards against events of a busy node that bear the time at which they were written.
func TestEventsKeepTheirTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow := &slowLogger{}
		journal := newJournal(slow)
		ctx, cancel := context.WithCancel(t.Context())
		var running conc.WaitGroup
		running.Go(func() { journal.run(ctx) })
		began := time.Now()
		for range 3 {
			journal.event(logger.EventNodeStarted)
		}
		time.Sleep(4 * time.Second)
		cancel()
		running.Wait()
		assert.DeepEqual(t, slow.times, []time.Time{began, began, began})
	})
}
