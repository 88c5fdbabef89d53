package commander

import (
	"cmp"
	"fmt"
	"io"

	"limpetcleat/operator"
)

// placesRow is the JSON output of the places command for one node.
type placesRow struct {
	Address string          `json:"address"`
	Places  operator.Places `json:"places"`
	Failure string          `json:"failure,omitempty"`
}

func (commander *Commander) placesCommand() command {
	report := nodeReport[operator.Places]{
		query: (*operator.Client).Places,
		row: func(answer operator.Answer[operator.Places]) any {
			return placesRow{Address: answer.Address(), Places: answer.Value(), Failure: errorText(answer)}
		},
		header: "node\tservice\tupstream\tlimit\tin use\trejected",
		write:  writePlaces,
	}
	return command{
		name:    "places",
		summary: "show which services have a limit of rejections, since when, and the permits in use for requests and connections",
		example: "limpetcleat places -nodes 127.0.0.1:9465",
		prepare: report.prepare(commander),
	}
}

// writePlaces writes one row for each service with a limit, and one for each upstream whose permits
// the node issues.
func writePlaces(table io.Writer, address string, places operator.Places) {
	for _, service := range places.Services {
		_, _ = fmt.Fprintf(table, "%s\t%s\tall\t%g rejections/s for %s, said %s ago by %s\t-\t-\n", address, service.Service, service.PerSecond,
			formatSeconds(service.ForMs), formatSeconds(service.AgeMs), cmp.Or(service.Source, "itself"))
	}
	for _, upstream := range places.Upstreams {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\troom for %d\t%d, %d wait, %d denied, %d nodes before\t%d in a second, last %s\n", address, upstream.Service, upstream.Upstream,
			upstream.Room, upstream.InUse, upstream.Waiting, upstream.Denied, upstream.Position, upstream.Rejected, rejectionAgeText(upstream.RoomAgeMs))
	}
	writeConnections(table, address, places.Connections)
}

// writeConnections writes one row for each upstream for whose connections the node issues permits.
func writeConnections(table io.Writer, address string, upstreams []operator.ConnectedUpstream) {
	for _, upstream := range upstreams {
		_, _ = fmt.Fprintf(table, "%s\tall\t%s\t%d connections with permits\t%d, %d wait, %d denied, %d nodes before\t-\n", address, upstream.Upstream,
			upstream.Pool, upstream.InUse, upstream.Waiting, upstream.Denied, upstream.Position)
	}
}

func rejectionAgeText(ageMs int64) string {
	if ageMs < 0 {
		return "never"
	}
	return formatSeconds(ageMs) + " ago"
}
