package generator

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Latencies are kept in microseconds, up to ten minutes.
	highestLatency = int64(10 * time.Minute / time.Microsecond)
	digits         = 3
)

// Result is what came of a load, stream by stream.
type Result struct {
	// mutex guards streams.
	mutex sync.Mutex
	// streams holds each stream of the mix once, in its order.
	streams []*StreamResult
	took    time.Duration
	// wasted holds the wasted tokens by stream; nil when they are not known.
	wasted map[string]uint64
}

// StreamResult is what came of one stream.
type StreamResult struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// Whole counts whole answers, Met those within the stream's targets.
	Whole  int `json:"whole"`
	Met    int `json:"met"`
	Tokens int `json:"tokens"`
	// Refused counts honest refusals and errors by code.
	Refused    map[string]int `json:"refused,omitempty"`
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newResult(mix Mix) *Result {
	result := &Result{}
	for _, stream := range mix.Streams {
		if result.find(stream.Name) == nil {
			result.streams = append(result.streams, &StreamResult{
				Name:       stream.Name,
				Refused:    make(map[string]int),
				firstToken: hdrhistogram.New(1, highestLatency, digits),
				total:      hdrhistogram.New(1, highestLatency, digits),
			})
		}
	}
	return result
}

func (result *Result) find(name string) *StreamResult {
	for _, stream := range result.streams {
		if stream.Name == name {
			return stream
		}
	}
	return nil
}

// Streams returns the results of all streams, in the order of the mix.
func (result *Result) Streams() []*StreamResult { return result.streams }

// Took returns the time from the first arrival to the last answer.
func (result *Result) Took() time.Duration { return result.took }

func (result *Result) add(answer *answer) {
	result.mutex.Lock()
	defer result.mutex.Unlock()
	stream := result.find(answer.arrival.stream.Name)
	stream.Sent++
	if !answer.whole {
		stream.Refused[answer.code]++
		return
	}
	stream.Whole++
	stream.Tokens += answer.tokens
	_ = stream.total.RecordValue(answer.total.Microseconds())
	if answer.firstToken > 0 {
		_ = stream.firstToken.RecordValue(answer.firstToken.Microseconds())
	}
	if answer.met() {
		stream.Met++
	}
}

// met tells whether a whole answer came within its stream's targets.
func (answer *answer) met() bool {
	stream := answer.arrival.stream
	switch {
	case stream.TotalMs > 0 && answer.total > milliseconds(stream.TotalMs):
		return false
	case stream.FirstTokenMs > 0 && answer.firstToken > milliseconds(stream.FirstTokenMs):
		return false
	case stream.BetweenTokensMs > 0 && answer.between() > milliseconds(stream.BetweenTokensMs):
		return false
	}
	return true
}

func (answer *answer) between() time.Duration {
	if answer.tokens < 2 {
		return 0
	}
	return (answer.lastToken - answer.firstToken) / time.Duration(answer.tokens-1)
}

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// Attainment returns the share of requests that met their targets; 1 when none
// was sent.
func (stream *StreamResult) Attainment() float64 {
	if stream.Sent == 0 {
		return 1
	}
	return float64(stream.Met) / float64(stream.Sent)
}

// FirstToken returns a quantile, 0 to 100, of the time to the first token.
func (stream *StreamResult) FirstToken(quantile float64) time.Duration {
	return time.Duration(stream.firstToken.ValueAtQuantile(quantile)) * time.Microsecond
}

// Total returns a quantile, 0 to 100, of the time to the whole answer.
func (stream *StreamResult) Total(quantile float64) time.Duration {
	return time.Duration(stream.total.ValueAtQuantile(quantile)) * time.Microsecond
}

// Goodput returns the tokens a second of whole answers.
func (result *Result) Goodput() float64 {
	tokens := 0
	for _, stream := range result.streams {
		tokens += stream.Tokens
	}
	return float64(tokens) / max(result.took.Seconds(), 1e-9)
}

// SetWasted sets the tokens that were computed for each stream and discarded,
// as the system under load counted them.
func (result *Result) SetWasted(tokens map[string]uint64) { result.wasted = tokens }

// WriteText writes the result as a table.
func (result *Result) WriteText(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\tsent\twhole\tattainment\tgoodput\twasted\tfirst token p50/p95\ttotal p50/p95\trefused")
	for _, stream := range result.streams {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\n",
			stream.Name, stream.Sent, stream.Whole, 100*stream.Attainment(), stream.goodput(result.took), result.wastedOf(stream),
			pair(stream.FirstToken), pair(stream.Total), stream.refusals())
	}
	return table.Flush()
}

// wastedOf returns the share of a stream's tokens that were discarded.
func (result *Result) wastedOf(stream *StreamResult) string {
	if result.wasted == nil {
		return "-"
	}
	wasted := float64(result.wasted[stream.Name])
	return fmt.Sprintf("%.1f%%", 100*wasted/max(wasted+float64(stream.Tokens), 1))
}

func (stream *StreamResult) goodput(took time.Duration) string {
	seconds := max(took.Seconds(), 1e-9)
	if stream.Tokens == 0 {
		return fmt.Sprintf("%.1f answers/s", float64(stream.Whole)/seconds)
	}
	return fmt.Sprintf("%.0f tokens/s", float64(stream.Tokens)/seconds)
}

func pair(quantile func(float64) time.Duration) string {
	return fmt.Sprintf("%d/%d ms", quantile(50).Milliseconds(), quantile(95).Milliseconds())
}

func (stream *StreamResult) refusals() string {
	if len(stream.Refused) == 0 {
		return "none"
	}
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(stream.Refused)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, stream.Refused[code]))
	}
	return strings.Join(parts, ", ")
}
