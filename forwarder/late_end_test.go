package forwarder_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/router"
)

// TestStreamThatEndsLateIsComplete guards against streams whose end is not written, since the time to write
// their last event had passed by then.
func TestStreamThatEndsLateIsComplete(t *testing.T) {
	t.Parallel()
	const pause = 5200 * time.Millisecond // Exceeds the time that a caller may take to read an event.
	harness := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		events(false, firstEvent, secondEvent)(writer, request)
		<-time.After(pause)
	})
	harness.configure(func(definition *router.Definition) {
		for index := range definition.Rules {
			definition.Rules[index].Timeout = time.Minute
		}
	})
	_, text, err := harness.call("/stream/", "", unchanged)
	assert.NilError(t, err)
	assert.Equal(t, text, firstEvent+secondEvent)
}
