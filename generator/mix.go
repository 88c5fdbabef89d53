// Package generator makes an open-loop load: arrival times are fixed by a seed
// before the first request is sent, and latency counts from the intended
// arrival, whether or not earlier requests have been answered.
package generator

import (
	"encoding/json"
	"time"

	"limpetcleat/failer"
)

// Kind classifies an Error.
type Kind string

// Malformed marks a mix that cannot be read.
const Malformed Kind = "malformed"

// Error is the one error type of this package.
type Error = failer.Error[Kind]

// Mix is a set of streams of requests, in its stored form.
type Mix struct {
	Streams []Stream `json:"streams"`
}

// Stream is one source of like requests. Its fields are exported because the
// JSON codec needs it.
type Stream struct {
	// Name names the stream in results; it is usually a class.
	Name   string `json:"name"`
	APIKey string `json:"apiKey"`
	// Path begins with a slash; one under /services/ calls a plain service.
	Path string `json:"path"`
	// Rate is the mean number of requests a second at a scale of 1.
	Rate float64 `json:"rate"`
	// Fixed streams keep their rate at every scale.
	Fixed        bool   `json:"fixed,omitempty"`
	Model        string `json:"model,omitempty"`
	PromptTokens int    `json:"promptTokens,omitempty"`
	// OutputTokens is the mean length of an answer; lengths are drawn between
	// half and one and a half times of it.
	OutputTokens int  `json:"outputTokens,omitempty"`
	Streamed     bool `json:"streamed,omitempty"`
	// Keyed requests carry an Idempotency-Key of their own.
	Keyed  bool              `json:"keyed,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	// The targets by which the result counts a request as met; 0 is none.
	FirstTokenMs    int `json:"firstTokenMs,omitempty"`
	BetweenTokensMs int `json:"betweenTokensMs,omitempty"`
	TotalMs         int `json:"totalMs,omitempty"`
	// Burst, when set, multiplies the rate for a while.
	Burst *Burst `json:"burst,omitempty"`
}

// Burst is a while of a higher rate.
type Burst struct {
	AtMs   int     `json:"atMs"`
	ForMs  int     `json:"forMs"`
	Factor float64 `json:"factor"`
}

// ParseMix returns the mix that the JSON describes.
func ParseMix(data []byte) (Mix, error) {
	var mix Mix
	if err := json.Unmarshal(data, &mix); err != nil {
		return Mix{}, failer.New("generator.parseMix", Malformed, "%w", err)
	}
	if len(mix.Streams) == 0 {
		return Mix{}, failer.New("generator.parseMix", Malformed, "the mix has %d streams", len(mix.Streams))
	}
	return mix, nil
}

func (burst *Burst) factor(at time.Duration) float64 {
	if burst == nil {
		return 1
	}
	begin := time.Duration(burst.AtMs) * time.Millisecond
	end := begin + time.Duration(burst.ForMs)*time.Millisecond
	if at < begin || at >= end {
		return 1
	}
	return burst.Factor
}
