package forwarder_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/router"
	"limpetcleat/standin/darkener"
	"limpetcleat/throttler"
)

const (
	// gapTimeout is how long a stream of the rule resume waits for its next event.
	gapTimeout = 300 * time.Millisecond

	firstEvent  = "id: 1\ndata: a\n\n"
	secondEvent = "id: 2\ndata: b\n\n"
)

// pausing returns a handler that streams two events and calls pause between them.
func pausing(pause func()) http.HandlerFunc {
	return func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(signatureHeader, "signed")
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, firstEvent)
		_ = http.NewResponseController(writer).Flush()
		pause()
		_, _ = io.WriteString(writer, secondEvent)
	}
}

// pause returns once a stream that receives nothing has waited for long enough to be sent elsewhere.
func pause() { <-time.After(gapTimeout + gapTimeout/2) }

// checkWhole checks that a stream of two events is received whole.
func (harness *harness) checkWhole() {
	harness.t.Helper()
	_, text, err := harness.call("/resume/", "", unchanged)
	assert.NilError(harness.t, err)
	assert.Equal(harness.t, text, firstEvent+secondEvent)
}

// TestSilentStreamIsNotCutOffByStop guards against a planned stop that ends streams whose upstream pauses:
// they were given up for a send that was not allowed to begin any more.
func TestSilentStreamIsNotCutOffByStop(t *testing.T) {
	var harness *harness
	harness = newHarness(t, pausing(func() {
		harness.forwarder.EndStarts()
		pause()
	}), answer(http.StatusOK, secondEvent))
	harness.checkWhole()
	assert.Equal(t, harness.sends(), 1)
}

// TestSilentStreamsWithoutPermitLeaveTheRetryBudget guards against streams that use the retry budget up
// although they get no permit and are not sent again.
func TestSilentStreamsWithoutPermitLeaveTheRetryBudget(t *testing.T) {
	deny := func(throttler.PermitRequest) throttler.Permit { return throttler.Permit{} }
	harness := newHarness(t, pausing(pause), answer(http.StatusOK, "text"))
	harness.take = deny
	harness.selector.SetLimited(time.Now(), harness.upstreams[1].Start(), true)
	var callers conc.WaitGroup
	for range 20 {
		callers.Go(harness.checkWhole)
	}
	callers.Wait()
	harness.take = nil
	full := newHarness(t, full)
	harness.upstreams[0].Address = full.upstreams[0].Address
	answer, _, err := harness.call("/safe/", "", unchanged)
	assert.NilError(t, err)
	assert.Equal(t, answer.StatusCode, http.StatusOK)
}

// TestSilentStreamIsNotCutOffWithoutConnection guards against streams that are given up for an upstream to
// which no connection can be opened.
func TestSilentStreamIsNotCutOffWithoutConnection(t *testing.T) {
	harness := newHarness(t, pausing(pause))
	harness.add(1, closedAddress(t))
	harness.checkWhole()
}

// TestStreamThatResumesIsNotSentAgain guards against streams that are given up although their upstream has
// gone on while they waited for a permit to go elsewhere.
func TestStreamThatResumesIsNotSentAgain(t *testing.T) {
	resumed := make(chan struct{})
	harness := newHarness(t, pausing(func() { <-resumed }), answer(http.StatusOK, "text"))
	harness.take = func(throttler.PermitRequest) throttler.Permit {
		close(resumed)
		<-time.After(gapTimeout / 3)
		return throttler.Permit{Granted: true}
	}
	harness.selector.SetLimited(time.Now(), harness.upstreams[1].Start(), true)
	harness.checkWhole()
	assert.Equal(t, harness.sends(), 1)
}

// TestStreamsLeaveADarkPath lets the path to an upstream carry nothing any more after the first event of a
// stream.
//
// It guards against streams that wait for the kernel to end a connection that an exchange may keep for long,
// since their rule has no objectives or long ones.
func TestStreamsLeaveADarkPath(t *testing.T) {
	t.Parallel()
	for _, objective := range []time.Duration{0, time.Minute} {
		ended := make(chan struct{})
		harness := newHarness(t, func(writer http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(writer).Hijack()
			assert.Check(t, err)
			defer conn.Close()
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: a1\r\n%s: s\r\nContent-Length: 100\r\n\r\n%s", attemptHeader, signatureHeader, firstEvent)
			assert.Check(t, err)
			assert.Check(t, darkener.Darken(conn.(*net.TCPConn)))
			<-ended
		}, events(false, secondEvent))
		harness.configure(func(definition *router.Definition) {
			for index := range definition.Rules {
				rule := &definition.Rules[index]
				rule.Objective, rule.GapObjective, rule.Timeout = objective, objective, 7*time.Second // Ends before the kernel's limit.
			}
		})
		harness.checkWhole()
		close(ended)
	}
}
