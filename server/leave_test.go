package server_test

import (
	"context"
	"net/http"

	"gotest.tools/v3/assert"

	"limpetcleat/standin/engine"
)

// leave sends a request, goes away once an engine runs it, and returns its id.
func (system *system) leave(request *http.Request, stream bool) string {
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
	for _, address := range system.engines {
		runs, err := at(address).EngineRuns(context.Background())
		assert.NilError(system.t, err)
		for _, record := range runs.Attempts {
			attempts[record.AttemptID] = record
		}
	}
	return attempts
}

// await returns the record of a request's only attempt once the condition
// holds; the test's own timeout is the only bound.
func (system *system) await(id string, holds func(engine.Record) bool) engine.Record {
	system.t.Helper()
	for {
		for _, record := range system.records(id) {
			if holds(record) {
				return record
			}
		}
	}
}
