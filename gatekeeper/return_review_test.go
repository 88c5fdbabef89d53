package gatekeeper

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestPermitsAreReturnedHoweverManyConnectionsClose guards against permits that are dropped while many wait
// to be returned: their holder goes on to report them, so that they never lapse.
func TestPermitsAreReturnedHoweverManyConnectionsClose(t *testing.T) {
	bubble(t, 0, func(t *testing.T, gatekeeper *Gatekeeper, permits *testPermits) {
		passes := open(t, gatekeeper, returnQueue+100)
		permits.mutex.Lock() // The worker waits for the permits' lock.
		for _, pass := range passes {
			pass.Close()
		}
		permits.mutex.Unlock()
		<-afterReview()
		synctest.Wait()
		permits.mutex.Lock()
		defer permits.mutex.Unlock()
		assert.Check(t, permits.held == 0, "%d permits are held", permits.held)
	})
}

// afterReview returns a channel that is ready after two reviews.
func afterReview() <-chan time.Time { return time.After(2*reviewInterval + reviewInterval/2) }
