package forwarder_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/router"
)

// TestEmptyContinuationIsNotTheEnd guards against streams that look complete although the upstream that was to
// continue them sent no event.
func TestEmptyContinuationIsNotTheEnd(t *testing.T) {
	harness := newHarness(t, events(true, firstEvent), events(false))
	_, text, err := harness.call("/resume/", "", unchanged)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	assert.Equal(t, text, firstEvent)
}

// TestEmptyContinuationIsContinuedElsewhere guards against streams that are given up for an empty continuation.
func TestEmptyContinuationIsContinuedElsewhere(t *testing.T) {
	harness := newHarness(t, events(true, firstEvent), events(false), events(false, secondEvent))
	harness.configure(func(definition *router.Definition) {
		for index := range definition.Rules {
			definition.Rules[index].MaxAttempts = 3
		}
	})
	answer, text, err := harness.call("/resume/", "", unchanged)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	assert.Equal(t, text, firstEvent+secondEvent)
}
