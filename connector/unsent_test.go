package connector

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failingConn is a connection of which the kernel accepts some bytes before each write fails.
type failingConn struct {
	net.Conn
	accepted int
}

// Write accepts some of the bytes and fails.
func (conn *failingConn) Write(data []byte) (int, error) {
	return min(conn.accepted, len(data)), net.ErrClosed
}

// TestExchangeTellsUnsent checks that a failure before the first byte differs from one after it:
// only the former proves that the request has not run.
func TestExchangeTellsUnsent(t *testing.T) {
	ended, end := context.WithCancel(context.Background())
	end()
	cases := []struct {
		name       string
		ctx, start context.Context
		accepted   int
		kind       Kind
	}{
		{"the write fails at once", context.Background(), context.Background(), 0, Unsent},
		{"the write fails after a byte", context.Background(), context.Background(), 1, Unanswered},
		{"the context has ended", ended, ended, 1, Unsent},
		{"no send may begin any more", context.Background(), ended, 1, Unsent},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			near, far := net.Pipe()
			assert.NilError(t, far.Close()) // A read after the failed write returns at once.
			connector := New()
			idle := connector.newConnection(&failingConn{Conn: near, accepted: test.accepted})
			idle.idleUntil = time.Now().Add(time.Minute)
			idle.written = 7 // Bytes of an earlier exchange do not count.
			connector.putIdle("address", idle)
			outgoing := &Outgoing{
				Method: http.MethodPost, Target: "/", Host: "host", Header: http.Header{}, Body: []byte("text"),
				Belongs: func(int, http.Header) bool { return true },
			}
			_, err := connector.Exchange(test.ctx, test.start, "address", outgoing)
			var failure *Error
			assert.Assert(t, errors.As(err, &failure), "%v", err)
			assert.Equal(t, failure.Kind(), test.kind)
		})
	}
}
