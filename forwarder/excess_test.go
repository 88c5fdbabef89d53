package forwarder_test

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/forwarder"
	"limpetcleat/rationer"
	"limpetcleat/router"
)

// floodHead answers with bytes without a line end until the connection is closed.
func floodHead(t *testing.T) http.HandlerFunc {
	t.Helper()
	return func(writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		assert.Check(t, err)
		defer conn.Close()
		part := bytes.Repeat([]byte("x"), 64<<10)
		for {
			if _, err := conn.Write(part); err != nil {
				return
			}
		}
	}
}

// TestHeadWithoutEndIsABrokenAnswer guards against callers that wait for the time limit while the head of an answer
// does not end: the request goes on elsewhere where it may, and fails at once where it may not.
func TestHeadWithoutEndIsABrokenAnswer(t *testing.T) {
	cases := []struct {
		path   string
		status int
		sends  int
	}{
		{"/safe/x", http.StatusOK, 2},
		{"/once/x", http.StatusBadGateway, 1},
	}
	for _, test := range cases {
		t.Run(test.path, func(t *testing.T) {
			harness := newHarness(t, floodHead(t), answer(200, "text"))
			harness.configure(func(definition *router.Definition) {
				for index := range definition.Rules {
					definition.Rules[index].Timeout = time.Hour // The size ends the answer, not the time.
				}
			})
			got, _, err := harness.call(test.path, "", nil)
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, test.status)
			assert.Equal(t, harness.sends(), test.sends)
		})
	}
}

// TestIncompleteEventsShareTheMemory guards against streams whose incomplete events each stay below their limit and
// together exceed the memory. Streams of usual events need none of it.
func TestIncompleteEventsShareTheMemory(t *testing.T) {
	const streams, limit = 8, 1 << 20
	memory := rationer.New(limit)
	release := make(chan struct{})
	harness := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set(signatureHeader, "signed")
		_, _ = io.WriteString(writer, "data: begun\n\n")
		if request.Header.Get("Long") == "" {
			return
		}
		for range 75 {
			_, _ = writer.Write(bytes.Repeat([]byte("x"), streamPart))
			_ = http.NewResponseController(writer).Flush()
		}
		select {
		case <-release:
		case <-request.Context().Done():
		}
	})
	forwarder.WithMemory(rationer.New(1<<20), memory)(harness.forwarder)
	ended := make(chan struct{}, streams)
	var group conc.WaitGroup
	for range streams {
		group.Go(func() {
			_, _, _ = harness.call("/stream/x", "", func(request *http.Request) { request.Header.Set("Long", "1") })
			ended <- struct{}{}
		})
	}
	// 300 KB take three times as much: at most one of the streams finds the memory.
	for range streams - 1 {
		<-ended
		assert.Check(t, memory.Held() <= limit, "%d bytes", memory.Held())
	}
	got, text, err := harness.call("/stream/x", "", nil)
	assert.NilError(t, err)
	assert.Equal(t, got.StatusCode, http.StatusOK)
	assert.Equal(t, text, "data: begun\n\n")
	close(release)
	group.Wait()
	assert.Equal(t, memory.Held(), int64(0))
}

// streamPart is the size in bytes of what an upstream flushes at a time.
const streamPart = 4 << 10

// TestStatusesOutsideHTTPAreBrokenAnswers guards against a status that panics the handler, and against one that no
// caller knows.
func TestStatusesOutsideHTTPAreBrokenAnswers(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			harness := newHarness(t, func(writer http.ResponseWriter, request *http.Request) {
				conn, _, err := http.NewResponseController(writer).Hijack()
				assert.Check(t, err)
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 "+status+" Odd\r\n"+attemptHeader+": "+request.Header.Get(attemptHeader)+"\r\nContent-Length: 0\r\n\r\n")
			}, answer(200, "text"))
			got, _, err := harness.call("/once/x", "", nil)
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, http.StatusBadGateway)
			got, text, err := harness.call("/safe/x", "", nil)
			assert.NilError(t, err)
			assert.Equal(t, got.StatusCode, http.StatusOK)
			assert.Equal(t, text, "text")
		})
	}
}
