// Package generator is an open-loop load generator: it draws all arrival times from a seed before
// it sends the first request. Latency is measured from the intended arrival, whether or not
// earlier requests have been answered, which avoids coordinated omission.
package generator

import (
	"encoding/json"
	"time"

	"limpetcleat/failer"
)

// Kind is the kind of an Error.
type Kind string

// Malformed is the kind of error for a mix that cannot be parsed or has no streams.
const Malformed Kind = "malformed"

// Error is the type of the errors that this package returns.
type Error = failer.Error[Kind]

// Mix is a set of request streams in the JSON form of a mix file.
type Mix struct {
	Streams []Stream `json:"streams"`
}

// Stream is a source of similar requests. Its fields are exported for the JSON codec.
type Stream struct {
	// Name identifies the stream in results and is usually the name of a class. Streams with the
	// same name share one result.
	Name   string `json:"name"`
	APIKey string `json:"apiKey"`
	// Path begins with a slash; paths under /services/ are those of plain services.
	Path string `json:"path"`
	// Rate is the mean number of requests per second at a scale of 1.
	Rate float64 `json:"rate"`
	// Fixed streams keep their rate at every scale.
	Fixed bool `json:"fixed,omitempty"`
	// Model is the model of completion requests; a stream without a model calls a plain service.
	Model        string `json:"model,omitempty"`
	PromptTokens int    `json:"promptTokens,omitempty"`
	// OutputTokens is the mean number of tokens in an answer; the number is drawn from the range
	// of 0.5 to 1.5 times the mean.
	OutputTokens int  `json:"outputTokens,omitempty"`
	Streamed     bool `json:"streamed,omitempty"`
	// Keyed requests each have a unique Idempotency-Key.
	Keyed  bool              `json:"keyed,omitempty"`
	Header map[string]string `json:"header,omitempty"`
	// The latency targets of each request in milliseconds; 0 means no target. BetweenTokensMs
	// limits the mean interval between tokens.
	FirstTokenMs    int `json:"firstTokenMs,omitempty"`
	BetweenTokensMs int `json:"betweenTokensMs,omitempty"`
	TotalMs         int `json:"totalMs,omitempty"`
	// Burst, when set, raises the rate for a limited period.
	Burst *Burst `json:"burst,omitempty"`
}

// Burst multiplies the rate of a stream by Factor, from AtMs after the start of the load and for
// ForMs; both are in milliseconds.
type Burst struct {
	AtMs   int     `json:"atMs"`
	ForMs  int     `json:"forMs"`
	Factor float64 `json:"factor"`
}

// ParseMix parses a mix in JSON. It returns an error of kind Malformed if the JSON is invalid or
// the mix has no streams.
func ParseMix(data []byte) (Mix, error) {
	var mix Mix
	if err := json.Unmarshal(data, &mix); err != nil {
		return Mix{}, failer.New("generator.parseMix", Malformed, "%w", err)
	}
	if len(mix.Streams) == 0 {
		return Mix{}, failer.New("generator.parseMix", Malformed, "mix must have at least one stream, has %d", len(mix.Streams))
	}
	return mix, nil
}

// factorAt returns the factor for the rate at an offset from the start of the load. A nil burst
// has the factor 1.
func (burst *Burst) factorAt(offset time.Duration) float64 {
	if burst == nil {
		return 1
	}
	begin := time.Duration(burst.AtMs) * time.Millisecond
	end := begin + time.Duration(burst.ForMs)*time.Millisecond
	if offset < begin || offset >= end {
		return 1
	}
	return burst.Factor
}
