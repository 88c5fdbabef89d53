package commander

import (
	"fmt"
	"io"

	"limpetcleat/operator"
)

// predictedRow is the JSON output of the predicted command for one node.
type predictedRow struct {
	Address   string               `json:"address"`
	Predicted []operator.Predicted `json:"predicted"`
	Failure   string               `json:"failure,omitempty"`
}

func (commander *Commander) predictedCommand() command {
	report := nodeReport[[]operator.Predicted]{
		query: (*operator.Client).Predicted,
		row: func(answer operator.Answer[[]operator.Predicted]) any {
			return predictedRow{Address: answer.Address(), Predicted: answer.Value(), Failure: errorText(answer)}
		},
		write: writePredicted,
	}
	return command{
		name:    "predicted",
		summary: "show what nodes predict for each engine, the load that they predict from, and the learned figures of each service",
		example: "limpetcleat predicted -nodes 127.0.0.1:9465",
		prepare: report.prepare(commander),
	}
}

// writePredicted writes the services as one node has learned them, with one row for each engine.
func writePredicted(table io.Writer, address string, services []operator.Predicted) {
	for _, service := range services {
		_, _ = fmt.Fprintf(table, "%s: %s: prefill %.1f tokens/ms, base latency %.1f ms, %.1f ms between events\n",
			address, service.Service, service.PrefillTokensPerMs, service.BaseMs, service.IntervalMs)
		_, _ = fmt.Fprintln(table, "upstream\town\tpeers\tstreams\twaiting tokens\tfactor\tfirst event ms\tpause ms")
		for _, engine := range service.Engines {
			_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t%.0f\n", engine.Upstream, engine.InFlight, engine.PeersInFlight,
				engine.Streams, engine.WaitingTokens, engine.Factor, engine.FirstEventMs, engine.PauseMs)
		}
	}
}
