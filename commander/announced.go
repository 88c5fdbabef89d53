package commander

import (
	"fmt"
	"io"

	"limpetcleat/operator"
)

// announcedRow is the JSON output of the announced command for one node.
type announcedRow struct {
	Address   string               `json:"address"`
	Announced []operator.Announced `json:"announced"`
	Failure   string               `json:"failure,omitempty"`
}

func (commander *Commander) announcedCommand() command {
	report := nodeReport[[]operator.Announced]{
		query: (*operator.Client).Announced,
		row: func(answer operator.Answer[[]operator.Announced]) any {
			return announcedRow{Address: answer.Address(), Announced: answer.Value(), Failure: errorText(answer)}
		},
		header: "node\tupstream\tlimit\tleaving\tsaid\tby\tpermits",
		write:  writeAnnounced,
	}
	return command{
		name:    "announced",
		summary: "show which upstreams announced a rate limit or a departure, the source, and the node that issues permits",
		example: "limpetcleat announced -nodes 127.0.0.1:9465",
		prepare: report.prepare(commander),
	}
}

// writeAnnounced writes one row for each upstream whose announcements the node has recorded.
func writeAnnounced(table io.Writer, address string, rows []operator.Announced) {
	for _, row := range rows {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%s ago\t%s\t%s\n", address, row.Upstream, limitText(row), row.Leaving,
			formatSeconds(row.AgeMs), sourceText(row), permitsText(row))
	}
}

func limitText(row operator.Announced) string {
	if !row.Limited {
		return "none"
	}
	return fmt.Sprintf("%g/s", row.LimitPerSecond)
}

func sourceText(row operator.Announced) string {
	if row.Source == "" {
		return "itself"
	}
	return row.Source
}

// permitsText describes the permits that a node issues for an upstream.
func permitsText(row operator.Announced) string {
	if !row.Issues {
		return "elsewhere"
	}
	return fmt.Sprintf("%.3g/s, %d nodes before, %d wait, asked %s ago", row.PermitsPerSecond, row.Position, row.Waiting, formatSeconds(row.AskedAgoMs))
}
