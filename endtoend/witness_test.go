package endtoend_test

import (
	"encoding/json"
	"net/http"
	"net/url"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/engine"
	"limpetcleat/standin/service"
)

// runs returns how often the service ran a key.
func (system *system) runs(key string) int {
	system.t.Helper()
	var runs service.Runs
	system.witness(system.service, "/_standin/runs?key="+url.QueryEscape(key), &runs)
	return runs.Keys[key]
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
	response, err := http.Get("http://" + upstream.address + path)
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
