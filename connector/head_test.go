package connector_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"

	"limpetcleat/connector"
	"limpetcleat/definer"
	"limpetcleat/rationer"
)

// maxSent is what an upstream sends of a head at most, and maxAccepted what a connection may take of it: the limit of
// heads, and what the kernels of both ends hold.
const (
	maxSent     = 64 << 20
	maxAccepted = 16 << 20
	// headTimeout ends an exchange that reads on.
	headTimeout = 20 * time.Second
)

// startFlooding starts an upstream that answers each request with a head and then the part again and again, size bytes
// in all. It returns its address and the largest number of bytes that a connection took.
func startFlooding(t *testing.T, head, part string, size int) (string, *atomic.Int64) {
	t.Helper()
	var largest atomic.Int64
	part = strings.Repeat(part, (64<<10)/len(part))
	serve := func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		written, err := io.WriteString(conn, head)
		for err == nil && written < size {
			var count int
			count, err = io.WriteString(conn, part[:min(len(part), size-written)])
			written += count
		}
		largest.Store(max(largest.Load(), int64(written)))
		_, _ = io.Copy(io.Discard, conn)
	}
	return serveEach(t, serve), &largest
}

// TestHeadsWithoutEndAreNotReadOn guards against heads of answers that are read until the time limit: bytes without a
// line end took nodes over their memory.
func TestHeadsWithoutEndAreNotReadOn(t *testing.T) {
	long := strings.Repeat("x", 8<<10)
	cases := []struct {
		name       string
		head, part string
		kind       connector.Kind
	}{
		{"status line", "", "x", connector.TooLarge},
		{"header line", "HTTP/1.1 200 OK\r\nA: ", "x", connector.TooLarge},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n", connector.TooLarge},
		{"interim answers", "", "HTTP/1.1 100 Continue\r\nA: " + long + "\r\n\r\n", connector.Mismatched},
		{"header of an answer to another", "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nA: ", "x", connector.TooLarge},
		{"body of an answer to another", "HTTP/1.1 200 OK\r\nId: 2\r\n\r\n", "x", connector.Mismatched},
	}
	paths := map[string][]connector.Option{
		"direct":  nil,
		"relayed": {connector.WithDial(refuse), connector.WithRelay(throughPeer{})},
	}
	for path, options := range paths {
		for _, test := range cases {
			t.Run(path+"/"+test.name, func(t *testing.T) {
				address, largest := startFlooding(t, test.head, test.part, maxSent)
				memory := rationer.New(4 << 20)
				ctx, cancel := context.WithTimeout(context.Background(), headTimeout)
				defer cancel()
				sut := connector.New(append(options, connector.WithMemory(memory))...)
				defer sut.Close()
				_, err := sut.Exchange(ctx, ctx, address, newOutgoing())
				assert.Equal(t, errorKind(t, err), test.kind, "%v", err)
				assert.Assert(t, largest.Load() < maxAccepted, "%d bytes were taken", largest.Load())
				assert.Equal(t, memory.Held(), int64(0))
			})
		}
	}
}

// refuse is a direct path on which no connection is made.
func refuse(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }

// throughPeer connects through a peer that passes everything on.
type throughPeer struct{}

func (throughPeer) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	return relayedConn{conn}, err
}

// relayedConn is a connection that a peer relays.
type relayedConn struct{ net.Conn }

func (relayedConn) Peer() definer.VM { return "peer" }
func (relayedConn) Reusable() bool   { return true }

// TestLinesOfHeadsTakeMemory guards against heads of many short fields, which take many times their bytes. Bodies with
// many lines need no memory.
func TestLinesOfHeadsTakeMemory(t *testing.T) {
	const limit = 512 << 10
	lines := func(form string) string {
		var text strings.Builder
		for number := range 4000 {
			fmt.Fprintf(&text, form, number)
		}
		return text.String()
	}
	body := lines("%x\n")
	cases := map[string]struct {
		answer    string
		exhausted bool
	}{
		"different names":       {"HTTP/1.1 200 OK\r\nId: 1\r\n" + lines("%x:\r\n") + "\r\n", true},
		"one name":              {"HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n", true},
		"an interim answer":     {"HTTP/1.1 100 Continue\r\n" + lines("%x:\r\n") + "\r\n" + plainAnswer("1", "text"), true},
		"as many lines as free": {"HTTP/1.1 200 OK\r\nId: 1\r\n" + strings.Repeat("a:\r\n", 100) + "Content-Length: 0\r\n\r\n", false},
		"a body of lines":       {plainAnswer("1", body), false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			address, _ := startUpstream(t, test.answer)
			memory := rationer.New(limit)
			sut := connector.New(connector.WithMemory(memory))
			defer sut.Close()
			answer, err := sut.Exchange(context.Background(), context.Background(), address, newOutgoing())
			var shortage *rationer.Error
			assert.Equal(t, errors.As(err, &shortage) && shortage.Kind() == rationer.Exhausted, test.exhausted, "%v", err)
			if !test.exhausted {
				assert.Equal(t, memory.Held(), int64(0))
				answer.Close()
			}
		})
	}
}

// TestHeadsOfAllConnectionsShareTheMemory guards against heads that each stay below their limit and together exceed
// the memory. Heads of the usual size need none of it.
func TestHeadsOfAllConnectionsShareTheMemory(t *testing.T) {
	const exchanges, limit = 32, 512 << 10
	address, _ := startFlooding(t, "HTTP/1.1 200 OK\r\nA: ", "x", 60<<10)
	usual, _ := startUpstream(t, plainAnswer("1", "text"))
	memory := rationer.New(limit)
	sut := connector.New(connector.WithMemory(memory))
	ctx, cancel := context.WithCancel(context.Background())
	var exhausted, open atomic.Int64
	var group conc.WaitGroup
	for range exchanges {
		group.Go(func() {
			_, err := sut.Exchange(ctx, ctx, address, newOutgoing())
			var shortage *rationer.Error
			if errors.As(err, &shortage) && shortage.Kind() == rationer.Exhausted {
				exhausted.Add(1)
			}
			if open.Add(1) == exchanges/2 {
				// Some of the others still wait for the rest of their heads.
				assert.Check(t, memory.Held() > 0 && memory.Held() <= limit, "%d bytes", memory.Held())
				exchange(t, sut, usual)
				cancel()
			}
		})
	}
	group.Wait()
	cancel()
	assert.Assert(t, exhausted.Load() >= exchanges/2, "%d exchanges found no memory", exhausted.Load())
	assert.Equal(t, memory.Held(), int64(0))
}
