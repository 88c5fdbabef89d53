package generator

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// arrival is one planned request.
type arrival struct {
	stream *Stream
	// offset is the intended time of arrival, relative to the start of the load.
	offset time.Duration
	// number is the request's position in the load and unique within it.
	number int
	// outputTokens is the number of tokens that the prompt requests for the answer.
	outputTokens int
}

// planArrivals returns the arrivals of all streams in order of time. Each stream has its own
// random source, derived from the seed and the stream's index, so equal arguments give equal
// arrivals.
func planArrivals(mix Mix, scale float64, duration time.Duration, seed uint64) []arrival {
	var arrivals []arrival
	for index := range mix.Streams {
		source := rand.New(rand.NewPCG(seed, uint64(index)))
		arrivals = append(arrivals, planStream(&mix.Streams[index], scale, duration, source)...)
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.offset, b.offset) })
	for index := range arrivals {
		arrivals[index].number = index
	}
	return arrivals
}

// planStream draws a Poisson process whose rate follows the stream's burst. It thins a process
// that has the maximum rate throughout.
func planStream(stream *Stream, scale float64, duration time.Duration, source *rand.Rand) []arrival {
	rate := stream.Rate
	if !stream.Fixed {
		rate *= scale
	}
	maxFactor := 1.0
	if stream.Burst != nil {
		maxFactor = max(maxFactor, stream.Burst.Factor)
	}
	var arrivals []arrival
	offset := time.Duration(0)
	for rate > 0 {
		offset += time.Duration(source.ExpFloat64() / (rate * maxFactor) * float64(time.Second))
		if offset >= duration {
			break
		}
		length := drawOutputTokens(stream.OutputTokens, source)
		if source.Float64()*maxFactor < stream.Burst.factorAt(offset) {
			arrivals = append(arrivals, arrival{stream: stream, offset: offset, outputTokens: length})
		}
	}
	return arrivals
}

// drawOutputTokens returns a number of tokens drawn uniformly from [mean/2, mean/2+mean), or the
// mean itself if it is at most 1.
func drawOutputTokens(mean int, source *rand.Rand) int {
	if mean <= 1 {
		return mean
	}
	return mean/2 + source.IntN(mean)
}

// prompt returns a text of about PromptTokens tokens, at four bytes a token. The marker #len
// sets the number of tokens in a stand-in engine's answer.
func (arrival arrival) prompt() string {
	text := "request " + strconv.Itoa(arrival.number) + " of " + arrival.stream.Name + " #len=" + strconv.Itoa(arrival.outputTokens) + " "
	const filler = "abc "
	for len(text)/len(filler) < arrival.stream.PromptTokens {
		text += filler
	}
	return text
}
