package controller_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/caller"
	"limpetcleat/standin/controller"
	"limpetcleat/standin/engine"
	"limpetcleat/standin/platform"
	"limpetcleat/standin/service"
	"limpetcleat/storer"
)

// serve starts an HTTP server for a stand-in and returns a controller for it and its address.
func serve(t *testing.T, handler http.Handler) (*controller.Controller, string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := server.Listener.Addr().String()
	return controller.New(address, controller.WithClient(server.Client())), address
}

func TestOrdersTakeEffectAndRecordsAreRead(t *testing.T) {
	ctx := t.Context()
	testEngine := engine.New(engine.WithModels("m"), engine.WithTokenInterval(time.Microsecond, 0))
	defer func() { assert.NilError(t, testEngine.Close()) }()
	engineController, address := serve(t, testEngine.Handler())
	complete := func(attemptID string) int {
		call := caller.Completion("m", "zips", 3, false)
		call.Header = map[string]string{engine.HeaderAttemptID: attemptID}
		return caller.New().Send(ctx, address, call).Status
	}
	assert.Equal(t, complete("a.1"), 200)
	assert.Equal(t, complete("ab.1"), 200)
	records, err := engineController.AttemptsOf(ctx, "a")
	assert.NilError(t, err)
	assert.Assert(t, len(records) == 1 && records[0].AttemptID == "a.1", "%v", records)
	assert.NilError(t, engineController.SetFaults(ctx, json.RawMessage(`{"failAfter":1}`)))
	assert.Equal(t, complete("b.1"), 500)
	assert.NilError(t, engineController.Leave(ctx))
	assert.Equal(t, complete("c.1"), 503)
	assert.ErrorContains(t, engineController.SetFaults(ctx, map[string]int{"none": 1}), "400")

	testService := service.New(service.WithLatency(0))
	defer func() { assert.NilError(t, testService.Close()) }()
	serviceController, address := serve(t, testService.Handler())
	for _, key := range []string{"k", "k", "l"} {
		caller.New().Send(ctx, address, caller.Call{Path: "/x", IdempotencyKey: key})
	}
	assert.NilError(t, serviceController.SetServiceFaults(ctx, map[string]int{"failBefore": 1}))
	assert.Equal(t, caller.New().Send(ctx, address, caller.Call{Path: "/x", IdempotencyKey: "k"}).Status, 503)
	runs, err := serviceController.ServiceRuns(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, len(runs.Runs), 2)

	testPlatform := platform.New(platform.WithListLag(0))
	defer func() { assert.NilError(t, testPlatform.Close()) }()
	platformController, address := serve(t, testPlatform.Handler())
	vm := storer.VM{Name: "entry-1", DataCentre: "west", Address: "127.0.0.1:1", Role: "entry", State: "live"}
	assert.NilError(t, platformController.PutVM(ctx, vm))
	client := storer.New([]string{address}, "")
	defer client.Close()
	listed, err := client.VMs(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, listed.VMs, []storer.VM{vm})
	calls, err := platformController.PlatformCalls(ctx)
	assert.NilError(t, err)
	assert.Equal(t, calls.Reads, int64(1))
	assert.NilError(t, platformController.SetFaults(ctx, map[string]bool{"outage": true}))
	_, err = client.VMs(ctx)
	assert.Assert(t, err != nil)
}
