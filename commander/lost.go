package commander

import (
	"fmt"
	"io"
	"strings"

	"limpetcleat/operator"
)

// lostRow is the JSON output of the lost command for one node.
type lostRow struct {
	Address string          `json:"address"`
	Lost    []operator.Lost `json:"lost"`
	Failure string          `json:"failure,omitempty"`
}

func (commander *Commander) lostCommand() command {
	report := nodeReport[[]operator.Lost]{
		query: (*operator.Client).Lost,
		row: func(answer operator.Answer[[]operator.Lost]) any {
			return lostRow{Address: answer.Address(), Lost: answer.Value(), Failure: errorText(answer)}
		},
		header: "node\tupstream\tpresumed lost\tsince\tleft\tnext probe\tevidence",
		write:  writeLost,
	}
	return command{
		name:    "lost",
		summary: "show which upstreams are presumed lost, by whose evidence, and which node probes them next",
		example: "limpetcleat lost -nodes 127.0.0.1:9465",
		prepare: report.prepare(commander),
	}
}

// writeLost writes one row for each upstream of whose loss the node has evidence.
func writeLost(table io.Writer, address string, rows []operator.Lost) {
	for _, row := range rows {
		since, left, probe := "-", "-", "-"
		if row.Presumed {
			since, left = formatSeconds(row.SinceMs)+" ago", formatSeconds(row.LeftMs)
			probe = strings.TrimSpace("in " + formatSeconds(max(row.ProbeInMs, 0)) + " " + row.Prober)
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%t\t%s\t%s\t%s\t%s\n", address, row.Upstream, row.Presumed, since, left, probe, witnessesText(row.Witnesses))
	}
}

func witnessesText(witnesses []operator.LossWitness) string {
	var texts []string
	for _, witness := range witnesses {
		texts = append(texts, fmt.Sprintf("%s %s %s ago", witness.Node, witness.Kind, formatSeconds(witness.AgeMs)))
	}
	return strings.Join(texts, ", ")
}
