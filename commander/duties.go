package commander

import (
	"fmt"
	"io"

	"limpetcleat/operator"
)

// dutiesRow is the JSON output of the duties command for one node.
type dutiesRow struct {
	Address string          `json:"address"`
	Duties  operator.Duties `json:"duties"`
	Failure string          `json:"failure,omitempty"`
}

func (commander *Commander) dutiesCommand() command {
	report := nodeReport[operator.Duties]{
		query: (*operator.Client).Duties,
		row: func(answer operator.Answer[operator.Duties]) any {
			return dutiesRow{Address: answer.Address(), Duties: answer.Value(), Failure: errorText(answer)}
		},
		write: writeDuties,
	}
	return command{
		name:    "duties",
		summary: "show which nodes report usage and order engines, and the latest reports and orders with their inputs",
		example: "limpetcleat duties -nodes 127.0.0.1:9465",
		prepare: report.prepare(commander),
	}
}

// writeDuties writes the duties as one node reports them, with a header for each node.
func writeDuties(table io.Writer, address string, duties operator.Duties) {
	_, _ = fmt.Fprintln(table, "node\tduty\tholds\tlast holder\ttoken\treported until\twhole\tpartial\tskipped")
	_, _ = fmt.Fprintf(table, "%s\tusage\t%t\t%s\t%d\t%d\t%d\t%d\t%d\n", address, duties.Usage.Holds, duties.Usage.Holder, duties.Usage.Token,
		duties.ReportedUntil, duties.Whole, duties.Partial, duties.Skipped)
	_, _ = fmt.Fprintf(table, "%s\tscaling\t%t\t%s\t%d\t\t\t\t\n", address, duties.Scaling.Holds, duties.Scaling.Holder, duties.Scaling.Token)
	for _, report := range duties.Reports {
		_, _ = fmt.Fprintf(table, "\twindow %d\trequests %d\twhole %t\ttoken %d\tlate %d ms\t\t\t\n", report.Window, report.Requests, report.Whole, report.Token, report.LateMs)
	}
	for _, engines := range duties.Engines {
		_, _ = fmt.Fprintf(table, "\t%s in %s\tordered %d + %d spot\tstanding %d + %d spot\t\t\t\t\t\n", engines.Service, engines.DataCentre,
			engines.OrderedOrdinary, engines.OrderedSpot, engines.ServingOrdinary, engines.ServingSpot)
	}
	for _, order := range duties.Orders {
		_, _ = fmt.Fprintf(table, "\torder %d in %s\tspot %t\tneed %.1f\tbusy %.1f\ttoken %d\t%s\t\t\n", order.Count, order.DataCentre, order.Spot, order.Need, order.Busy, order.Token, order.Failure)
	}
}
