package generator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// arrival is one request to come.
type arrival struct {
	stream *Stream
	// at is counted from the beginning of the load.
	at time.Duration
	// number is unique within the load.
	number int
	// length is the number of tokens that the answer will have.
	length int
}

// plan returns all arrivals in order of time. The same seed gives the same
// arrivals.
func plan(mix Mix, scale float64, duration time.Duration, seed uint64) []arrival {
	var arrivals []arrival
	for index := range mix.Streams {
		source := rand.New(rand.NewPCG(seed, uint64(index)))
		arrivals = append(arrivals, planStream(&mix.Streams[index], scale, duration, source)...)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.at, b.at) })
	for index := range arrivals {
		arrivals[index].number = index
	}
	return arrivals
}

// planStream draws a Poisson process whose rate follows the burst, by thinning
// one of the highest rate.
func planStream(stream *Stream, scale float64, duration time.Duration, source *rand.Rand) []arrival {
	rate := stream.Rate
	if !stream.Fixed {
		rate *= scale
	}
	highest := 1.0
	if stream.Burst != nil {
		highest = max(highest, stream.Burst.Factor)
	}
	var arrivals []arrival
	at := time.Duration(0)
	for rate > 0 {
		at += time.Duration(source.ExpFloat64() / (rate * highest) * float64(time.Second))
		if at >= duration {
			break
		}
		length := drawLength(stream.OutputTokens, source)
		if source.Float64()*highest < stream.Burst.factor(at) {
			arrivals = append(arrivals, arrival{stream: stream, at: at, length: length})
		}
	}
	return arrivals
}

func drawLength(mean int, source *rand.Rand) int {
	if mean <= 1 {
		return mean
	}
	return mean/2 + source.IntN(mean)
}

func (arrival arrival) prompt() string {
	text := "request " + strconv.Itoa(arrival.number) + " of " + arrival.stream.Name + " #len=" + strconv.Itoa(arrival.length) + " "
	const word = "abc "
	for len(text)/len(word) < arrival.stream.PromptTokens {
		text += word
	}
	return text
}
