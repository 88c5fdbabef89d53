package relayer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"

	"limpetcleat/definer"
)

const (
	// headBytes is the length of a frame's head, which holds the length of its data.
	headBytes = 2
	// endFrame is the head that follows the last byte of the upstream's connection.
	endFrame = 0
	// leavingFrame is the head by which a peer that stops asks for the connection to be closed
	// after the current exchange.
	leavingFrame = 0xffff
	// maxFrameBytes bounds the data of a frame, in bytes.
	maxFrameBytes = 8 << 10
)

// putHead writes the head of a frame.
func putHead(buffer []byte, head int) { binary.BigEndian.PutUint16(buffer, uint16(head)) }

// Conn is a connection to an upstream through a peer.
type Conn struct {
	net.Conn
	peer   definer.VM
	reader *bufio.Reader
	// left is how many bytes of the current frame are still to be read.
	left int
	// ended is set once the upstream has closed its connection.
	ended bool
	// leaving is set once the peer has announced that it stops.
	leaving bool
	closed  atomic.Bool
	// release is called when the connection is closed for the first time.
	release func()
}

// Peer returns the peer that relays the connection.
func (conn *Conn) Peer() definer.VM { return conn.peer }

// Read reads the bytes of the upstream. The error is io.EOF only if the upstream closed its
// connection.
func (conn *Conn) Read(data []byte) (int, error) {
	for conn.left == 0 {
		if conn.ended {
			return 0, io.EOF
		}
		if err := conn.readHead(); err != nil {
			return 0, withoutEOF(err)
		}
	}
	count, err := conn.reader.Read(data[:min(len(data), conn.left)])
	conn.left -= count
	return count, withoutEOF(err)
}

func (conn *Conn) readHead() error {
	head, err := conn.reader.Peek(headBytes)
	if err != nil {
		return err // What was read of the head remains in the buffer, as the error may be a timeout.
	}
	size := int(binary.BigEndian.Uint16(head))
	_, _ = conn.reader.Discard(headBytes) // These bytes are in the buffer.
	switch size {
	case endFrame:
		conn.ended = true
	case leavingFrame:
		conn.leaving = true
	default:
		conn.left = size
	}
	return nil
}

// withoutEOF returns the error of a connection to a peer that must not pass for the end of the
// upstream's connection.
func withoutEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Reusable reports whether the connection may carry another exchange, as far as is known without
// reading from it.
func (conn *Conn) Reusable() bool {
	return conn.left == 0 && !conn.ended && !conn.leaving && conn.reader.Buffered() == 0
}

// SyscallConn returns the raw connection to the peer.
func (conn *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return raw.SyscallConn()
}

// Close closes the connection, on which the peer closes that to the upstream.
func (conn *Conn) Close() error {
	if conn.closed.CompareAndSwap(false, true) {
		conn.release()
	}
	return conn.Conn.Close()
}
