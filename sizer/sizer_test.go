package sizer_test

import (
	"context"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"limpetcleat/rationer"
	"limpetcleat/sizer"
)

// bufferOf returns the size of the receive buffer that was set for a connection.
func bufferOf(t *testing.T, conn net.Conn) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	size := 0
	assert.NilError(t, raw.Control(func(descriptor uintptr) {
		size, err = unix.GetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF)
	}))
	assert.NilError(t, err)
	return size / sizer.Overhead
}

// TestBuffersOfAllConnectionsAreBounded guards against connections whose receive buffers together exceed the memory:
// each gets a part of what is left, at both ends, and what a closed one had is free again.
func TestBuffersOfAllConnectionsAreBounded(t *testing.T) {
	const limit, count = 4 << 20, 200
	memory := rationer.New(limit)
	sut := sizer.New(memory)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, err := sut.Listen(inner)
	assert.NilError(t, err)
	defer listener.Close()
	var conns []net.Conn
	sum, first, last := 0, 0, 0
	for range count {
		opened, err := sut.DialContext(context.Background(), &net.Dialer{}, "tcp", inner.Addr().String())
		assert.NilError(t, err)
		accepted, err := listener.Accept()
		assert.NilError(t, err)
		conns = append(conns, opened, accepted)
		for _, conn := range []net.Conn{opened, accepted} {
			last = bufferOf(t, conn)
			sum += last * sizer.Overhead
		}
		if first == 0 {
			first = last
		}
		assert.Assert(t, memory.Held() <= limit)
	}
	assert.Equal(t, first, sizer.Largest)
	assert.Equal(t, last, sizer.Smallest)
	smallest := 2 * count * sizer.Smallest * sizer.Overhead
	assert.Assert(t, sum <= limit+smallest, "buffers of %d bytes", sum)
	for _, conn := range conns {
		assert.NilError(t, conn.Close())
		_ = conn.Close() // Frees nothing a second time.
	}
	assert.Equal(t, memory.Held(), int64(0))
}

// TestFailedConnectionsTakeNoMemory guards against memory that is lost with each connection that is refused.
func TestFailedConnectionsTakeNoMemory(t *testing.T) {
	memory := rationer.New(1 << 20)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	_, err = sizer.New(memory).DialContext(context.Background(), &net.Dialer{}, "tcp", closed.Addr().String())
	assert.ErrorIs(t, err, syscall.ECONNREFUSED)
	assert.Equal(t, memory.Held(), int64(0))
}
