package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/connector"
	"limpetcleat/dialer"
)

// TestHeadsOfSkippedResponsesAreBoundedHoweverTheyArrive guards against an exchange in which an upstream makes a node read
// surplus responses, and log each, without end: heads that arrive together with the body before them are not counted.
func TestHeadsOfSkippedResponsesAreBoundedHoweverTheyArrive(t *testing.T) {
	const buffer = 4 << 10
	head := func(size int) string {
		const begin, end = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nX: ", "\r\n\r\n"
		return begin + strings.Repeat("x", size-len(begin)-len(end)) + end
	}
	near, far := net.Pipe() // Each write is one read.
	go func() {
		defer far.Close()
		if _, err := http.ReadRequest(bufio.NewReader(far)); err != nil {
			return
		}
		_, err := io.WriteString(far, head(buffer))
		for range 1000 {
			if err == nil {
				_, err = io.WriteString(far, "b"+head(buffer-1))
			}
		}
	}()
	client := connector.New(connector.WithDial(func(context.Context, string) (net.Conn, error) { return near, nil }))
	defer client.Close()
	skipped, outgoing := 0, newOutgoing()
	outgoing.Skipped = func(int, http.Header) { skipped++ }
	_, err := client.Exchange(t.Context(), t.Context(), "upstream", outgoing)
	assert.Check(t, err != nil)
	assert.Check(t, skipped <= dialer.MaxHeadBytes/buffer, "skipped %d responses", skipped)
}

// TestBodiesOfSkippedResponsesAreNotCountedAsHeads guards against a request that fails since surplus responses with bodies of
// far less than the limit came before its own response.
func TestBodiesOfSkippedResponsesAreNotCountedAsHeads(t *testing.T) {
	const copies, size = 20, 8 << 10
	address, _ := startUpstream(t, strings.Repeat(plainAnswer("2", strings.Repeat("b", size)), copies)+plainAnswer("1", "own"))
	client := connector.New()
	defer client.Close()
	answer, err := client.Exchange(t.Context(), t.Context(), address, newOutgoing())
	assert.NilError(t, err)
	answer.Close()
}
