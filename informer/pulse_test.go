package informer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node that trusts its copy right after a pause, before it has read the news of that time.
func TestCopyIsSettledAfterAPause(t *testing.T) {
	var pulse pulse
	at := func(millis int) time.Time { return time.Unix(1000, 0).Add(time.Duration(millis) * time.Millisecond) }
	assert.Assert(t, pulse.settled(at(0)), "before the first beat")
	assert.Equal(t, pulse.beat(at(0)), time.Duration(0))
	assert.Equal(t, pulse.beat(at(400)), time.Duration(0))
	assert.Assert(t, pulse.settled(at(401)), "late, but not paused")
	assert.Assert(t, !pulse.settled(at(2400)), "resumed before the beat")
	assert.Equal(t, pulse.beat(at(2400)), 2*time.Second)
	assert.Assert(t, !pulse.settled(at(2500)))
	assert.Assert(t, pulse.settled(at(2600)))
}
