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
	// Latencies are recorded in microseconds, up to ten minutes.
	maxLatencyMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits      = 3
)

// Result holds the outcome of a load for each stream.
type Result struct {
	// mutex guards the contents of streams.
	mutex sync.Mutex
	// streams has one entry for each stream name, in the order of the mix.
	streams []*StreamResult
	elapsed time.Duration
	// wasted maps stream names to numbers of wasted tokens; nil if unknown.
	wasted map[string]uint64
}

// StreamResult holds the outcome of one stream's requests.
type StreamResult struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// Completed is the number of complete answers, Met the number of those within the stream's
	// targets, and Tokens the number of tokens in complete answers.
	Completed int `json:"whole"`
	Met       int `json:"met"`
	Tokens    int `json:"tokens"`
	// Refused counts the requests without a complete answer by error code. The code is "silent"
	// if there was no valid response or the stream ended early, and "foreign" if the answer's text
	// failed the AnswerCheck.
	Refused    map[string]int `json:"refused,omitempty"`
	firstToken *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newResult(mix Mix) *Result {
	result := &Result{}
	for _, stream := range mix.Streams {
		if result.streamResult(stream.Name) == nil {
			result.streams = append(result.streams, &StreamResult{
				Name:       stream.Name,
				Refused:    make(map[string]int),
				firstToken: hdrhistogram.New(1, maxLatencyMicroseconds, significantDigits),
				total:      hdrhistogram.New(1, maxLatencyMicroseconds, significantDigits),
			})
		}
	}
	return result
}

func (result *Result) streamResult(name string) *StreamResult {
	for _, stream := range result.streams {
		if stream.Name == name {
			return stream
		}
	}
	return nil
}

// Streams returns the results of all streams, in the order of the mix.
func (result *Result) Streams() []*StreamResult { return result.streams }

// Elapsed returns the time from the start of the load to the last answer.
func (result *Result) Elapsed() time.Duration { return result.elapsed }

// record adds an answer to its stream's result. It is safe for concurrent use.
func (result *Result) record(answer *answer) {
	result.mutex.Lock()
	defer result.mutex.Unlock()
	stream := result.streamResult(answer.arrival.stream.Name)
	stream.Sent++
	if !answer.complete {
		stream.Refused[answer.errorCode]++
		return
	}
	stream.Completed++
	stream.Tokens += answer.tokens
	_ = stream.total.RecordValue(answer.total.Microseconds())
	if answer.firstToken > 0 {
		_ = stream.firstToken.RecordValue(answer.firstToken.Microseconds())
	}
	if answer.meetsTargets() {
		stream.Met++
	}
}

// meetsTargets reports whether a complete answer is within its stream's latency targets.
func (answer *answer) meetsTargets() bool {
	stream := answer.arrival.stream
	switch {
	case stream.TotalMs > 0 && answer.total > milliseconds(stream.TotalMs):
		return false
	case stream.FirstTokenMs > 0 && answer.firstToken > milliseconds(stream.FirstTokenMs):
		return false
	case stream.BetweenTokensMs > 0 && answer.meanTokenInterval() > milliseconds(stream.BetweenTokensMs):
		return false
	}
	return true
}

// meanTokenInterval returns the mean time between tokens, or 0 with fewer than two tokens.
func (answer *answer) meanTokenInterval() time.Duration {
	if answer.tokens < 2 {
		return 0
	}
	return (answer.lastToken - answer.firstToken) / time.Duration(answer.tokens-1)
}

func milliseconds(count int) time.Duration { return time.Duration(count) * time.Millisecond }

// Attainment returns the fraction of requests that met their targets, or 1 if no request was sent.
func (stream *StreamResult) Attainment() float64 {
	if stream.Sent == 0 {
		return 1
	}
	return float64(stream.Met) / float64(stream.Sent)
}

// FirstToken returns the given percentile, 0 to 100, of the time to the first token.
func (stream *StreamResult) FirstToken(quantile float64) time.Duration {
	return time.Duration(stream.firstToken.ValueAtQuantile(quantile)) * time.Microsecond
}

// Total returns the given percentile, 0 to 100, of the time to the complete answer.
func (stream *StreamResult) Total(quantile float64) time.Duration {
	return time.Duration(stream.total.ValueAtQuantile(quantile)) * time.Microsecond
}

// Goodput returns the number of tokens in complete answers, per second.
func (result *Result) Goodput() float64 {
	tokens := 0
	for _, stream := range result.streams {
		tokens += stream.Tokens
	}
	return float64(tokens) / max(result.elapsed.Seconds(), 1e-9)
}

// SetWasted sets the number of tokens that were computed and then discarded, by stream name, as
// counted by the system under test.
func (result *Result) SetWasted(tokens map[string]uint64) { result.wasted = tokens }

// WriteText writes the result as a table with one row per stream.
func (result *Result) WriteText(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\tsent\twhole\tattainment\tgoodput\twasted\tfirst token p50/p95\ttotal p50/p95\trefused")
	for _, stream := range result.streams {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.1f%%\t%s\t%s\t%s\t%s\t%s\n",
			stream.Name, stream.Sent, stream.Completed, 100*stream.Attainment(), stream.formatGoodput(result.elapsed), result.formatWasted(stream),
			formatMedianAndP95(stream.FirstToken), formatMedianAndP95(stream.Total), stream.formatRefusals())
	}
	return table.Flush()
}

// formatWasted returns the discarded percentage of a stream's tokens, or "-" if unknown.
func (result *Result) formatWasted(stream *StreamResult) string {
	if result.wasted == nil {
		return "-"
	}
	wasted := float64(result.wasted[stream.Name])
	return fmt.Sprintf("%.1f%%", 100*wasted/max(wasted+float64(stream.Tokens), 1))
}

// formatGoodput returns tokens per second, or answers per second for a stream without tokens.
func (stream *StreamResult) formatGoodput(elapsed time.Duration) string {
	seconds := max(elapsed.Seconds(), 1e-9)
	if stream.Tokens == 0 {
		return fmt.Sprintf("%.1f answers/s", float64(stream.Completed)/seconds)
	}
	return fmt.Sprintf("%.0f tokens/s", float64(stream.Tokens)/seconds)
}

func formatMedianAndP95(quantile func(float64) time.Duration) string {
	return fmt.Sprintf("%d/%d ms", quantile(50).Milliseconds(), quantile(95).Milliseconds())
}

func (stream *StreamResult) formatRefusals() string {
	if len(stream.Refused) == 0 {
		return "none"
	}
	var parts []string
	for _, code := range slices.Sorted(maps.Keys(stream.Refused)) {
		parts = append(parts, fmt.Sprintf("%s %d", code, stream.Refused[code]))
	}
	return strings.Join(parts, ", ")
}
