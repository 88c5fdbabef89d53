package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/selector"
)

// predictedPath is the path of the predictions for engines.
const predictedPath = "/predicted"

// Predicted is what one node has learned of the engines of a service. Times are in milliseconds.
type Predicted struct {
	Service string `json:"service"`
	// PrefillTokensPerMs is the usual prefill speed, BaseMs the part of the time to the first event
	// that does not depend on the prompt, and IntervalMs the usual time between two events of a
	// stream.
	PrefillTokensPerMs float64           `json:"prefillTokensPerMs"`
	BaseMs             float64           `json:"baseMs"`
	IntervalMs         float64           `json:"intervalMs"`
	Engines            []PredictedEngine `json:"engines"`
}

// PredictedEngine is what one node predicts for an engine, and the load that it predicts from.
type PredictedEngine struct {
	Upstream string `json:"upstream"`
	// InFlight counts the requests of this node there, PeersInFlight those of its peers.
	InFlight      int `json:"inFlight"`
	PeersInFlight int `json:"peersInFlight"`
	// Streams counts the streams of all nodes there whose pauses other requests must not lengthen.
	Streams int `json:"streams"`
	// WaitingTokens counts the prompt tokens of all nodes there that were not prefilled yet.
	WaitingTokens int `json:"waitingTokens"`
	// Factor is how many times as long as usual the engine takes.
	Factor float64 `json:"factor"`
	// FirstEventMs is when the first event of a request without a prompt is expected, and PauseMs
	// the longest pause of a stream there.
	FirstEventMs float64 `json:"firstEventMs"`
	PauseMs      float64 `json:"pauseMs"`
}

// Predictions returns what a node predicts for its engines, by service.
type Predictions func(now time.Time) []selector.ServicePrediction

// ServePredicted adds the predictions to the operators' interface. It must be called before Handler.
func (entry *Entry) ServePredicted(predictions Predictions) { entry.predictions = predictions }

// handlePredicted answers with the predictions as a list of Predicted.
func (entry *Entry) handlePredicted(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	rows := []Predicted{}
	for _, service := range entry.predictions(time.Now()) {
		row := Predicted{
			Service: string(service.Service), PrefillTokensPerMs: service.PrefillSpeed,
			BaseMs: milliseconds(service.BaseLatency), IntervalMs: milliseconds(service.Interval), Engines: []PredictedEngine{},
		}
		for index := range service.Engines {
			row.Engines = append(row.Engines, newPredictedEngine(&service.Engines[index]))
		}
		rows = append(rows, row)
	}
	writeJSON(writer, rows)
}

func newPredictedEngine(engine *selector.EnginePrediction) PredictedEngine {
	return PredictedEngine{
		Upstream: string(engine.Upstream), InFlight: engine.Own, PeersInFlight: engine.Peers, Streams: engine.Streams, WaitingTokens: engine.Waiting,
		Factor: engine.Factor, FirstEventMs: milliseconds(engine.FirstEvent), PauseMs: milliseconds(engine.Pause),
	}
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration) / float64(time.Millisecond)
}

// Predicted requests the predictions from all nodes concurrently.
func (client *Client) Predicted(ctx context.Context) []Answer[[]Predicted] {
	return callAll[[]Predicted](ctx, client, http.MethodGet, predictedPath)
}
