package estimator

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"limpetcleat/definer"
)

func assertNear(t *testing.T, what string, got, wanted, part float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-wanted) <= part*wanted, "%s is %.1f, want about %.1f", what, got, wanted)
}

func TestLengthsAreLearnt(t *testing.T) {
	source := rand.New(rand.NewPCG(1, 1))
	fixed := func() int { return 400 }
	exponential := func() int { return 1 + int(source.ExpFloat64()*400) }
	// Half of the answers are short, half are long.
	mixed := func() int { return 100 + 900*source.IntN(2) }
	for _, test := range []struct {
		name                          string
		draw                          func() int
		mean, afterHundred, afterMore float64
		more                          int
	}{
		{"all alike", fixed, 400, 300, 100, 300},
		{"without memory", exponential, 400, 400, 400, 400},
		{"of two kinds", mixed, 550, 900, 500, 500},
		{"longer than any before", fixed, 400, 300, 800, 800},
	} {
		t.Run(test.name, func(t *testing.T) {
			estimator := New()
			for range 900 {
				estimator.Learn(time.Unix(0, 0), "draft", "small", test.draw())
			}
			assertNear(t, "the output", estimator.ExpectedOutput("draft", "small"), test.mean, 0.15)
			assertNear(t, "the remainder after 110", estimator.ExpectedRemainder("draft", "small", 110), test.afterHundred, 0.2)
			assertNear(t, "the remainder after more", estimator.ExpectedRemainder("draft", "small", test.more), test.afterMore, 0.25)
		})
	}
}

func TestOldLengthsAreForgotten(t *testing.T) {
	for _, test := range []struct {
		name  string
		count int
		step  time.Duration
	}{{"by number", 1100, 0}, {"by time", 60, time.Minute}} {
		t.Run(test.name, func(t *testing.T) {
			estimator, now := New(), time.Unix(0, 0)
			for _, tokens := range []int{2000, 100} {
				for range test.count {
					now = now.Add(test.step)
					estimator.Learn(now, "draft", "small", tokens)
				}
			}
			assertNear(t, "the output", estimator.ExpectedOutput("draft", "small"), 100, 0.1)
			assertNear(t, "the median", estimator.Quantile("draft", "small", 0.5), 100, 0.1)
		})
	}
}

func TestUnknownLengthsHaveAUsualOne(t *testing.T) {
	estimator := New()
	assert.Equal(t, estimator.ExpectedOutput("draft", "small"), float64(defaultTokens))
	assert.Equal(t, estimator.ExpectedRemainder("draft", "small", 56), float64(200))
	assert.Equal(t, estimator.Quantile("draft", "small", 0.9), float64(defaultTokens))
	estimator.Learn(time.Unix(0, 0), "draft", "small", 10_000)
	assert.Assert(t, estimator.ExpectedOutput("draft", "small") < 2000, "one answer does not decide")
	for index := range 2 * maxKeys {
		estimator.Learn(time.Unix(0, 0), definer.ClassName(fmt.Sprint(index)), "small", 5)
	}
	assert.Equal(t, len(estimator.lengths), maxKeys)
}

func TestEstimatesArePositiveAndOrdered(t *testing.T) {
	// A fixed seed makes the outcome the same in each run.
	assert.NilError(t, flag.Set("rapid.seed", "20261202"))
	rapid.Check(t, func(check *rapid.T) {
		estimator := New()
		for _, tokens := range rapid.SliceOf(rapid.IntRange(-5, 1<<20)).Draw(check, "tokens") {
			estimator.Learn(time.Unix(0, 0), "draft", "small", tokens)
		}
		produced := rapid.IntRange(0, 1<<20).Draw(check, "produced")
		assert.Assert(check, estimator.ExpectedRemainder("draft", "small", produced) > 0)
		assert.Assert(check, estimator.ExpectedOutput("draft", "small") >= 1)
		assert.Assert(check, estimator.Quantile("draft", "small", 0.5) <= estimator.Quantile("draft", "small", 0.95))
	})
}
