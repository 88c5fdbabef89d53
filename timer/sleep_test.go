package timer_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/timer"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	assert.NilError(t, timer.Sleep(t.Context(), time.Microsecond))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.Assert(t, errors.Is(timer.Sleep(ctx, time.Hour), context.Canceled))
}

func TestDoubled(t *testing.T) {
	cases := []struct {
		times int
		want  time.Duration
	}{{0, time.Second}, {1, 2 * time.Second}, {3, 8 * time.Second}, {4, 10 * time.Second}, {1000, 10 * time.Second}}
	for _, test := range cases {
		assert.Equal(t, timer.Doubled(time.Second, 10*time.Second, test.times), test.want)
	}
}
