package store_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/standin/store"
)

// TestWritesAreExecutedByTheirFates checks that a write may be executed after a later one, twice, or without an
// answer.
func TestWritesAreExecutedByTheirFates(t *testing.T) {
	standin := store.New()
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(server.Close)
	put := func(value string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPut, server.URL+"/objects/kind/name", strings.NewReader(`{"metadata":{"name":"name"},"spec":`+value+`}`))
		assert.NilError(t, err)
		response, err := server.Client().Do(request)
		if err != nil {
			return err
		}
		return response.Body.Close()
	}
	holds := func(revision uint64, value string) poll.Check {
		return func(poll.LogT) poll.Result {
			if object, ok := standin.Object("kind", "name"); ok && object.Metadata.Revision == revision && string(object.Spec) == value {
				return poll.Success()
			}
			return poll.Continue("not executed")
		}
	}
	assert.NilError(t, standin.Put("kind", "name", 0))
	standin.SetWriteFates(func(_, _, _ string) store.Fate {
		return store.Fate{Executions: []time.Duration{100 * time.Millisecond, 200 * time.Millisecond}}
	})
	assert.ErrorIs(t, put("1"), context.DeadlineExceeded)
	standin.SetWriteFates(nil)
	assert.NilError(t, put("2"))
	poll.WaitOn(t, holds(3, "1"), poll.WithDelay(time.Millisecond))
	poll.WaitOn(t, holds(4, "1"), poll.WithDelay(time.Millisecond))

	standin.SetWriteFates(func(_, _, _ string) store.Fate { return store.Fate{} })
	assert.ErrorIs(t, put("3"), context.DeadlineExceeded)
	standin.SetWriteFates(nil)
	assert.Assert(t, holds(4, "1")(t).Error() == nil)
}
