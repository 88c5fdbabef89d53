package dialer_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"limpetcleat/dialer"
)

// TestConnectionsAreProbed checks the socket options by which the kernel closes a connection
// whose other end no longer responds: the user timeout, for unacknowledged data, equals
// SilenceLimit, and the keepalive probes of an idle connection end at most a second later.
func TestConnectionsAreProbed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := dialer.New(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()

	assert.Equal(t, socketOption(t, conn, unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	idle := socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
	interval := socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
	count := socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_KEEPCNT)
	limit := time.Duration(socketOption(t, conn, unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)) * time.Millisecond
	assert.Equal(t, limit, dialer.SilenceLimit)
	probing := time.Duration(idle+interval*count) * time.Second
	assert.Assert(t, probing <= dialer.SilenceLimit+time.Second, probing)
}

func socketOption(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var value int
	var failure error
	err = raw.Control(func(descriptor uintptr) { value, failure = unix.GetsockoptInt(int(descriptor), level, name) })
	assert.NilError(t, err)
	assert.NilError(t, failure)
	return value
}
