package clock_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/clock"
)

func TestStepsAreDoneInOrder(t *testing.T) {
	begin := time.Unix(1_800_000_000, 0)
	simulated := clock.New(begin)
	timers := make(clock.Timers[string])
	var done []string
	do := func(name string) func() {
		return func() { done = append(done, name+"@"+simulated.Now().Sub(begin).String()) }
	}
	set := func(name string, after time.Duration) {
		timers.Set(simulated, name, begin.Add(after), do(name))
	}
	simulated.Schedule(2*time.Second, do("second"))
	simulated.Schedule(2*time.Second, do("third"))
	simulated.Schedule(time.Second, func() {
		do("first")()
		simulated.Schedule(-time.Minute, do("at once"))
	})
	simulated.Schedule(time.Hour, do("later"))
	set("moved", time.Second)
	set("moved", 4*time.Second)
	set("cleared", 3*time.Second)
	timers.Clear("cleared")
	simulated.Advance(3 * time.Second)
	assert.Equal(t, strings.Join(done, " "), "first@1s at once@1s second@2s third@2s")
	assert.Equal(t, simulated.Now(), begin.Add(3*time.Second))
	count := len(done)
	assert.Assert(t, simulated.AdvanceUntil(2*time.Hour, func() bool { return len(done) > count }))
	assert.Equal(t, done[count], "moved@4s")
	assert.Equal(t, simulated.Now(), begin.Add(4*time.Second))
	assert.Assert(t, !simulated.AdvanceUntil(time.Minute, func() bool { return false }))
	assert.Equal(t, len(done), count+1)
}
