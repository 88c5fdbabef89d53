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

// runCount returns the number of times the service ran a key, including runs before it was killed.
func (system *system) runCount(key string) int {
	system.t.Helper()
	return system.runsBeforeKill[key] + system.runsSinceStart(key).Keys[key]
}

// runsSinceStart returns the service's record of a key since its start, or of all keys if the key
// is empty.
func (system *system) runsSinceStart(key string) service.Runs {
	system.t.Helper()
	runs, err := system.service.controller().ServiceRuns(context.Background(), key)
	assert.NilError(system.t, err)
	return runs
}

// ranAttemptOf reports whether the service ran one of the request's attempts.
func (system *system) ranAttemptOf(key, request string) bool {
	system.t.Helper()
	for _, run := range system.runsSinceStart(key).Runs {
		if strings.HasPrefix(run.AttemptID, request) {
			return true
		}
	}
	return false
}

// platformWrites returns the number of writes that the platform has received.
func (system *system) platformWrites() int64 {
	system.t.Helper()
	calls, err := controller.New(system.platformAddress).PlatformCalls(context.Background())
	assert.NilError(system.t, err)
	return calls.Writes
}

// engineRuns returns an engine's counts of its attempts.
func (system *system) engineRuns(upstream *upstream) engine.Runs {
	system.t.Helper()
	runs, err := upstream.controller().EngineRuns(context.Background())
	assert.NilError(system.t, err)
	return runs
}

// controller returns a controller of the stand-in, which bypasses its relay.
func (upstream *upstream) controller() *controller.Controller {
	return controller.New(upstream.address)
}

// setServiceFaults sets faults of the service.
func (system *system) setServiceFaults(faults any) {
	system.t.Helper()
	assert.NilError(system.t, system.service.controller().SetServiceFaults(context.Background(), faults))
}

// setPlatformFaults sets faults of the platform.
func (system *system) setPlatformFaults(faults any) {
	system.t.Helper()
	assert.NilError(system.t, controller.New(system.platformAddress).SetFaults(context.Background(), faults))
}

// putVM sets an entry in the platform's list of VMs.
func (system *system) putVM(vm storer.VM) {
	system.t.Helper()
	assert.NilError(system.t, controller.New(system.platformAddress).PutVM(context.Background(), vm))
}
