package endtoend_test

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/engine"
	"limpetcleat/standin/platform"
	"limpetcleat/standin/service"
)

// runs returns how often the service ran a key, before and after it was killed.
func (system *system) runs(key string) int {
	system.t.Helper()
	return system.witnessed[key] + system.record(key).Keys[key]
}

// record returns what the service recorded of a key since its start.
func (system *system) record(key string) service.Runs {
	system.t.Helper()
	var runs service.Runs
	system.witness(system.service, "/_standin/runs?key="+url.QueryEscape(key), &runs)
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
	var calls platform.Calls
	system.read("http://"+system.platformAddress+"/calls", &calls)
	return calls.Writes
}

// attempts returns what an engine recorded of its attempts.
func (system *system) attempts(upstream *upstream) engine.Runs {
	system.t.Helper()
	var runs engine.Runs
	system.witness(upstream, "/runs", &runs)
	return runs
}

// witness reads a stand-in's own record, past its relay.
func (system *system) witness(upstream *upstream, path string, record any) {
	system.t.Helper()
	system.read("http://"+upstream.address+path, record)
}

func (system *system) read(target string, record any) {
	system.t.Helper()
	response, err := quickClient().Get(target)
	assert.NilError(system.t, err)
	defer func() { _ = response.Body.Close() }()
	assert.NilError(system.t, json.NewDecoder(response.Body).Decode(record))
}

// serviceFaults sets faults of the service.
func (system *system) serviceFaults(faults any) {
	system.t.Helper()
	system.control(http.MethodPost, "http://"+system.service.address+"/_standin/faults", faults)
}

// engineFaults sets faults of an engine.
func (system *system) engineFaults(upstream *upstream, faults any) {
	system.t.Helper()
	system.control(http.MethodPost, "http://"+upstream.address+"/faults", faults)
}
