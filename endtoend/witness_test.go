package endtoend_test

import (
	"context"
	"strings"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/controller"
	"limpetcleat/standin/engine"
	"limpetcleat/standin/service"
	"limpetcleat/storer"
)

// runs returns how often the service ran a key, before and after it was killed.
func (system *system) runs(key string) int {
	system.t.Helper()
	return system.witnessed[key] + system.record(key).Keys[key]
}

// record returns what the service recorded of a key since its start.
func (system *system) record(key string) service.Runs {
	system.t.Helper()
	runs, err := system.service.control().ServiceRuns(context.Background(), key)
	assert.NilError(system.t, err)
	return runs
}

// ranFor tells whether the service ran one of the request's attempts.
func (system *system) ranFor(key, request string) bool {
	system.t.Helper()
	for _, run := range system.record(key).Runs {
		if strings.HasPrefix(run.AttemptID, request) {
			return true
		}
	}
	return false
}

// platformWrites returns how many writes the platform has got.
func (system *system) platformWrites() int64 {
	system.t.Helper()
	calls, err := controller.New(system.platformAddress).PlatformCalls(context.Background())
	assert.NilError(system.t, err)
	return calls.Writes
}

// attempts returns what an engine recorded of its attempts.
func (system *system) attempts(upstream *upstream) engine.Runs {
	system.t.Helper()
	runs, err := upstream.control().EngineRuns(context.Background())
	assert.NilError(system.t, err)
	return runs
}

// control returns what controls a stand-in, past its relay.
func (upstream *upstream) control() *controller.Controller { return controller.New(upstream.address) }

// serviceFaults sets faults of the service.
func (system *system) serviceFaults(faults any) {
	system.t.Helper()
	assert.NilError(system.t, system.service.control().ServiceFaults(context.Background(), faults))
}

// platformFaults sets faults of the platform.
func (system *system) platformFaults(faults any) {
	system.t.Helper()
	assert.NilError(system.t, controller.New(system.platformAddress).Faults(context.Background(), faults))
}

// putVM sets a line in the platform's list of VMs.
func (system *system) putVM(vm storer.VM) {
	system.t.Helper()
	assert.NilError(system.t, controller.New(system.platformAddress).PutVM(context.Background(), vm))
}
