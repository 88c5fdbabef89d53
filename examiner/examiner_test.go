package examiner

import (
	"context"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/dialer"
)

// TestLooksAreShared checks that one probe serves all requests that break off at an upstream at
// the same time, that a later break causes another probe, and that a timeout causes none.
func TestLooksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		examiner := New(func(context.Context, string) dialer.Presence {
			asked++
			<-time.After(time.Millisecond)
			return dialer.Refused
		})
		one, other := definer.UpstreamStart{Upstream: "u"}, definer.UpstreamStart{Upstream: "v"}
		began := time.Now()
		var broken conc.WaitGroup
		for range 20 {
			broken.Go(func() {
				finding := examiner.Examine(time.Now(), one, "", nil)
				assert.Check(t, finding.Ended() && finding.At.Equal(began))
			})
		}
		broken.Wait()
		assert.Equal(t, asked, 1)
		examiner.Examine(time.Now(), other, "", nil)
		assert.Equal(t, asked, 2)
		<-time.After(findingLifetime)
		examiner.Examine(time.Now(), one, "", nil)
		assert.Equal(t, asked, 3)
		assert.Equal(t, len(examiner.probes), 1)
		assert.Equal(t, examiner.Examine(time.Now(), other, "", syscall.ETIMEDOUT).Presence, dialer.Untold)
		assert.Equal(t, asked, 3)
	})
}
