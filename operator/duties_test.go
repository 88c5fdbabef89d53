package operator_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/operator"
	"limpetcleat/quarantiner"
	"limpetcleat/scaler"
	"limpetcleat/steward"
)

// TestDutiesAreShown checks the status of the duties: their holders, the counts of usage windows,
// and the orders with their reasons.
func TestDutiesAreShown(t *testing.T) {
	entry := operator.NewEntry(quarantiner.New(), (&journal{}).log)
	entry.ServeDuties(func() steward.Status {
		return steward.Status{
			Usage: steward.UsageStatus{DutyStatus: steward.DutyStatus{Holder: "n2", Token: 7}, ReportedUntil: 90, Whole: 3, Partial: 1},
			Scaling: steward.ScalingStatus{
				DutyStatus: steward.DutyStatus{Holds: true, Holder: "n1", Token: 9},
				Decisions:  []steward.Decision{{Order: steward.Order{Service: "pool", DataCentre: "west", Spot: true, Count: 12}, Token: 9, Need: 40, Busy: 13.5, Failure: errors.New("none are to be had")}},
				Engines:    []steward.EngineStatus{{Service: "pool", DataCentre: "west", Ordered: scaler.Counts{Ordinary: 2, Spot: 12}, Standing: scaler.Counts{Ordinary: 2, Spot: 5}}},
			},
		}
	})
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	answers := operator.NewClient([]string{strings.TrimPrefix(server.URL, "http://")}, "").Duties(context.Background())
	assert.NilError(t, answers[0].Failure())
	assert.DeepEqual(t, answers[0].Value(), operator.Duties{
		Usage: operator.DutyHolder{Holder: "n2", Token: 7}, Scaling: operator.DutyHolder{Holds: true, Holder: "n1", Token: 9},
		ReportedUntil: 90, Whole: 3, Partial: 1,
		Orders:  []operator.DutyOrder{{Service: "pool", DataCentre: "west", Spot: true, Count: 12, Token: 9, Need: 40, Busy: 13.5, Failure: "none are to be had"}},
		Engines: []operator.DutyEngines{{Service: "pool", DataCentre: "west", OrderedOrdinary: 2, OrderedSpot: 12, ServingOrdinary: 2, ServingSpot: 5}},
	})
}
