package generator

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPlanIsFixedByItsSeed(t *testing.T) {
	mix := Mix{Streams: []Stream{{Name: "a", Rate: 50, OutputTokens: 40}, {Name: "b", Rate: 20}}}
	times := func(seed uint64) []time.Duration {
		var times []time.Duration
		for _, arrival := range planArrivals(mix, 1, 10*time.Second, seed) {
			times = append(times, arrival.offset, time.Duration(arrival.outputTokens))
		}
		return times
	}
	assert.DeepEqual(t, times(7), times(7))
	assert.Assert(t, times(7)[0] != times(8)[0])
}

func TestPlanKeepsToItsRates(t *testing.T) {
	const seconds = 200
	cases := []struct {
		name   string
		stream Stream
		scale  float64
		wanted float64
	}{
		{"as it is", Stream{Rate: 20}, 1, 20 * seconds},
		{"scaled", Stream{Rate: 20}, 2, 40 * seconds},
		{"fixed", Stream{Rate: 20, Fixed: true}, 2, 20 * seconds},
		{"none", Stream{}, 1, 0},
		{"burst", Stream{Rate: 20, Burst: &Burst{AtMs: 50_000, ForMs: 50_000, Factor: 4}}, 1, 20*seconds + 3*20*50},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			arrivals := planArrivals(Mix{Streams: []Stream{test.stream}}, test.scale, seconds*time.Second, 1)
			// The bound is six standard deviations of a Poisson count.
			assert.Assert(t, math.Abs(float64(len(arrivals))-test.wanted) <= 6*math.Sqrt(test.wanted), len(arrivals))
			for index, arrival := range arrivals {
				assert.Equal(t, arrival.number, index)
				assert.Assert(t, index == 0 || arrival.offset >= arrivals[index-1].offset)
			}
		})
	}
}

// TestGapsAreExponential checks that the mean and the standard deviation of the gaps between
// arrivals are nearly equal, as in a Poisson process.
func TestGapsAreExponential(t *testing.T) {
	arrivals := planArrivals(Mix{Streams: []Stream{{Rate: 100}}}, 1, 200*time.Second, 3)
	var sum, squares float64
	for index := 1; index < len(arrivals); index++ {
		gap := (arrivals[index].offset - arrivals[index-1].offset).Seconds()
		sum += gap
		squares += gap * gap
	}
	count := float64(len(arrivals) - 1)
	mean := sum / count
	deviation := math.Sqrt(squares/count - mean*mean)
	assert.Assert(t, math.Abs(deviation/mean-1) < 0.1, deviation/mean)
}

func TestBurstFallsInItsTime(t *testing.T) {
	mix := Mix{Streams: []Stream{{Rate: 20, Burst: &Burst{AtMs: 40_000, ForMs: 20_000, Factor: 5}}}}
	inside, outside := 0, 0
	for _, arrival := range planArrivals(mix, 1, 100*time.Second, 1) {
		if arrival.offset >= 40*time.Second && arrival.offset < 60*time.Second {
			inside++
		} else {
			outside++
		}
	}
	// The expected counts are 2,000 inside the burst and 1,600 outside.
	assert.Assert(t, inside > 1700 && inside < 2300, inside)
	assert.Assert(t, outside > 1300 && outside < 1900, outside)
}

func TestLengthsAreDrawnAroundTheirMean(t *testing.T) {
	sum, arrivals := 0, planArrivals(Mix{Streams: []Stream{{Rate: 100, OutputTokens: 100}}}, 1, 100*time.Second, 5)
	for _, arrival := range arrivals {
		assert.Assert(t, arrival.outputTokens >= 50 && arrival.outputTokens < 150)
		sum += arrival.outputTokens
	}
	mean := float64(sum) / float64(len(arrivals))
	assert.Assert(t, mean > 95 && mean < 105, mean)
}

func TestParseMix(t *testing.T) {
	cases := []struct {
		text string
		good bool
	}{
		{`{"streams":[{"name":"a","rate":1}]}`, true},
		{`{"streams":[]}`, false},
		{`{"streams":{}}`, false},
		{`no JSON`, false},
	}
	for _, test := range cases {
		_, err := ParseMix([]byte(test.text))
		assert.Equal(t, err == nil, test.good, test.text)
	}
}
