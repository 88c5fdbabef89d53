package tester

import (
	"context"
	"strings"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/controller"
	"limpetcleat/standin/engine"
	"limpetcleat/standin/service"
	"limpetcleat/storer"
)

// RunCount returns the number of times the service ran a key, including runs before it was killed.
func (system *System) RunCount(key string) int {
	system.T.Helper()
	return system.RunsBeforeKill[key] + system.RunsSinceStart(key).Keys[key]
}

// RunsSinceStart returns the service's record of a key since its start, or of all keys if the key
// is empty.
func (system *System) RunsSinceStart(key string) service.Runs {
	system.T.Helper()
	runs, err := system.Service.Controller().ServiceRuns(context.Background(), key)
	assert.NilError(system.T, err)
	return runs
}

// RanAttemptOf reports whether the service ran one of the request's attempts.
func (system *System) RanAttemptOf(key, request string) bool {
	system.T.Helper()
	for _, run := range system.RunsSinceStart(key).Runs {
		if strings.HasPrefix(run.AttemptID, request) {
			return true
		}
	}
	return false
}

// PlatformWrites returns the number of writes that the platform has received.
func (system *System) PlatformWrites() int64 {
	system.T.Helper()
	calls, err := controller.New(system.platformAddress).PlatformCalls(context.Background())
	assert.NilError(system.T, err)
	return calls.Writes
}

// EngineRuns returns an engine's counts of its attempts.
func (system *System) EngineRuns(upstream *Upstream) engine.Runs {
	system.T.Helper()
	runs, err := upstream.Controller().EngineRuns(context.Background())
	assert.NilError(system.T, err)
	return runs
}

// Controller returns a controller of the stand-in, which bypasses its relay.
func (upstream *Upstream) Controller() *controller.Controller {
	return controller.New(upstream.address)
}

// SetServiceFaults sets faults of the service.
func (system *System) SetServiceFaults(faults any) {
	system.T.Helper()
	assert.NilError(system.T, system.Service.Controller().SetServiceFaults(context.Background(), faults))
}

// SetPlatformFaults sets faults of the platform.
func (system *System) SetPlatformFaults(faults any) {
	system.T.Helper()
	assert.NilError(system.T, controller.New(system.platformAddress).SetFaults(context.Background(), faults))
}

// PutVM sets an entry in the platform's list of VMs.
func (system *System) PutVM(vm storer.VM) {
	system.T.Helper()
	assert.NilError(system.T, controller.New(system.platformAddress).PutVM(context.Background(), vm))
}
