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
	stepped := clock.New(begin)
	timers := make(clock.Timers[string])
	var done []string
	do := func(name string) func() {
		return func() { done = append(done, name+"@"+stepped.Now().Sub(begin).String()) }
	}
	set := func(name string, after time.Duration) {
		timers.Set(stepped, name, begin.Add(after), do(name))
	}
	stepped.After(2*time.Second, do("second"))
	stepped.After(2*time.Second, do("third"))
	stepped.After(time.Second, func() {
		do("first")()
		stepped.After(-time.Minute, do("at once"))
	})
	stepped.After(time.Hour, do("later"))
	set("moved", time.Second)
	set("moved", 4*time.Second)
	set("cleared", 3*time.Second)
	timers.Clear("cleared")
	stepped.Run(3 * time.Second)
	assert.Equal(t, strings.Join(done, " "), "first@1s at once@1s second@2s third@2s")
	assert.Equal(t, stepped.Now(), begin.Add(3*time.Second))
	count := len(done)
	assert.Assert(t, stepped.RunUntil(2*time.Hour, func() bool { return len(done) > count }))
	assert.Equal(t, done[count], "moved@4s")
	assert.Equal(t, stepped.Now(), begin.Add(4*time.Second))
	assert.Assert(t, !stepped.RunUntil(time.Minute, func() bool { return false }))
	assert.Equal(t, len(done), count+1)
}
