package generator

import "time"

// Report is a result in its JSON form; times are in milliseconds. Its fields are
// exported because the codec needs it.
type Report struct {
	TookMs float64 `json:"tookMs"`
	// GoodputTokens is the tokens a second of whole answers.
	GoodputTokens float64        `json:"goodputTokens"`
	Streams       []StreamReport `json:"streams"`
}

// StreamReport is the JSON form of what came of one stream.
type StreamReport struct {
	*StreamResult
	Attainment float64 `json:"attainment"`
	// GoodputTokens and GoodputAnswers are counted a second.
	GoodputTokens  float64   `json:"goodputTokens"`
	GoodputAnswers float64   `json:"goodputAnswers"`
	FirstToken     Quantiles `json:"firstTokenMs"`
	Total          Quantiles `json:"totalMs"`
}

// Quantiles are those of one latency of whole answers, from intended arrival.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report returns the result in its JSON form.
func (result *Result) Report() Report {
	seconds := max(result.took.Seconds(), 1e-9)
	report := Report{TookMs: inMilliseconds(result.took), GoodputTokens: result.Goodput()}
	for _, stream := range result.streams {
		report.Streams = append(report.Streams, StreamReport{
			StreamResult:   stream,
			Attainment:     stream.Attainment(),
			GoodputTokens:  float64(stream.Tokens) / seconds,
			GoodputAnswers: float64(stream.Whole) / seconds,
			FirstToken:     quantilesOf(stream.FirstToken),
			Total:          quantilesOf(stream.Total),
		})
	}
	return report
}

func quantilesOf(quantile func(float64) time.Duration) Quantiles {
	return Quantiles{
		P50: inMilliseconds(quantile(50)),
		P90: inMilliseconds(quantile(90)),
		P95: inMilliseconds(quantile(95)),
		P99: inMilliseconds(quantile(99)),
		Max: inMilliseconds(quantile(100)),
	}
}

func inMilliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
