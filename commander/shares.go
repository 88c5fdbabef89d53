package commander

import (
	"fmt"
	"io"

	"limpetcleat/operator"
)

// sharesRow is the JSON output of the shares command for one node.
type sharesRow struct {
	Address string           `json:"address"`
	Shares  []operator.Share `json:"shares"`
	Failure string           `json:"failure,omitempty"`
}

func (commander *Commander) sharesCommand() command {
	report := nodeReport[[]operator.Share]{
		query: (*operator.Client).Shares,
		row: func(answer operator.Answer[[]operator.Share]) any {
			return sharesRow{Address: answer.Address(), Shares: answer.Value(), Failure: errorText(answer)}
		},
		header: "node\tservice\tshort\tutilisation\tengines\ttier\torganisation\tweight\twork\tshare\tbeyond",
		write:  writeShares,
	}
	return command{
		name:    "shares",
		summary: "show the engine time that the requests of each organisation need, its share while capacity is short, and the part beyond it",
		example: "limpetcleat shares -nodes 127.0.0.1:9465",
		prepare: report.prepare(commander),
	}
}

// writeShares writes one row for each organisation that the node lists.
func writeShares(table io.Writer, address string, rows []operator.Share) {
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%t\t%.2f\t%g\t%d\t%s\t%g\t%.2f\t%.2f\t%.0f%%\n", address, row.Service, row.Short, row.Utilisation,
			row.Engines, row.Tier, organisationText(row), row.Weight, row.Work, row.Share, beyondPercent(row))
	}
}

func organisationText(row operator.Share) string {
	if row.Organisation == "" {
		return "(others)"
	}
	return row.Organisation
}

// beyondPercent returns the percentage of an organisation's requests that are beyond its share.
func beyondPercent(row operator.Share) float64 {
	if row.Work <= 0 {
		return 0
	}
	return 100 * (1 - row.Share/row.Work)
}
