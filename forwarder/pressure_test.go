package forwarder_test

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/forwarder"
	"limpetcleat/rationer"
	"limpetcleat/router"
)

// unreadCall opens a connection, sends a request on it and reads nothing.
func (harness *harness) unreadCall(path string) net.Conn {
	harness.t.Helper()
	connection, err := net.Dial("tcp", harness.address)
	assert.NilError(harness.t, err)
	harness.t.Cleanup(func() { _ = connection.Close() })
	assert.NilError(harness.t, connection.(*net.TCPConn).SetReadBuffer(4<<10))
	_, err = fmt.Fprintf(connection, "GET %s HTTP/1.1\r\nHost: h.example\r\n%s: slow\r\nAuthorization: Bearer key\r\n\r\n", path, attemptHeader)
	assert.NilError(harness.t, err)
	return connection
}

// TestCallerThatDoesNotReadIsEnded checks that the stream of a caller that reads nothing is ended,
// which frees its upstream, while a hundred others get theirs on time.
func TestCallerThatDoesNotReadIsEnded(t *testing.T) {
	released := make(chan struct{})
	endless := func(writer http.ResponseWriter, request *http.Request) {
		defer close(released)
		event := []byte("id: 1\ndata: " + strings.Repeat("x", 64<<10) + "\n\n")
		writer.Header().Set(signatureHeader, "signed")
		writer.Header().Set("Content-Type", "text/event-stream")
		for request.Context().Err() == nil {
			if _, err := writer.Write(event); err != nil {
				return
			}
		}
	}
	good := events(false, "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n")
	harness := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get(attemptHeader) == "slow" {
			endless(writer, request)
			return
		}
		good(writer, request)
	})
	harness.configure(func(definition *router.Definition) {
		for index := range definition.Rules {
			definition.Rules[index].Timeout = time.Minute
		}
	})
	harness.unreadCall("/stream/x")
	var callers conc.WaitGroup
	for range 100 {
		callers.Go(func() {
			got, text, err := harness.call("/stream/x", "", nil)
			assert.Check(t, err == nil && got.StatusCode == http.StatusOK && strings.Contains(text, "data: b"), "%v", err)
		})
	}
	callers.Wait()
	select {
	case <-released:
	case <-time.After(20 * time.Second):
		t.Fatal("the upstream still writes the stream that nobody reads")
	}
	assert.Assert(t, harness.hasRecord(func(record forwarder.Record) bool {
		return record.Reason == forwarder.Stalled && record.Status == 0
	}))
}

// hasRecord waits until a finished request matches.
func (harness *harness) hasRecord(matches func(record forwarder.Record) bool) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		harness.mutex.Lock()
		for _, record := range harness.records {
			if matches(record) {
				harness.mutex.Unlock()
				return true
			}
		}
		harness.mutex.Unlock()
	}
	return false
}

// TestBodiesWaitForMemory checks that request bodies which arrive together wait for each other
// within the memory for them, that one which waits for too long is refused as not run, and that
// all memory is free in the end.
func TestBodiesWaitForMemory(t *testing.T) {
	const bodySize, memory = 60, 100
	proceed := make(chan struct{})
	harness := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get("Hold") != "" {
			<-proceed
		}
		answer(200, "text")(writer, request)
	})
	answerMemory := rationer.New(forwarder.MaxAnswerBytes)
	bodyMemory := rationer.New(memory)
	forwarder.WithMemory(bodyMemory, answerMemory)(harness.forwarder)
	body := strings.Repeat("x", bodySize)
	var holder conc.WaitGroup
	holder.Go(func() {
		got, _, err := harness.call("/once/x", body, func(request *http.Request) { request.Header.Set("Hold", "1") })
		assert.Check(t, err == nil && got.StatusCode == http.StatusOK)
	})
	for harness.sends() == 0 {
		time.Sleep(time.Millisecond)
	}
	for _, change := range []func(request *http.Request){nil, func(request *http.Request) { request.ContentLength = -1 }} {
		got, _, err := harness.call("/once/x", body, change)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, got.Header.Get("Retry-After") != "")
	}
	got, _, err := harness.call("/once/x", strings.Repeat("x", memory-bodySize), nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusOK)
	close(proceed)
	holder.Wait()
	got, _, err = harness.call("/once/x", body, nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Assert(t, harness.hasRecord(func(record forwarder.Record) bool {
		return record.Reason == forwarder.Overloaded && !record.MayHaveRun
	}))
	bodies, answers := bodyMemory.Held(), answerMemory.Held()
	assert.Assert(t, bodies == 0 && answers == 0, "%d and %d bytes are held", bodies, answers)
}

// TestAnswersWithoutALengthAreBounded guards against an answer of unknown length that is read on
// after it has grown larger than one answer may be: it is refused and all of its memory is free.
func TestAnswersWithoutALengthAreBounded(t *testing.T) {
	const maxPieces = 64 // Four times the size of the largest answer.
	piece := bytes.Repeat([]byte("x"), 1<<20)
	var written atomic.Int32
	harness := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(signatureHeader, "signed")
		for request.Context().Err() == nil && written.Load() < maxPieces {
			if _, err := writer.Write(piece); err != nil {
				return
			}
			written.Add(1)
		}
	})
	answerMemory := rationer.New(2 * forwarder.MaxAnswerBytes)
	forwarder.WithMemory(rationer.New(1), answerMemory)(harness.forwarder)
	harness.configure(func(definition *router.Definition) {
		for index := range definition.Rules {
			definition.Rules[index].Timeout = time.Hour // The size ends the answer, not the time.
		}
	})
	got, _, err := harness.call("/once/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusBadGateway)
	assert.Assert(t, written.Load() < maxPieces)
	assert.Equal(t, answerMemory.Held(), int64(0))
}
