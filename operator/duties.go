package operator

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/steward"
)

// dutiesPath is the path of the status of the duties.
const dutiesPath = "/duties"

// Duties is a node's view of the duties, each of which one node at a time performs.
type Duties struct {
	// Usage and Scaling describe the last known holder of each duty.
	Usage   DutyHolder `json:"usage"`
	Scaling DutyHolder `json:"scaling"`
	// ReportedUntil is the newest usage window that is known to be reported. Whole, Partial and
	// Skipped count the windows of this node of which all, some or none of the usage was
	// reported.
	ReportedUntil uint64 `json:"toldUntil"`
	Whole         int    `json:"whole"`
	Partial       int    `json:"partial"`
	Skipped       int    `json:"skipped"`
	// Reports and Orders are the most recent reports and orders of this node, the newest last.
	Reports []DutyReport `json:"reports"`
	Orders  []DutyOrder  `json:"orders"`
	// Engines compares ordered engines with those that accept work, if this node holds the
	// scaling duty.
	Engines []DutyEngines `json:"engines"`
}

// DutyHolder is a node's view of who holds a duty.
type DutyHolder struct {
	// Holds is set if the node itself performed the last act that it knows of. Holder is the
	// node that wrote the newest known claim, Token the fencing token of that claim.
	Holds  bool   `json:"holds"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// DutyReport is one usage window that a node reported to the platform.
type DutyReport struct {
	Window   uint64 `json:"window"`
	Token    uint64 `json:"token"`
	Requests uint64 `json:"requests"`
	// Whole is set if the report included all usage of the window. LateMs is the time from the
	// end of the window to the report in milliseconds.
	Whole  bool  `json:"whole"`
	LateMs int64 `json:"lateMs"`
}

// DutyOrder is one order of engines that a node placed, with the reasons for it.
type DutyOrder struct {
	Service    string `json:"service"`
	DataCentre string `json:"dataCentre"`
	Spot       bool   `json:"spot"`
	Count      int    `json:"count"`
	Token      uint64 `json:"token"`
	// Need is the number of engines that the recent peak load requires in all, Busy the number
	// that the load occupied when the order was placed.
	Need float64 `json:"need"`
	Busy float64 `json:"busy"`
	// Failure is why the platform did not accept the order; empty if it did.
	Failure string `json:"failure,omitempty"`
}

// DutyEngines compares the ordered engines of a service in a data centre with those that accept
// work, the fields named Serving.
type DutyEngines struct {
	Service         string `json:"service"`
	DataCentre      string `json:"dataCentre"`
	OrderedOrdinary int    `json:"orderedOrdinary"`
	OrderedSpot     int    `json:"orderedSpot"`
	ServingOrdinary int    `json:"standingOrdinary"`
	ServingSpot     int    `json:"standingSpot"`
}

// ServeDuties adds the status of the duties to the operators' interface. It must be called before
// Handler.
func (entry *Entry) ServeDuties(status func() steward.Status) {
	entry.duties = status
}

// handleDuties answers with the status of the duties as Duties.
func (entry *Entry) handleDuties(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	writeJSON(writer, newDuties(entry.duties()))
}

func newDuties(status steward.Status) Duties {
	duties := Duties{
		Usage: newDutyHolder(&status.Usage.DutyStatus), Scaling: newDutyHolder(&status.Scaling.DutyStatus),
		ReportedUntil: uint64(status.Usage.ReportedUntil), Whole: status.Usage.Whole, Partial: status.Usage.Partial, Skipped: status.Usage.Skipped,
	}
	for _, report := range status.Usage.Reports {
		duties.Reports = append(duties.Reports, DutyReport{
			Window: uint64(report.Window), Token: report.Token, Requests: report.Requests, Whole: report.Whole, LateMs: report.Late.Milliseconds(),
		})
	}
	for _, decision := range status.Scaling.Decisions {
		order := DutyOrder{
			Service: string(decision.Order.Service), DataCentre: string(decision.Order.DataCentre), Spot: decision.Order.Spot, Count: decision.Order.Count,
			Token: decision.Token, Need: decision.Need, Busy: decision.Busy,
		}
		if decision.Failure != nil {
			order.Failure = decision.Failure.Error()
		}
		duties.Orders = append(duties.Orders, order)
	}
	for _, engines := range status.Scaling.Engines {
		duties.Engines = append(duties.Engines, DutyEngines{
			Service: string(engines.Service), DataCentre: string(engines.DataCentre),
			OrderedOrdinary: engines.Ordered.Ordinary, OrderedSpot: engines.Ordered.Spot,
			ServingOrdinary: engines.Standing.Ordinary, ServingSpot: engines.Standing.Spot,
		})
	}
	return duties
}

func newDutyHolder(status *steward.DutyStatus) DutyHolder {
	return DutyHolder{Holds: status.Holds, Holder: string(status.Holder), Token: status.Token}
}

// Duties requests the status of the duties from all nodes concurrently.
func (client *Client) Duties(ctx context.Context) []Answer[Duties] {
	return callAll[Duties](ctx, client, http.MethodGet, dutiesPath)
}
