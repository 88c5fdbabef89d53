package generator

import "time"

// Report is the JSON form of a Result; times are in milliseconds. Its fields are exported for the
// JSON codec.
type Report struct {
	ElapsedMs float64 `json:"tookMs"`
	// GoodputTokensPerSecond is the number of tokens in complete answers, per second.
	GoodputTokensPerSecond float64        `json:"goodputTokens"`
	Streams                []StreamReport `json:"streams"`
}

// StreamReport is the JSON form of a stream's result.
type StreamReport struct {
	*StreamResult
	// Attainment is the fraction of requests that met their targets.
	Attainment float64 `json:"attainment"`
	// GoodputTokensPerSecond is the number of tokens in complete answers, per second;
	// GoodputAnswersPerSecond is the number of complete answers, per second.
	GoodputTokensPerSecond  float64   `json:"goodputTokens"`
	GoodputAnswersPerSecond float64   `json:"goodputAnswers"`
	FirstToken              Quantiles `json:"firstTokenMs"`
	Total                   Quantiles `json:"totalMs"`
}

// Quantiles are latency quantiles of complete answers in milliseconds, measured from the intended
// arrival.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report returns the JSON form of the result.
func (result *Result) Report() Report {
	seconds := max(result.elapsed.Seconds(), 1e-9)
	report := Report{ElapsedMs: toMilliseconds(result.elapsed), GoodputTokensPerSecond: result.Goodput()}
	for _, stream := range result.streams {
		report.Streams = append(report.Streams, StreamReport{
			StreamResult:            stream,
			Attainment:              stream.Attainment(),
			GoodputTokensPerSecond:  float64(stream.Tokens) / seconds,
			GoodputAnswersPerSecond: float64(stream.Completed) / seconds,
			FirstToken:              newQuantiles(stream.FirstToken),
			Total:                   newQuantiles(stream.Total),
		})
	}
	return report
}

// newQuantiles evaluates a function that maps a percentile, 0 to 100, to a latency.
func newQuantiles(quantile func(float64) time.Duration) Quantiles {
	return Quantiles{
		P50: toMilliseconds(quantile(50)),
		P90: toMilliseconds(quantile(90)),
		P95: toMilliseconds(quantile(95)),
		P99: toMilliseconds(quantile(99)),
		Max: toMilliseconds(quantile(100)),
	}
}

func toMilliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
