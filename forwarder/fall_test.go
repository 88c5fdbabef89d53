package forwarder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/connector"
	"limpetcleat/registrar"
)

// TestLooksAreShared holds that all requests that break off at an upstream are told by one
// question, and that a later break is another question.
func TestLooksAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asked := 0
		looks := newLooks(func(context.Context, string) connector.Presence {
			asked++
			<-time.After(time.Millisecond)
			return connector.Refused
		})
		upstream, other := &registrar.Upstream{ID: "u"}, &registrar.Upstream{ID: "v"}
		var broken conc.WaitGroup
		for range 20 {
			broken.Go(func() { assert.Check(t, looks.of(time.Now(), upstream).presence == connector.Refused) })
		}
		broken.Wait()
		assert.Equal(t, asked, 1)
		looks.of(time.Now(), other)
		assert.Equal(t, asked, 2)
		<-time.After(lookLife)
		looks.of(time.Now(), upstream)
		assert.Equal(t, asked, 3)
		assert.Equal(t, len(looks.looks), 1)
	})
}
