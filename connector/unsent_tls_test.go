package connector

import (
	"crypto/tls"
	"io"
	"net"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

// cutConn is a connection that breaks once it has passed on a number of bytes.
type cutConn struct {
	net.Conn
	left int
}

// Write passes on what is left, and breaks the connection if that is not all.
func (conn *cutConn) Write(data []byte) (int, error) {
	if conn.left >= len(data) {
		conn.left -= len(data)
		return conn.Conn.Write(data)
	}
	count, _ := conn.Conn.Write(data[:conn.left])
	_ = conn.Close()
	return count, io.ErrClosedPipe
}

// TestUncountedBytesOfStreamsDoNotArrive guards against promises that nothing was sent while a peer has read a part of
// the request: a connection that a peer relays counts what it encrypts, not what the kernel accepts.
func TestUncountedBytesOfStreamsDoNotArrive(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	const size = 3000 // Two records at least.
	for accepted := 0; accepted < size; accepted += 61 {
		near, far := net.Pipe()
		cut := &cutConn{Conn: near, left: 1 << 20}
		client := tls.Client(cut, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // The identity does not matter here.
		server := tls.Server(far, certified.TLS)
		arrived := make(chan int64, 1)
		go func() {
			count, _ := io.Copy(io.Discard, server)
			arrived <- count
		}()
		assert.NilError(t, client.Handshake())
		cut.left = accepted
		written, err := client.Write(make([]byte, size))
		assert.Assert(t, err != nil)
		assert.Equal(t, <-arrived, int64(written), "accepted %d", accepted)
		_ = far.Close()
	}
}
