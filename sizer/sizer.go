// Package sizer sizes the kernel's receive buffers of TCP connections, so that all connections of a process
// together hold a bounded number of received bytes that it has not read. Each connection gets a fixed part of
// what is left: few connections have large buffers, and with many open ones further buffers are small.
//
// A buffer has its size before the connection is established, as the kernel must not reduce a window that the
// other end has been offered.
package sizer

import (
	"context"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"limpetcleat/failer"
	"limpetcleat/rationer"
)

const (
	// Largest is the largest size of a buffer in bytes, without the kernel's own overhead.
	Largest = 64 << 10
	// Smallest is the smallest size. Connections with such a buffer take no part of the memory.
	Smallest = 4 << 10
	// Overhead is how many bytes the kernel allows for each byte of the size.
	Overhead = 2
	// divisor is the part of the free memory that a connection may take.
	divisor = 16
)

// Kind classifies an Error.
type Kind string

// Unsupported marks connections whose buffers cannot be sized.
const Unsupported Kind = "unsupported"

// Error is the error type of this package.
type Error = failer.Error[Kind]

// Sizer sizes receive buffers. It is safe for concurrent use.
type Sizer struct {
	memory *rationer.Rationer
}

// New returns a Sizer whose buffers, but for the smallest ones, take their memory from the rationer.
func New(memory *rationer.Rationer) *Sizer { return &Sizer{memory: memory} }

// take returns a size and the share of a connection with it.
func (sizer *Sizer) take() (int, *rationer.Share) {
	share := sizer.memory.NewShare()
	size := sizer.next()
	for size > Smallest && share.GrowNow(int64(size)*Overhead) != nil {
		size /= 2
	}
	return size, share
}

// next returns the size that a connection gets now: a power of two.
func (sizer *Sizer) next() int {
	part := sizer.memory.Free() / divisor
	size := Largest
	for size > Smallest && int64(size)*Overhead > part {
		size /= 2
	}
	return size
}

// DialContext opens a TCP connection like the dialer, whose Control may be set.
func (sizer *Sizer) DialContext(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	size, share := sizer.take()
	sized, control := *dialer, dialer.Control
	sized.Control = func(network, address string, raw syscall.RawConn) error {
		if control != nil {
			if err := control(network, address, raw); err != nil {
				return err
			}
		}
		return setSize(raw, size)
	}
	conn, err := sized.DialContext(ctx, network, address)
	if err != nil {
		share.Release()
		return nil, err
	}
	return newConn(conn, share), nil
}

// Listen returns a listener that sizes the buffers of the connections it accepts. The inner listener must be
// one for TCP; otherwise the error is of kind Unsupported.
func (sizer *Sizer) Listen(inner net.Listener) (net.Listener, error) {
	raw, ok := inner.(syscall.Conn)
	if !ok {
		return nil, failer.New("sizer.listen", Unsupported, "%T has no socket", inner)
	}
	listener := &listener{Listener: inner, sizer: sizer, socket: raw}
	if err := listener.resize(sizer.next()); err != nil {
		return nil, failer.New("sizer.listen", Unsupported, "%w", err)
	}
	return listener, nil
}

// listener sizes the buffers of accepted connections.
type listener struct {
	net.Listener
	sizer  *Sizer
	socket syscall.Conn
	// size is that of the connections which are established from now on. It is owned by the goroutine that
	// calls Accept.
	size int
}

// Accept returns the next connection.
func (listener *listener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	share := listener.sizer.memory.NewShare()
	if listener.size > Smallest {
		// Connections that were established before the size fell may exceed the memory; the smallest size
		// follows then.
		_ = share.GrowNow(int64(listener.size) * Overhead)
	}
	_ = listener.resize(listener.sizer.next()) // Fails on a closed listener only.
	return newConn(conn, share), nil
}

func (listener *listener) resize(size int) error {
	if size == listener.size {
		return nil
	}
	raw, err := listener.socket.SyscallConn()
	if err != nil {
		return err
	}
	if err := setSize(raw, size); err != nil {
		return err
	}
	listener.size = size
	return nil
}

func setSize(raw syscall.RawConn, size int) error {
	var failure error
	if err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	}); err != nil {
		return err
	}
	return failure
}

// tcpConn has the methods of a TCP connection that its users look for.
type tcpConn interface {
	net.Conn
	syscall.Conn
	CloseWrite() error
	SetLinger(seconds int) error
}

// Conn is a connection whose receive buffer takes part of the memory until it is closed.
type Conn struct {
	tcpConn
	release func()
}

func newConn(conn net.Conn, share *rationer.Share) net.Conn {
	tcp, ok := conn.(tcpConn)
	if !ok {
		share.Release()
		return conn
	}
	return &Conn{tcpConn: tcp, release: sync.OnceFunc(share.Release)}
}

// Close closes the connection.
func (conn *Conn) Close() error {
	defer conn.release()
	return conn.tcpConn.Close()
}
