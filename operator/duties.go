package operator

import (
	"context"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"limpetcleat/steward"
)

// dutiesPath is where the duties that are one node's at a time are told.
const dutiesPath = "/duties"

// Duties is what a node knows of the duties, as operators see it.
type Duties struct {
	// Usage and Scaling tell who held each last.
	Usage   DutyHolder `json:"usage"`
	Scaling DutyHolder `json:"scaling"`
	// ToldUntil is the last window of usage that is known to be reported; Whole, Partial and
	// Skipped count those of this node.
	ToldUntil uint64 `json:"toldUntil"`
	Whole     int    `json:"whole"`
	Partial   int    `json:"partial"`
	Skipped   int    `json:"skipped"`
	// Reports and Orders are the last acts of this node, the newest last.
	Reports []DutyReport `json:"reports"`
	Orders  []DutyOrder  `json:"orders"`
	// Engines are what this node has ordered, if it holds that duty.
	Engines []DutyEngines `json:"engines"`
}

// DutyHolder tells who holds a duty.
type DutyHolder struct {
	Holds  bool   `json:"holds"`
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
}

// DutyReport is one window of usage that was told.
type DutyReport struct {
	Window   uint64 `json:"window"`
	Token    uint64 `json:"token"`
	Requests uint64 `json:"requests"`
	Whole    bool   `json:"whole"`
	LateMs   int64  `json:"lateMs"`
}

// DutyOrder is one order of engines that was placed, and what it was made from.
type DutyOrder struct {
	Service    string  `json:"service"`
	DataCentre string  `json:"dataCentre"`
	Spot       bool    `json:"spot"`
	Count      int     `json:"count"`
	Token      uint64  `json:"token"`
	Need       float64 `json:"need"`
	Busy       float64 `json:"busy"`
	Failure    string  `json:"failure,omitempty"`
}

// DutyEngines is what is ordered of a service in a data centre, and what takes work.
type DutyEngines struct {
	Service          string `json:"service"`
	DataCentre       string `json:"dataCentre"`
	OrderedOrdinary  int    `json:"orderedOrdinary"`
	OrderedSpot      int    `json:"orderedSpot"`
	StandingOrdinary int    `json:"standingOrdinary"`
	StandingSpot     int    `json:"standingSpot"`
}

// ServeDuties adds what a node knows of the duties to its operators' interface.
func (entry *Entry) ServeDuties(status func() steward.Status) {
	entry.duties = status
}

func (entry *Entry) showDuties(writer http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	answer(writer, dutiesOf(entry.duties()))
}

func dutiesOf(status steward.Status) Duties {
	duties := Duties{
		Usage: holderOf(&status.Usage.DutyStatus), Scaling: holderOf(&status.Scaling.DutyStatus),
		ToldUntil: uint64(status.Usage.ReportedUntil), Whole: status.Usage.Whole, Partial: status.Usage.Partial, Skipped: status.Usage.Skipped,
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
			StandingOrdinary: engines.Standing.Ordinary, StandingSpot: engines.Standing.Spot,
		})
	}
	return duties
}

func holderOf(status *steward.DutyStatus) DutyHolder {
	return DutyHolder{Holds: status.Holds, Holder: string(status.Holder), Token: status.Token}
}

// Duties asks every node, at once, what it knows of the duties.
func (client *Client) Duties(ctx context.Context) []Answer[Duties] {
	return gather[Duties](ctx, client, http.MethodGet, dutiesPath)
}
