package server_test

import (
	"context"
	"net/http"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/engine"
)

// sendAndDisconnect sends a request, disconnects once an engine has generated some tokens, and
// returns the request's id.
func (system *system) sendAndDisconnect(request *http.Request, stream bool) string {
	system.t.Helper()
	before := system.attempts()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		response, err := http.DefaultClient.Do(request.WithContext(ctx))
		if err != nil {
			return
		}
		defer func() { _ = response.Body.Close() }()
		if stream {
			_, _ = response.Body.Read(make([]byte, 64))
		}
		<-ctx.Done()
	}()
	id := ""
	for id == "" {
		for attempt, record := range system.attempts() {
			if _, known := before[attempt]; !known && record.Tokens > 2 {
				id = attempt
			}
		}
	}
	cancel()
	<-done
	assert.Assert(system.t, len(id) > len(".1"))
	return id[:len(id)-len(".1")]
}

func (system *system) attempts() map[string]engine.Record {
	attempts := make(map[string]engine.Record)
	for _, address := range system.engineAddresses {
		runs, err := controllerOf(address).EngineRuns(context.Background())
		assert.NilError(system.t, err)
		for _, record := range runs.Attempts {
			attempts[record.AttemptID] = record
		}
	}
	return attempts
}

// awaitRecord polls until a record of the request's attempts fulfils the condition, and returns the
// record. Only the test's own timeout bounds the wait.
func (system *system) awaitRecord(id string, holds func(engine.Record) bool) engine.Record {
	system.t.Helper()
	for {
		for _, record := range system.records(id) {
			if holds(record) {
				return record
			}
		}
	}
}
